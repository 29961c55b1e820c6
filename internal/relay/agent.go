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

// refusalHeadroom is the number of connections above MaxConnections that are
// still read so that they get a refusal. Closing a connection with unread data
// resets it, and the reset can discard a refusal in flight.
const refusalHeadroom = 128

// AgentSettings configures an Agent. Backend, Admit, Release, Serves, Logger and
// Metrics are required.
type AgentSettings struct {
	// Backend is the TCP address of the backend server.
	Backend string
	// Admit decides whether a connection is admitted; it is called after Serves.
	// Release is called when an admitted connection has ended.
	Admit   func(service uint32, caller netip.AddrPort) *errkind.Error
	Release func(service uint32)
	// Serves reports whether the target serves the service.
	Serves func(service uint32) bool
	// MaxConnections is the limit on open connections.
	MaxConnections int
	// ConnectTimeout and PreambleTimeout override the defaults when positive.
	ConnectTimeout, PreambleTimeout time.Duration
	Logger                          *telemetry.Logger
	Metrics                         *telemetry.Metrics
	// Tracer is optional.
	Tracer *telemetry.Tracer
}

// Agent is the agent's side of the relay: it accepts connections of balancers
// and connects them to its backend server.
type Agent struct {
	settings AgentSettings
	tracker  *tracker
	// slots holds one entry per connection that is admitted or about to be.
	slots chan struct{}
}

// NewAgent returns an Agent with the settings.
func NewAgent(settings AgentSettings) *Agent {
	if settings.ConnectTimeout <= 0 {
		settings.ConnectTimeout = DefaultConnectTimeout
	}
	if settings.PreambleTimeout <= 0 {
		settings.PreambleTimeout = DefaultPreambleTimeout
	}
	return &Agent{
		settings: settings,
		tracker:  newTracker(settings.MaxConnections + refusalHeadroom),
		slots:    make(chan struct{}, settings.MaxConnections),
	}
}

// Serve relays the connections that listener accepts. It returns nil after
// Drain has closed the listener, and an error when the listener was closed
// otherwise.
func (a *Agent) Serve(listener net.Listener) error {
	return a.tracker.serve(listener, a.accept)
}

// Drain refuses new connections and waits until the open ones end. If ctx ends
// first, it resets the remaining connections and returns the number of admitted
// ones among them. The listeners stay open until then, so that balancers receive
// a refusal.
func (a *Agent) Drain(ctx context.Context) int {
	a.tracker.beginDrain()
	cut := a.tracker.wait(ctx)
	a.tracker.closeListeners()
	a.settings.Metrics.ConnectionsCut.Add(cut)
	return cut
}

func (a *Agent) accept(balancer *net.TCPConn) {
	pair := a.tracker.open(balancer)
	if pair == nil {
		a.settings.Metrics.Error(schema.ErrorKind_REFUSED_OVERLOAD)
		abort(balancer)
		return
	}
	go func() {
		defer a.tracker.close(pair)
		a.serve(pair, balancer)
	}()
}

func (a *Agent) serve(pair *connPair, balancer *net.TCPConn) {
	defer balancer.Close()
	deadline := time.Now().Add(a.settings.PreambleTimeout)
	if err := balancer.SetDeadline(deadline); err != nil {
		return
	}
	frame, err := readFrame(balancer)
	if err != nil {
		a.settings.Metrics.Error(schema.ErrorKind_MALFORMED)
		a.settings.Logger.LogLimited(time.Now(), telemetry.PacketDropped, 0, schema.ErrorKind_MALFORMED)
		return
	}
	service := frame.GetKey().GetService()
	span := a.settings.Tracer.Hop("relay agent", frame.GetTraceParent())
	defer span.End()
	span.Service(service)
	if refusal := a.relay(pair, balancer, frame); refusal != nil {
		span.Error(refusal.Kind)
		a.settings.Metrics.Error(refusal.Kind)
		a.settings.Logger.LogLimited(time.Now(), telemetry.Refused, service, refusal.Kind)
		_ = writeFrame(balancer, &schema.Frame{
			Key:  frame.GetKey(),
			Body: &schema.Frame_FlowError{FlowError: &schema.FlowError{Kind: refusal.Kind}},
		})
	}
}

// relay admits a connection and relays it. A non-nil result means that nothing
// was copied.
func (a *Agent) relay(pair *connPair, balancer *net.TCPConn, frame *schema.Frame) *errkind.Error {
	service := frame.GetKey().GetService()
	caller, err := wire.CallerAddr(frame.GetKey())
	if err != nil {
		return errkind.New(schema.ErrorKind_MALFORMED, "%v", err)
	}
	if !a.settings.Serves(service) {
		return errkind.New(schema.ErrorKind_WRONG_SERVICE, "service %d", service)
	}
	if a.tracker.drainBegun() {
		return errkind.New(schema.ErrorKind_REFUSED_DRAINING, "")
	}
	select {
	case a.slots <- struct{}{}:
	default:
		return errkind.New(schema.ErrorKind_REFUSED_OVERLOAD, "%d connections", cap(a.slots))
	}
	defer func() { <-a.slots }()
	if refusal := a.settings.Admit(service, caller); refusal != nil {
		return refusal
	}
	defer a.settings.Release(service)
	pair.admit()
	backend, err := dial(a.settings.Backend, a.settings.ConnectTimeout)
	if err != nil {
		return errkind.New(schema.ErrorKind_BACKEND_FAILED, "%v", err)
	}
	if !pair.attach(backend) {
		return errkind.New(schema.ErrorKind_REFUSED_DRAINING, "cut during set-up")
	}
	a.copy(pair, balancer, backend, frame)
	return nil
}

func (a *Agent) copy(pair *connPair, balancer, backend *net.TCPConn, frame *schema.Frame) {
	accepted := &schema.Frame{Key: frame.GetKey(), Body: &schema.Frame_Answer{}}
	if err := writeFrame(balancer, accepted); err != nil {
		backend.Close()
		return
	}
	if err := balancer.SetDeadline(time.Time{}); err != nil {
		backend.Close()
		return
	}
	a.settings.Metrics.ConnectionsOpened.Inc()
	a.settings.Metrics.Connections.Add(1)
	defer a.settings.Metrics.Connections.Add(-1)
	bytes, _ := pair.copyBoth(balancer, backend)
	a.settings.Metrics.RelayedBytes.Add(int(bytes))
}
