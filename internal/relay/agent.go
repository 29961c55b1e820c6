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

// refusalRoom is the number of connections beyond the limit that are still
// read, in order to answer them with a refusal. An unread connection that is
// closed is reset, which can destroy an answer on its way.
const refusalRoom = 128

// AgentSettings configure an Agent. Admit, Release, Logger and Metrics are required.
type AgentSettings struct {
	// Backend is the TCP address of the backend server.
	Backend string
	// Admit decides about a connection, after the check of Serves; Release is
	// called when an admitted connection has ended.
	Admit   func(service uint32, caller netip.AddrPort) *errkind.Error
	Release func(service uint32)
	// Serves reports whether the target serves a service.
	Serves func(service uint32) bool
	// MaxConnections bounds the open connections.
	MaxConnections int
	// ConnectTimeout and PreambleTimeout replace the defaults when positive.
	ConnectTimeout, PreambleTimeout time.Duration
	Logger                          *telemetry.Logger
	Metrics                         *telemetry.Metrics
	// Tracer may be nil.
	Tracer *telemetry.Tracer
}

// Agent is the agent's side of the relay.
type Agent struct {
	settings AgentSettings
	tracker  *tracker
	// slots holds one entry per admitted connection.
	slots chan struct{}
}

// NewAgent returns an Agent.
func NewAgent(settings AgentSettings) *Agent {
	if settings.ConnectTimeout <= 0 {
		settings.ConnectTimeout = DefaultConnectTimeout
	}
	if settings.PreambleTimeout <= 0 {
		settings.PreambleTimeout = DefaultPreambleTimeout
	}
	return &Agent{
		settings: settings,
		tracker:  newTracker(settings.MaxConnections + refusalRoom),
		slots:    make(chan struct{}, settings.MaxConnections),
	}
}

// Serve relays the connections that a listener accepts, until Drain has ended.
func (a *Agent) Serve(listener net.Listener) error {
	return a.tracker.serve(listener, a.accept)
}

// Drain refuses new connections at once and waits until those that are open
// end. When ctx ends first, it cuts the rest and returns their number. The
// listener stays open meanwhile, so that balancers get an answer.
func (a *Agent) Drain(ctx context.Context) int {
	a.tracker.beginDrain()
	cut := a.tracker.wait(ctx)
	a.tracker.closeListeners()
	a.settings.Metrics.ConnectionsCut.Add(cut)
	return cut
}

func (a *Agent) accept(balancer *net.TCPConn) {
	l := a.tracker.open(balancer)
	if l == nil {
		a.settings.Metrics.Error(schema.ErrorKind_REFUSED_OVERLOAD)
		abort(balancer)
		return
	}
	go func() {
		defer a.tracker.close(l)
		a.serve(l, balancer)
	}()
}

func (a *Agent) serve(l *link, balancer *net.TCPConn) {
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
	if refusal := a.relay(l, balancer, frame); refusal != nil {
		span.Error(refusal.Kind)
		a.settings.Metrics.Error(refusal.Kind)
		a.settings.Logger.LogLimited(time.Now(), telemetry.Refused, service, refusal.Kind)
		_ = writeFrame(balancer, &schema.Frame{
			Key:  frame.GetKey(),
			Body: &schema.Frame_FlowError{FlowError: &schema.FlowError{Kind: refusal.Kind}},
		})
	}
}

// relay admits a connection and copies it. It returns a refusal when nothing
// was copied.
func (a *Agent) relay(l *link, balancer *net.TCPConn, frame *schema.Frame) *errkind.Error {
	service := frame.GetKey().GetService()
	caller, err := wire.Caller(frame.GetKey())
	if err != nil {
		return errkind.New(schema.ErrorKind_MALFORMED, "%v", err)
	}
	if !a.settings.Serves(service) {
		return errkind.New(schema.ErrorKind_WRONG_SERVICE, "service %d", service)
	}
	if a.tracker.isDraining() {
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
	l.admit()
	backend, err := dial(a.settings.Backend, a.settings.ConnectTimeout)
	if err != nil {
		return errkind.New(schema.ErrorKind_BACKEND_FAILED, "%v", err)
	}
	if !l.attach(backend) {
		return errkind.New(schema.ErrorKind_REFUSED_DRAINING, "cut during set-up")
	}
	a.copy(l, balancer, backend, frame)
	return nil
}

func (a *Agent) copy(l *link, balancer, backend *net.TCPConn, frame *schema.Frame) {
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
	bytes, _ := l.copyBoth(balancer, backend)
	a.settings.Metrics.RelayedBytes.Add(int(bytes))
}
