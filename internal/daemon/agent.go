package daemon

import (
	"context"
	"math/rand/v2"
	"net/netip"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"github.com/peridotstall/peridotstall/internal/admission"
	"github.com/peridotstall/peridotstall/internal/agent"
	"github.com/peridotstall/peridotstall/internal/lifecycle"
	"github.com/peridotstall/peridotstall/internal/membership"
	"github.com/peridotstall/peridotstall/internal/rpcapi"
	"github.com/peridotstall/peridotstall/internal/schema"
	"github.com/peridotstall/peridotstall/internal/telemetry"
)

// takeoverExitDelay is the time between a takeover and the exit of the process, in
// which the reply to the successor is written.
const takeoverExitDelay = 500 * time.Millisecond

// AgentOptions selects baselines for comparison. The zero value selects normal
// operation.
type AgentOptions struct {
	// Baseline disables queries: the agent opens every unknown flow.
	Baseline bool
	// Algorithm is the admission algorithm.
	Algorithm admission.Algorithm
}

// Agent is a running agent process.
type Agent struct {
	*process
	agent    *agent.Agent
	settings *schema.AgentSettings
	cancel   context.CancelFunc
	ended    chan error
	// The agent leaves if the host list marks its host as leaving, or if the health
	// endpoint of the backend server reports "draining".
	leavingInList, leavingByHealth atomic.Bool
	stopping, handedOver           atomic.Bool
}

// StartAgent starts an agent, after the takeover from the running agent if the
// settings name one. The agent serves once it has a confirmed configuration; see
// Ready. StartAgent returns an error for invalid settings, a failed takeover or an
// address that cannot be bound.
func StartAgent(settings *schema.AgentSettings, logger *telemetry.Logger, o AgentOptions) (*Agent, error) {
	p, err := newProcess(schema.Role_AGENT, settings.GetCommon(), logger)
	if err != nil {
		return nil, err
	}
	predecessor, err := takeOver(settings)
	if err != nil {
		return nil, err
	}
	// The time in milliseconds orders the incarnations of a host. The random low 16
	// bits distinguish two incarnations within one millisecond, so that no token of
	// an earlier one is accepted.
	incarnation := uint64(time.Now().UnixMilli())<<16 | rand.Uint64()&0xffff
	inner, err := agent.New(agent.Options{
		Settings:    settings,
		Logger:      p.logger,
		Metrics:     p.metrics,
		Tracer:      p.tracer,
		Seed:        rand.Uint64(),
		Incarnation: incarnation,
		Baseline:    o.Baseline,
		Algorithm:   o.Algorithm,
	})
	if err != nil {
		return nil, err
	}
	if predecessor != nil {
		inner.SetPredecessor(predecessor)
	}
	a := &Agent{process: p, agent: inner, settings: settings, ended: make(chan error, 1)}
	ctx, cancel := context.WithCancel(context.Background())
	a.cancel = cancel
	err = p.connect(inner.Tunnel(), settings.GetTarget(), incarnation, hooks{
		config:    inner.SetConfig,
		view:      a.onView,
		confirmed: inner.RevisionConfirmed,
		linkDoubt: inner.ContactLost,
	})
	if err == nil {
		inner.SetControl(p.control)
		err = p.serve(ctx, a)
	}
	if err != nil {
		cancel()
		inner.Close()
		return nil, err
	}
	go a.run(ctx)
	go a.watchHealth(ctx)
	return a, nil
}

// takeOver requests the flows of the running agent that the settings name, and
// returns nil if they name none. The running agent exits, which frees its
// addresses.
func takeOver(settings *schema.AgentSettings) (*rpcapi.Takeover, error) {
	address := settings.GetTakeoverAddress()
	if address == "" {
		return nil, nil
	}
	limit := time.Duration(settings.GetDrainLimitMs())*time.Millisecond + takeoverExitDelay
	ctx, cancel := context.WithTimeout(context.Background(), limit)
	defer cancel()
	client, err := rpcapi.Dial(ctx, address)
	if err != nil {
		return nil, errors.Wrap(err, "take over from the running agent")
	}
	defer client.Close()
	state, err := client.HandOver(ctx, settings.GetTarget())
	return state, errors.Wrap(err, "take over from the running agent")
}

