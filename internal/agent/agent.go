// Package agent runs beside a backend server and is the only authority on its
// flows, slots and queues. The decisions are in the packages flow, offer and
// admission; this one holds the sockets and carries out their actions.
package agent

import (
	"context"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"github.com/peridotstall/peridotstall/internal/admission"
	"github.com/peridotstall/peridotstall/internal/config"
	"github.com/peridotstall/peridotstall/internal/errkind"
	"github.com/peridotstall/peridotstall/internal/flow"
	"github.com/peridotstall/peridotstall/internal/offer"
	"github.com/peridotstall/peridotstall/internal/placement"
	"github.com/peridotstall/peridotstall/internal/relay"
	"github.com/peridotstall/peridotstall/internal/rpcapi"
	"github.com/peridotstall/peridotstall/internal/schema"
	"github.com/peridotstall/peridotstall/internal/telemetry"
	"github.com/peridotstall/peridotstall/internal/tunnel"
)

const (
	// tickInterval is the resolution of all timers of the agent.
	tickInterval = 50 * time.Millisecond
	// pauseThreshold is the gap between two ticks that counts as a pause.
	pauseThreshold = 2 * time.Second
	// backendRetry is the time after a failed connection for which openings are
	// passed on; then one of them shows whether the backend server is back.
	backendRetry = time.Second
	// quarantine keeps the port of a closed flow in use, so that a late packet
	// of the backend server cannot reach a later flow.
	quarantine = 5 * time.Second
)

// Options are what an agent is built from.
type Options struct {
	Settings *schema.AgentSettings
	Logger   *telemetry.Logger
	Metrics  *telemetry.Metrics
	Tracer   *telemetry.Tracer
	// Seed makes the random choices of a test repeatable; 0 picks one.
	Seed uint64
	// Incarnation identifies this run of the agent.
	Incarnation uint64
	// Baseline opens every unknown flow and asks nobody, as a plain hashing
	// balancer needs it; for comparison only.
	Baseline bool
	// Algorithm is the rule of admission.
	Algorithm admission.Algorithm
}

// Hosts is the agent's view of the fleet.
type Hosts struct {
	// Usable reports whether a host may get new flows.
	Usable func(host string) bool
	// Dead reports whether a host was found dead by its probers.
	Dead func(host string) bool
	// Balancers are the frame addresses of live balancers.
	Balancers []netip.AddrPort
}

// Agent is one agent process.
type Agent struct {
	options Options
	tunnel  *tunnel.Socket
	control tunnel.Receiver
	client  *http.Client

	mu        sync.Mutex
	flows     *flow.Core
	offers    *offer.Machine
	admission *admission.Controller
	view      *view
	hosts     Hosts
	balancers balancers
	draining  bool
	lastTick  time.Time
	backends  map[placement.Key]*backend
	sessions  map[uint64]*backend
	requests  map[uint64]context.CancelFunc
	returns   *returns
	refusals  refusals
	handovers handovers
	// backendDown is the time of the last connection that failed; zero while the
	// backend server accepts connections.
	backendDown time.Time
	// relay and streams are nil without a backend server for TCP.
	relay   *relay.Agent
	streams net.Listener
	// trace is the traceparent of the caller packet that is being handled.
	trace string
	// predecessor is what the agent takes over; nil without one.
	predecessor *rpcapi.Takeover
}

// New binds the frame socket.
func New(o Options) (*Agent, error) {
	socket, streams, err := bind(o)
	if err != nil {
		return nil, err
	}
	always := func(string) bool { return true }
	never := func(string) bool { return false }
	a := &Agent{
		options:  o,
		tunnel:   socket,
		streams:  streams,
		client:   newBackendClient(),
		hosts:    Hosts{Usable: always, Dead: never},
		lastTick: time.Now(),
		backends: map[placement.Key]*backend{},
		sessions: map[uint64]*backend{},
		requests: map[uint64]context.CancelFunc{},
		returns:  newReturns(),
	}
	if streams != nil {
		a.relay = a.newRelay()
	}
	return a, nil
}

// Tunnel returns the frame socket, which the control loop shares.
func (a *Agent) Tunnel() *tunnel.Socket {
	return a.tunnel
}

// SetControl sets the receiver of control frames; call it before Run.
func (a *Agent) SetControl(c tunnel.Receiver) {
	a.control = c
}

