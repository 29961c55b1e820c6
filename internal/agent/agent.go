// Package agent implements the agent process beside a backend server, the sole
// owner of the flows, slots and queues of its target. It holds the sockets and
// executes the actions that the packages flow, offer and admission return.
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
	// tickInterval is the resolution of all timers.
	tickInterval = 50 * time.Millisecond
	// pauseThreshold is the gap between two ticks from which the process counts
	// as paused.
	pauseThreshold = 2 * time.Second
	// backendRetryInterval is the time after a failed connection to the backend
	// server during which openings are forwarded to the next candidate. The next
	// opening after it tests whether the backend server accepts connections again.
	backendRetryInterval = time.Second
	// closeDelay is the time for which the socket of a closed flow stays open.
	// While its port is in use, a late packet of the backend server cannot reach
	// a later flow.
	closeDelay = 5 * time.Second
)

// Options configures an Agent.
type Options struct {
	Settings *schema.AgentSettings
	Logger   *telemetry.Logger
	Metrics  *telemetry.Metrics
	Tracer   *telemetry.Tracer
	// Seed and Incarnation seed the random choices of admission; a test fixes both
	// to make them repeatable.
	Seed uint64
	// Incarnation identifies this incarnation of the agent.
	Incarnation uint64
	// Baseline disables queries: the agent opens every unknown flow, as behind a
	// balancer that only hashes. For comparison only.
	Baseline bool
	// Algorithm is the admission algorithm.
	Algorithm admission.Algorithm
}

// Hosts is the agent's view of the hosts.
type Hosts struct {
	// Usable reports whether new flows may be placed on a host.
	Usable func(host string) bool
	// Dead reports whether a host was declared dead by its probers.
	Dead func(host string) bool
	// Balancers holds the frame addresses of the live balancers.
	Balancers []netip.AddrPort
}

// Agent is one agent process. It is safe for concurrent use, except for the methods
// that must be called before Run.
type Agent struct {
	options Options
	tunnel  *tunnel.Socket
	control tunnel.Receiver
	client  *http.Client

	mu          sync.Mutex
	flows       *flow.Core
	offers      *offer.Machine
	admission   *admission.Controller
	view        *view
	hosts       Hosts
	balancers   balancerSet
	draining    bool
	lastTick    time.Time
	backends    map[placement.Key]*backend
	sessions    map[uint64]*backend
	requests    map[uint64]context.CancelFunc
	returnPaths *returnPaths
	refusals    refusals
	mismatches  viewMismatches
	// backendDown is the time of the last failed connection to the backend server,
	// zero while it accepts connections.
	backendDown time.Time
	// relay and streamListener are nil if no TCP backend server is configured.
	relay          *relay.Agent
	streamListener net.Listener
	// trace is the traceparent of the caller packet that is being handled.
	trace string
	// predecessor is the state to take over from the previous process, or nil.
	predecessor *rpcapi.Takeover
}

// New returns an agent and binds its frame socket and, for a TCP backend server,
// the TCP port of the same number. It returns an error if an address cannot be
// bound.
func New(o Options) (*Agent, error) {
	socket, streamListener, err := bind(o)
	if err != nil {
		return nil, err
	}
	always := func(string) bool { return true }
	never := func(string) bool { return false }
	a := &Agent{
		options:        o,
		tunnel:         socket,
		streamListener: streamListener,
		client:         newBackendClient(),
		hosts:          Hosts{Usable: always, Dead: never},
		lastTick:       time.Now(),
		backends:       map[placement.Key]*backend{},
		sessions:       map[uint64]*backend{},
		requests:       map[uint64]context.CancelFunc{},
		returnPaths:    newReturnPaths(),
	}
	if streamListener != nil {
		a.relay = a.newRelay()
	}
	return a, nil
}

// Tunnel returns the frame socket, which the control plane shares.
func (a *Agent) Tunnel() *tunnel.Socket {
	return a.tunnel
}

// SetControl sets the receiver of control frames; call it before Run.
func (a *Agent) SetControl(c tunnel.Receiver) {
	a.control = c
}

// SetConfig applies a configuration. The first one starts the flow and request
// state machines and imports the state of the predecessor.
func (a *Agent) SetConfig(s *config.Snapshot) {
	a.mu.Lock()
	defer a.mu.Unlock()
	now := time.Now()
	a.view = newView(s, a.view, a.options.Settings.GetTarget())
	a.options.Metrics.Revision.Set(int64(s.Revision()))
	a.configureAdmission(now)
	first := a.flows == nil
	if first {
		a.initState(now)
	}
	a.runFlow(a.flows.SetView(now, a.flowView()))
	if first && a.predecessor != nil {
		a.importState(now, a.predecessor)
		a.predecessor = nil
	}
}

// SetHosts applies a new view of the hosts.
func (a *Agent) SetHosts(h Hosts) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.hosts = h
	a.balancers = newBalancerSet(h.Balancers)
	if a.view != nil {
		a.runFlow(a.flows.SetView(time.Now(), a.flowView()))
	}
}

// ContactLost reports that the agent lost contact with its peers, which may have
// declared it dead.
func (a *Agent) ContactLost() {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.flows != nil {
		a.flows.ContactLost(time.Now())
	}
}

// RevisionConfirmed reports that a peer confirmed the configuration revision of
// the agent.
func (a *Agent) RevisionConfirmed() {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.flows != nil {
		a.flows.RevisionConfirmed(time.Now())
	}
}

// Run serves until ctx ends or the frame socket fails, and returns the error of
// the socket.
func (a *Agent) Run(ctx context.Context) error {
	go a.tick(ctx)
	if a.streamListener != nil {
		go a.serveStreamListener()
	}
	stop := context.AfterFunc(ctx, a.Close)
	defer stop()
	return a.tunnel.Serve(a.handleFrame)
}

// Close closes all sockets. It cuts open flows and cancels running requests.
func (a *Agent) Close() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.closeAll()
}

// closeAll closes all sockets. The caller must hold a.mu.
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
	if a.streamListener != nil {
		a.streamListener.Close()
	}
	a.tunnel.Close()
}

// initState builds the state machines for the first configuration.
func (a *Agent) initState(now time.Time) {
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

// tick calls onTick every tickInterval until ctx ends.
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
	a.detectPause(now)
	if a.flows == nil {
		return
	}
	a.runFlow(a.flows.Tick(now))
	a.runOffer(a.offers.Tick(now))
	a.returnPaths.expire(now)
	a.updateGauges()
	a.logMismatches(now)
}

// detectPause drops buffered packets and ends the requests that were not dispatched
// after the process was suspended for longer than pauseThreshold. Packet handlers
// call it too, because after a pause they may run before the next tick.
func (a *Agent) detectPause(now time.Time) {
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
	m.BufferedPackets.Set(int64(f.Buffered))
	m.Requests.Set(int64(o.Running))
}

// flowAdmission implements flow.Admission for plain flows. Callers must hold
// agent.mu.
type flowAdmission struct{ agent *Agent }

// OpenFlow implements flow.Admission.
func (f flowAdmission) OpenFlow(now time.Time, service uint32) *errkind.Error {
	return f.agent.admission.OpenFlow(now, f.agent.view.member(service), "")
}

// CloseFlow implements flow.Admission.
func (f flowAdmission) CloseFlow(service uint32) {
	f.agent.admission.CloseFlow(f.agent.view.member(service), "")
}
