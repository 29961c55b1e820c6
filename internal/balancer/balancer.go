// Package balancer forwards packets of callers to the agents of the targets and
// answers back to the callers. It keeps no state of flows: each packet is placed
// by the configuration and the view of the hosts.
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
	// bindRetry is the interval at which listeners that failed are tried again.
	bindRetry = 2 * time.Second
	// quietTime without a packet tells a stopping balancer that the fabric has
	// moved on.
	quietTime = time.Second
	// stopPoll is the interval at which a stopping balancer looks for traffic.
	stopPoll = 50 * time.Millisecond
)

// Options are what a balancer is built from.
type Options struct {
	Settings *schema.BalancerSettings
	Logger   *telemetry.Logger
	Metrics  *telemetry.Metrics
	Tracer   *telemetry.Tracer
	// Policy selects how plain packets are placed.
	Policy route.Policy
}

// Balancer is one balancer process.
type Balancer struct {
	options Options
	tunnel  *tunnel.Socket
	routes  atomic.Pointer[route.Table]
	control tunnel.Receiver

	// listeners holds the *listener of each service ID. It is read for every
	// answer and must not wait for mu, which a change of the configuration holds.
	listeners sync.Map

	mu       sync.Mutex
	usable   func(host string) bool
	relay    *relay.Balancer
	streams  map[uint32]*streamListener
	lastCall atomic.Int64
}

// New binds the frame socket.
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

// Tunnel returns the frame socket, which the control loop shares.
func (b *Balancer) Tunnel() *tunnel.Socket {
	return b.tunnel
}

// SetControl sets the receiver of control frames; call it before Run.
func (b *Balancer) SetControl(c tunnel.Receiver) {
	b.control = c
}

// SetConfig puts a configuration in force.
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

// SetHosts puts a new view of the hosts in force.
func (b *Balancer) SetHosts(usable func(host string) bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.usable = usable
	if t := b.routes.Load(); t != nil {
		b.routes.Store(t.WithHosts(usable))
	}
}

// Run forwards until the context ends or the frame socket fails.
func (b *Balancer) Run(ctx context.Context) error {
	go b.retryListeners(ctx)
	stop := context.AfterFunc(ctx, func() { b.Close() })
	defer stop()
	return b.tunnel.Serve(b.handleFrame)
}

// Drain keeps forwarding until no packet came for quietTime, but at least until
// the fabric had the grace time to move on and at most twice as long. Relayed
// connections have the same time; those that are open afterwards are cut and
// counted.
func (b *Balancer) Drain(ctx context.Context) (cut int) {
	grace := time.Duration(b.options.Settings.GetStopGraceMs()) * time.Millisecond
	streams, cancel := context.WithTimeout(ctx, 2*grace)
	defer cancel()
	done := make(chan int, 1)
	go func() { done <- b.relay.Drain(streams) }()
	b.drainPackets(ctx)
	return <-done
}

func (b *Balancer) drainPackets(ctx context.Context) {
	grace := time.Duration(b.options.Settings.GetStopGraceMs()) * time.Millisecond
	begin := time.Now()
	ticker := time.NewTicker(stopPoll)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-ticker.C:
			quiet := now.Sub(time.Unix(0, b.lastCall.Load())) >= quietTime
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

// ChangeHosts puts a view in force that differs from the last one in some hosts.
func (b *Balancer) ChangeHosts(changed []string, usable func(host string) bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.usable = usable
	if t := b.routes.Load(); t != nil {
		b.routes.Store(t.WithChanges(changed, usable))
	}
}

// retryListeners binds addresses that were busy or not yet configured on the
// host, until the context ends.
func (b *Balancer) retryListeners(ctx context.Context) {
	ticker := time.NewTicker(bindRetry)
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

// updateListeners opens and closes sockets so that they match the services.
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

// listener returns the listener of a service, nil when there is none.
func (b *Balancer) listener(service uint32) *listener {
	l, _ := b.listeners.Load(service)
	found, _ := l.(*listener)
	return found
}

// closeListeners closes the listeners for which a condition holds.
func (b *Balancer) closeListeners(condition func(l *listener) bool) {
	b.listeners.Range(func(service, value any) bool {
		if l := value.(*listener); condition(l) {
			l.conn.Close()
			b.listeners.Delete(service)
		}
		return true
	})
}

// bindAddress maps a service address to the address that this host binds. With
// a list in the settings only the listed services are bound.
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

// ListenerAddress returns the bound address of a service.
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

// handleFrame takes a frame from an agent or another process.
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