// SetConfig puts a configuration in force.
func (a *Agent) SetConfig(s *config.Snapshot) {
	a.mu.Lock()
	defer a.mu.Unlock()
	now := time.Now()
	a.view = newView(s, a.view, a.options.Settings.GetTarget())
	a.options.Metrics.Revision.Set(int64(s.Revision()))
	a.configureAdmission(now)
	first := a.flows == nil
	if first {
		a.start(now)
	}
	a.runFlow(a.flows.SetView(now, a.flowView()))
	if first && a.predecessor != nil {
		a.importState(now, a.predecessor)
		a.predecessor = nil
	}
}

// SetHosts puts a new view of the fleet in force.
func (a *Agent) SetHosts(h Hosts) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.hosts = h
	a.balancers = newBalancers(h.Balancers)
	if a.view != nil {
		a.runFlow(a.flows.SetView(time.Now(), a.flowView()))
	}
}

// ContactLost tells the agent that others may have found it dead.
func (a *Agent) ContactLost() {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.flows != nil {
		a.flows.ContactLost(time.Now())
	}
}

// Confirmed tells the agent that a peer confirmed its revision.
func (a *Agent) Confirmed() {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.flows != nil {
		a.flows.Confirmed(time.Now())
	}
}

// Run serves until the context ends or the frame socket fails.
func (a *Agent) Run(ctx context.Context) error {
	go a.tick(ctx)
	if a.streams != nil {
		go a.serveStreams()
	}
	stop := context.AfterFunc(ctx, a.Close)
	defer stop()
	return a.tunnel.Serve(a.handleFrame)
}

// Close closes all sockets. Flows that are still open are cut.
func (a *Agent) Close() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.closeAll()
}

// closeAll closes all sockets; the lock is held.
func (a *Agent) closeAll() {
	for key, b := range a.backends {
		b.close()
		delete(a.backends, key)
	}
	for sequence, b := range a.sessions {
		b.close()
		delete(a.sessions, sequence)
	}
	for _, cancel := range a.requests {
		cancel()
	}
	if a.streams != nil {
		a.streams.Close()
	}
	a.tunnel.Close()
}

// start builds the state machines at the first configuration.
func (a *Agent) start(now time.Time) {
	limits := flow.DefaultLimits()
	a.flows = flow.New(now, a.options.Settings.GetTarget(), limits, flowAdmission{a})
	a.flows.SetBaseline(a.options.Baseline)
	a.offers = offer.New(offer.Settings{
		Target:      a.options.Settings.GetTarget(),
		Incarnation: a.options.Incarnation,
	}, a.admission)
}

func (a *Agent) configureAdmission(now time.Time) {
	settings := a.view.admissionSettings()
	settings.Algorithm = a.options.Algorithm
	if a.admission == nil {
		rng := rand.New(rand.NewPCG(a.options.Seed, a.options.Incarnation))
		a.admission = admission.New(settings, rng)
		return
	}
	a.admission.Reconfigure(now, settings)
}

// tick drives the timers and notices pauses.
func (a *Agent) tick(ctx context.Context) {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			a.onTick(time.Now())
		}
	}
}

func (a *Agent) onTick(now time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.noticePause(now)
	if a.flows == nil {
		return
	}
	a.runFlow(a.flows.Tick(now))
	a.runOffer(a.offers.Tick(now))
	a.returns.expire(now)
	a.updateGauges()
	a.reportHandovers(now)
}

// noticePause voids offers and held packets when the process was not running
// for a while. Packet handlers call it too, since after a pause they may run
// before the next tick.
func (a *Agent) noticePause(now time.Time) {
	gap := now.Sub(a.lastTick)
	a.lastTick = now
	if gap <= pauseThreshold || a.flows == nil {
		return
	}
	a.options.Logger.Log(telemetry.ClockJump, "jump", gap)
	a.runFlow(a.flows.Tick(now))
	a.runOffer(a.offers.ClockJump(now))
}

func (a *Agent) updateGauges() {
	m := a.options.Metrics
	f, o := a.flows.Stats(), a.offers.Stats()
	m.Flows.Set(int64(f.Flows + o.Sessions))
	m.DirectoryEntries.Set(int64(f.Registered + f.Promised))
	m.BufferedPackets.Set(int64(f.Held))
	m.Requests.Set(int64(o.Running))
}

// flowAdmission grants connections to plain flows.
type flowAdmission struct{ agent *Agent }

// OpenFlow implements flow.Admission.
func (f flowAdmission) OpenFlow(now time.Time, service uint32) *errkind.Error {
	return f.agent.admission.OpenFlow(now, f.agent.view.member(service), "")
}

// CloseFlow implements flow.Admission.
func (f flowAdmission) CloseFlow(service uint32) {
	f.agent.admission.CloseFlow(f.agent.view.member(service), "")
}
