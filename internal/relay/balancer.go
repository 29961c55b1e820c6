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

// Target is the destination of a connection.
type Target struct {
	// ID is the target's ID in the configuration.
	ID uint32
	// Address is the TCP address of the target's agent.
	Address string
	// Revision is the configuration revision by which the target was chosen.
	Revision uint64
}

// Choose returns the caller's first usable target that is not in tried, or the
// reason why there is none.
type Choose func(service uint32, caller netip.AddrPort, tried []uint32) (Target, *errkind.Error)

// BalancerSettings configures a Balancer. Choose, Logger and Metrics are required.
type BalancerSettings struct {
	Choose Choose
	// MaxConnections is the limit on open connections of all services together.
	MaxConnections int
	// ConnectTimeout and PreambleTimeout override the defaults when positive.
	ConnectTimeout, PreambleTimeout time.Duration
	Logger                          *telemetry.Logger
	Metrics                         *telemetry.Metrics
	// Tracer is optional.
	Tracer *telemetry.Tracer
}

// Balancer is the balancer's side of the relay: it accepts connections of
// callers and connects them to the agent of a target.
type Balancer struct {
	settings BalancerSettings
	tracker  *tracker
}

// NewBalancer returns a Balancer with the settings.
func NewBalancer(settings BalancerSettings) *Balancer {
	if settings.ConnectTimeout <= 0 {
		settings.ConnectTimeout = DefaultConnectTimeout
	}
	if settings.PreambleTimeout <= 0 {
		settings.PreambleTimeout = DefaultPreambleTimeout
	}
	return &Balancer{settings: settings, tracker: newTracker(settings.MaxConnections)}
}

// Serve relays the connections that listener accepts for the service. It returns
// nil after Drain has closed the listener, and an error when the listener was
// closed otherwise.
func (b *Balancer) Serve(listener net.Listener, service uint32) error {
	return b.tracker.serve(listener, func(c *net.TCPConn) { b.accept(c, service) })
}

// Drain closes the listeners and waits until the open connections end. If ctx
// ends first, it resets the remaining connections and returns their number.
func (b *Balancer) Drain(ctx context.Context) int {
	b.tracker.beginDrain()
	b.tracker.closeListeners()
	cut := b.tracker.wait(ctx)
	b.settings.Metrics.ConnectionsCut.Add(cut)
	return cut
}

func (b *Balancer) accept(caller *net.TCPConn, service uint32) {
	pair := b.tracker.open(caller)
	if pair == nil {
		b.refuse(caller, service, schema.ErrorKind_REFUSED_OVERLOAD)
		return
	}
	resetOnClose(caller, true)
	pair.admit()
	b.settings.Metrics.ConnectionsOpened.Inc()
	b.settings.Metrics.Connections.Add(1)
	go func() {
		defer b.settings.Metrics.Connections.Add(-1)
		defer b.tracker.close(pair)
		b.relay(pair, caller, service)
	}()
}

// refuse resets a connection. After a close, the caller could take the end of
// stream for an empty response.
func (b *Balancer) refuse(caller *net.TCPConn, service uint32, kind schema.ErrorKind) {
	b.settings.Metrics.Error(kind)
	b.settings.Logger.LogLimited(time.Now(), telemetry.Refused, service, kind)
	abort(caller)
}

func (b *Balancer) relay(pair *connPair, caller *net.TCPConn, service uint32) {
	span := b.settings.Tracer.Root("relay balancer")
	defer span.End()
	span.Service(service)
	agent, refusal := b.connect(pair, caller, service, span)
	if refusal != nil {
		span.Error(refusal.Kind)
		b.refuse(caller, service, refusal.Kind)
		return
	}
	bytes, _ := pair.copyBoth(caller, agent)
	b.settings.Metrics.RelayedBytes.Add(int(bytes))
}

// connect connects to the agent of the first candidate that accepts the
// connection. Nothing is copied before an agent accepts, so a retry on the next
// target is safe after any refusal. There are at most wire.MaxHops retries.
func (b *Balancer) connect(pair *connPair, caller *net.TCPConn, service uint32, span telemetry.Span) (*net.TCPConn, *errkind.Error) {
	address := caller.RemoteAddr().(*net.TCPAddr).AddrPort()
	var tried []uint32
	var refusal *errkind.Error
	for len(tried) <= wire.MaxHops {
		target, noTarget := b.settings.Choose(service, address, tried)
		if noTarget != nil && refusal == nil {
			refusal = noTarget
		}
		if noTarget != nil {
			break
		}
		frame := &schema.Frame{
			Key:         wire.FlowKey(service, address),
			Revision:    target.Revision,
			Hops:        uint32(len(tried)),
			Passed:      tried,
			TraceParent: span.TraceParent(),
			Body:        &schema.Frame_Packet{},
		}
		var agent *net.TCPConn
		if agent, refusal = b.attempt(pair, target, frame); refusal == nil {
			span.Target(target.ID)
			return agent, nil
		}
		tried = append(tried, target.ID)
	}
	return nil, refusal
}

func (b *Balancer) attempt(pair *connPair, target Target, frame *schema.Frame) (*net.TCPConn, *errkind.Error) {
	agent, err := dial(target.Address, b.settings.ConnectTimeout)
	if err != nil {
		return nil, errkind.New(schema.ErrorKind_REFUSED_NO_TARGET, "%v", err)
	}
	if !pair.attach(agent) {
		return nil, errkind.New(schema.ErrorKind_REFUSED_DRAINING, "cut during set-up")
	}
	if refusal := exchange(agent, frame, b.settings.PreambleTimeout); refusal != nil {
		agent.Close()
		return nil, refusal
	}
	return agent, nil
}
