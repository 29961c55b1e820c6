package relay

import (
	"context"
	"net"
	"net/netip"
	"time"

	"github.com/peridotstall/peridotstall/internal/errkind"
	"github.com/peridotstall/peridotstall/internal/schema"
	"github.com/peridotstall/peridotstall/internal/telemetry"
	"github.com/peridotstall/peridotstall/internal/wire"
)

// Target is where a connection is relayed to.
type Target struct {
	// ID is the target's ID in the configuration.
	ID uint32
	// Address is the TCP address of the target's agent.
	Address string
	// Revision is the configuration revision that the choice was made with.
	Revision uint64
}

// Choose returns the first usable target for a caller that is not among tried.
type Choose func(service uint32, caller netip.AddrPort, tried []uint32) (Target, *errkind.Error)

// BalancerSettings configure a Balancer. Logger, Metrics and Choose are required.
type BalancerSettings struct {
	// Choose chooses targets.
	Choose Choose
	// MaxConnections bounds the open connections of all services.
	MaxConnections int
	// ConnectTimeout and PreambleTimeout replace the defaults when positive.
	ConnectTimeout, PreambleTimeout time.Duration
	Logger                          *telemetry.Logger
	Metrics                         *telemetry.Metrics
	// Tracer may be nil.
	Tracer *telemetry.Tracer
}

// Balancer is the balancer's side of the relay.
type Balancer struct {
	settings BalancerSettings
	tracker  *tracker
}

// NewBalancer returns a Balancer.
func NewBalancer(settings BalancerSettings) *Balancer {
	if settings.ConnectTimeout <= 0 {
		settings.ConnectTimeout = DefaultConnectTimeout
	}
	if settings.PreambleTimeout <= 0 {
		settings.PreambleTimeout = DefaultPreambleTimeout
	}
	return &Balancer{settings: settings, tracker: newTracker(settings.MaxConnections)}
}

// Serve relays the connections that a listener accepts for a service, until
// Drain is called.
func (b *Balancer) Serve(listener net.Listener, service uint32) error {
	return b.tracker.serve(listener, func(c *net.TCPConn) { b.accept(c, service) })
}

// Drain stops accepting connections and waits until those that are open end.
// When ctx ends first, it cuts the rest and returns their number.
func (b *Balancer) Drain(ctx context.Context) int {
	b.tracker.beginDrain()
	b.tracker.closeListeners()
	cut := b.tracker.wait(ctx)
	b.settings.Metrics.ConnectionsCut.Add(cut)
	return cut
}

func (b *Balancer) accept(caller *net.TCPConn, service uint32) {
	l := b.tracker.open(caller)
	if l == nil {
		b.refuse(caller, service, schema.ErrorKind_REFUSED_OVERLOAD)
		return
	}
	l.admit()
	b.settings.Metrics.ConnectionsOpened.Inc()
	b.settings.Metrics.Connections.Add(1)
	go func() {
		defer b.settings.Metrics.Connections.Add(-1)
		defer b.tracker.close(l)
		b.relay(l, caller, service)
	}()
}

// refuse resets a connection, because a plain close looks like an empty response.
func (b *Balancer) refuse(caller *net.TCPConn, service uint32, kind schema.ErrorKind) {
	b.settings.Metrics.Error(kind)
	b.settings.Logger.LogLimited(time.Now(), telemetry.Refused, service, kind)
	abort(caller)
}

func (b *Balancer) relay(l *link, caller *net.TCPConn, service uint32) {
	span := b.settings.Tracer.Root("relay balancer")
	defer span.End()
	span.Service(service)
	agent, refusal := b.connect(l, caller, service, span)
	if refusal != nil {
		span.Error(refusal.Kind)
		b.refuse(caller, service, refusal.Kind)
		return
	}
	bytes, _ := l.copyBoth(caller, agent)
	b.settings.Metrics.RelayedBytes.Add(int(bytes))
}

// connect tries the candidates in order. Nothing of the connection has been
// copied before an agent accepts it, so another attempt is safe after any
// refusal. The connection is passed on at most wire.MaxHops times.
func (b *Balancer) connect(l *link, caller *net.TCPConn, service uint32, span telemetry.Span) (*net.TCPConn, *errkind.Error) {
	address := caller.RemoteAddr().(*net.TCPAddr).AddrPort()
	var tried []uint32
	var refusal *errkind.Error
	for len(tried) <= wire.MaxHops {
		target, none := b.settings.Choose(service, address, tried)
		if none != nil && refusal == nil {
			refusal = none
		}
		if none != nil {
			break
		}
		frame := &schema.Frame{
			Key:         wire.Key(service, address),
			Revision:    target.Revision,
			Hops:        uint32(len(tried)),
			Passed:      tried,
			TraceParent: span.TraceParent(),
			Body:        &schema.Frame_Packet{},
		}
		var agent *net.TCPConn
		if agent, refusal = b.attempt(l, target, frame); refusal == nil {
			span.Target(target.ID)
			return agent, nil
		}
		tried = append(tried, target.ID)
	}
	return nil, refusal
}

func (b *Balancer) attempt(l *link, target Target, frame *schema.Frame) (*net.TCPConn, *errkind.Error) {
	agent, err := dial(target.Address, b.settings.ConnectTimeout)
	if err != nil {
		return nil, errkind.New(schema.ErrorKind_REFUSED_NO_TARGET, "%v", err)
	}
	if !l.attach(agent) {
		return nil, errkind.New(schema.ErrorKind_REFUSED_DRAINING, "cut during set-up")
	}
	if refusal := exchange(agent, frame, b.settings.PreambleTimeout); refusal != nil {
		agent.Close()
		return nil, refusal
	}
	return agent, nil
}
