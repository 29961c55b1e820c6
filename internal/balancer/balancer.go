// Package balancer forwards packets of callers to the agents of targets, and
// answers to the callers. It holds no flow state: the target of each packet
// follows from the configuration and the view of the hosts.
package balancer

import (
	"context"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/peridotstall/peridotstall/internal/config"
	"github.com/peridotstall/peridotstall/internal/relay"
	"github.com/peridotstall/peridotstall/internal/route"
	"github.com/peridotstall/peridotstall/internal/schema"
	"github.com/peridotstall/peridotstall/internal/telemetry"
	"github.com/peridotstall/peridotstall/internal/tunnel"
	"github.com/peridotstall/peridotstall/internal/udp"
)

const (
	// bindRetryInterval is the time between two attempts to bind listeners that
	// failed.
	bindRetryInterval = 2 * time.Second
	// quietWindow is the time without a packet after which a stopping balancer
	// assumes that the fabric has withdrawn its traffic.
	quietWindow = time.Second
	// drainPollInterval is the time between two checks for traffic during a drain.
	drainPollInterval = 50 * time.Millisecond
)

// Options configures a Balancer.
type Options struct {
	Settings *schema.BalancerSettings
	Logger   *telemetry.Logger
	Metrics  *telemetry.Metrics
	Tracer   *telemetry.Tracer
	// Policy is the placement policy for plain packets.
	Policy route.Policy
}

// Balancer is one balancer process. It is safe for concurrent use, except for the
// methods that must be called before Run.
type Balancer struct {
	options Options
	tunnel  *tunnel.Socket
	routes  atomic.Pointer[route.Table]
	control tunnel.Receiver

	// listeners maps service IDs to *listener. Each answer reads it, and must not
	// wait for mu, which is held while the configuration changes.
	listeners sync.Map

	mu         sync.Mutex
	usable     func(host string) bool
	relay      *relay.Balancer
	streams    map[uint32]*streamListener
	lastPacket atomic.Int64
}

// New returns a balancer and binds its frame socket. It returns an error if the
// address cannot be bound.
func New(o Options) (*Balancer, error) {
	socket, err := tunnel.Listen(o.Settings.GetCommon().GetControlAddress(), o.Metrics)
	if err != nil {
		return nil, err
	}
	b := &Balancer{
		options: o,
		tunnel:  socket,
		usable:  func(string) bool { return true },
		streams: map[uint32]*streamListener{},
	}
	b.relay = relay.NewBalancer(relay.BalancerSettings{
		Choose:         b.chooseStream,
		MaxConnections: maxConnections,
		Logger:         o.Logger,
		Metrics:        o.Metrics,
		Tracer:         o.Tracer,
	})
	return b, nil
}

// Tunnel returns the frame socket, which the control plane shares.
func (b *Balancer) Tunnel() *tunnel.Socket {
	return b.tunnel
}

// SetControl sets the receiver of control frames; call it before Run.
func (b *Balancer) SetControl(c tunnel.Receiver) {
	b.control = c
}

// SetConfig applies a configuration and opens and closes listeners to match it.
func (b *Balancer) SetConfig(s *config.Snapshot) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if t := b.routes.Load(); t != nil {
		b.routes.Store(t.WithConfig(s, b.usable))
	} else {
		b.routes.Store(route.New(s, b.usable, b.options.Policy))
	}
	b.options.Metrics.Revision.Set(int64(s.Revision()))
	b.updateListeners(s)
}

// SetHosts applies a new view of all hosts.
func (b *Balancer) SetHosts(usable func(host string) bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.usable = usable
	if t := b.routes.Load(); t != nil {
		b.routes.Store(t.WithHosts(usable))
	}
}

// Run forwards packets until ctx ends or the frame socket fails, and returns the
// error of the socket.
func (b *Balancer) Run(ctx context.Context) error {
	go b.retryListeners(ctx)
	stop := context.AfterFunc(ctx, func() { b.Close() })
	defer stop()
	return b.tunnel.Serve(b.handleFrame)
}

// Drain forwards packets until none has arrived for quietWindow, for at least the
// grace time, in which the fabric withdraws its traffic, and at most twice the
// grace time. It gives relayed connections twice the grace time, cuts those that
// are still open then, and returns their number. It ends early when ctx ends.
func (b *Balancer) Drain(ctx context.Context) (cut int) {
	grace := time.Duration(b.options.Settings.GetStopGraceMs()) * time.Millisecond
	streamCtx, cancel := context.WithTimeout(ctx, 2*grace)
	defer cancel()
	done := make(chan int, 1)
	go func() { done <- b.relay.Drain(streamCtx) }()
	b.drainPackets(ctx)
	return <-done
}