// HandOver implements rpcapi.Process. It returns the flows for a successor process
// and ends the agent. It returns an error for a successor with another target,
// which could not serve the flows, and if requests do not finish within the drain
// limit.
func (a *Agent) HandOver(target uint32) (*rpcapi.Takeover, error) {
	if own := a.settings.GetTarget(); target != own {
		return nil, errors.Errorf("this agent serves target %d, the successor target %d", own, target)
	}
	a.stopping.Store(true)
	limit := time.Duration(a.settings.GetDrainLimitMs()) * time.Millisecond
	ctx, cancel := context.WithTimeout(context.Background(), limit)
	defer cancel()
	a.handedOver.Store(true)
	state, err := a.agent.HandOver(ctx)
	if err != nil {
		a.handedOver.Store(false)
		a.stopping.Store(false)
		return nil, err
	}
	a.closeInterfaces()
	a.beginDrain("a successor took over", 0)
	a.finishStop(0, 0)
	return state, nil
}

// run serves until the frame socket is closed. After a takeover it delays the exit
// by takeoverExitDelay.
func (a *Agent) run(ctx context.Context) {
	err := a.agent.Run(ctx)
	if a.handedOver.Load() {
		timer := time.NewTimer(takeoverExitDelay)
		<-timer.C
		a.cancel()
	}
	a.ended <- err
}

// onView applies a new view of the hosts, and starts or ends draining according to
// the host list.
func (a *Agent) onView(v *membership.View) {
	a.agent.SetHosts(agent.Hosts{
		Usable:    v.Usable,
		Dead:      func(host string) bool { return v.State(host) == schema.HostState_DEAD },
		Balancers: v.Balancers(),
	})
	a.leavingInList.Store(v.Listed(a.process.settings.GetHost()) == schema.HostState_LEAVING)
	a.updateDraining()
}

// updateDraining starts or ends draining according to the host list and the health
// endpoint. It does nothing once the agent stops.
func (a *Agent) updateDraining() {
	if a.stopping.Load() {
		return
	}
	leaving := a.leavingInList.Load() || a.leavingByHealth.Load()
	switch {
	case leaving && !a.agent.Draining():
		a.agent.SetDraining(true)
		a.beginDrain("the backend server is leaving", 0)
	case !leaving && a.agent.Draining():
		a.agent.SetDraining(false)
		if a.stage.State() == lifecycle.Draining && a.stage.Resume() == nil {
			a.control.Announce(schema.HostState_LIVE)
		}
	}
}

// Ended returns a channel that receives the result of serving, nil or an error,
// when the process ends.
func (a *Agent) Ended() <-chan error {
	return a.ended
}

// Stop stops the agent gracefully: it refuses new work, waits until all flows and
// requests have ended, the drain limit has passed or ctx ends, and closes the
// agent. It returns the number of flows and requests that were cut. The reason is
// logged.
func (a *Agent) Stop(ctx context.Context, reason string) (cut int) {
	a.stopping.Store(true)
	a.agent.SetDraining(true)
	limit := time.Duration(a.settings.GetDrainLimitMs()) * time.Millisecond
	a.beginDrain(reason, limit)
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	left := a.agent.Drain(ctx)
	a.metrics.FlowsCut.Add(left.Flows)
	a.metrics.RequestsCut.Add(left.Requests)
	a.agent.EndSessions()
	a.cancel()
	a.agent.Close()
	a.finishStop(left.Flows, left.Requests)
	return left.Flows + left.Requests
}

// Kill closes the agent immediately, as a crash of its process would.
func (a *Agent) Kill() {
	a.stopping.Store(true)
	a.cancel()
	a.agent.Close()
	a.metrics.Close()
}

// Address returns the bound address of the frame socket.
func (a *Agent) Address() netip.AddrPort {
	return a.agent.Tunnel().Local()
}

// Status implements rpcapi.Process.
func (a *Agent) Status() rpcapi.Status {
	return a.addProcessStatus(a.agent.Status())
}

// Treatment implements rpcapi.Process.
func (a *Agent) Treatment() []rpcapi.Treatment {
	return a.agent.Treatment()
}

// Explain implements rpcapi.Process.
func (a *Agent) Explain(q rpcapi.FlowQuery) (rpcapi.Explanation, error) {
	return a.agent.Explain(q)
}