func (b *Balancer) drainPackets(ctx context.Context) {
	grace := time.Duration(b.options.Settings.GetStopGraceMs()) * time.Millisecond
	begin := time.Now()
	ticker := time.NewTicker(drainPollInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-ticker.C:
			quiet := now.Sub(time.Unix(0, b.lastPacket.Load())) >= quietWindow
			waited := now.Sub(begin)
			if waited >= grace && quiet || waited >= 2*grace {
				return
			}
		}
	}
}

// Close closes all sockets.
func (b *Balancer) Close() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.closeListeners(func(*listener) bool { return true })
	for id, l := range b.streams {
		l.listener.Close()
		delete(b.streams, id)
	}
	b.tunnel.Close()
}

// UpdateHosts applies a view that differs from the previous one only in the
// changed hosts.
func (b *Balancer) UpdateHosts(changed []string, usable func(host string) bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.usable = usable
	if t := b.routes.Load(); t != nil {
		b.routes.Store(t.WithChangedHosts(changed, usable))
	}
}

// retryListeners binds addresses that were in use, or not yet configured on the
// host, when they were tried before. It runs until ctx ends.
func (b *Balancer) retryListeners(ctx context.Context) {
	ticker := time.NewTicker(bindRetryInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			b.mu.Lock()
			if t := b.routes.Load(); t != nil {
				b.updateListeners(t.Snapshot())
			}
			b.mu.Unlock()
		}
	}
}

// updateListeners opens and closes listeners to match the services. The caller
// must hold b.mu.
func (b *Balancer) updateListeners(s *config.Snapshot) {
	b.closeListeners(func(l *listener) bool {
		service, ok := s.Service(l.service)
		return !ok || service.GetAddress() != l.address
	})
	for id, l := range b.streams {
		service, ok := s.Service(id)
		if !ok || service.GetAddress() != l.address {
			l.listener.Close()
			delete(b.streams, id)
		}
	}
	for _, service := range s.Services() {
		switch {
		case service.GetMode() == schema.Mode_TCP && b.streams[service.GetId()] == nil:
			b.openStream(service)
		case service.GetMode() != schema.Mode_TCP && b.listener(service.GetId()) == nil:
			b.openListener(service)
		}
	}
}

func (b *Balancer) openListener(service *schema.Service) {
	bind := b.bindAddress(service.GetAddress())
	if bind == "" {
		return
	}
	conn, err := udp.Listen(bind)
	if err != nil {
		b.options.Logger.Log(telemetry.ListenerFailed, "service", service.GetId(), "error", err)
		return
	}
	l := &listener{
		balancer: b,
		conn:     conn,
		service:  service.GetId(),
		mode:     service.GetMode(),
		address:  service.GetAddress(),
	}
	b.listeners.Store(l.service, l)
	go l.serve()
}

// listener returns the listener of a service, or nil.
func (b *Balancer) listener(service uint32) *listener {
	l, _ := b.listeners.Load(service)
	found, _ := l.(*listener)
	return found
}

// closeListeners closes the listeners for which match returns true.
func (b *Balancer) closeListeners(match func(l *listener) bool) {
	b.listeners.Range(func(service, value any) bool {
		if l := value.(*listener); match(l) {
			l.conn.Close()
			b.listeners.Delete(service)
		}
		return true
	})
}

// bindAddress returns the address to bind for a service address. If the settings
// list listeners, it returns "" for services that are not listed.
func (b *Balancer) bindAddress(service string) string {
	list := b.options.Settings.GetListeners()
	if len(list) == 0 {
		return service
	}
	for _, l := range list {
		if l.GetService() == service {
			return l.GetBind()
		}
	}
	return ""
}

// ListenerAddress returns the bound address of a service. It returns false if the
// service has no listener.
func (b *Balancer) ListenerAddress(service uint32) (netip.AddrPort, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if l := b.listener(service); l != nil {
		return l.conn.Local(), true
	}
	if stream := b.streams[service]; stream != nil {
		return stream.listener.Addr().(*net.TCPAddr).AddrPort(), true
	}
	return netip.AddrPort{}, false
}

// handleFrame handles a frame of an agent or another process.
func (b *Balancer) handleFrame(from netip.AddrPort, age time.Duration, f *schema.Frame) {
	answer, ok := f.Body.(*schema.Frame_Answer)
	if !ok {
		if b.control != nil {
			b.control.Receive(from, f)
		}
		return
	}
	b.sendAnswer(f, answer.Answer)
}
