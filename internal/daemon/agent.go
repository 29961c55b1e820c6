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

// takeoverLinger is the time for which a process stays after its successor took
// over, to write its reply.
const takeoverLinger = 500 * time.Millisecond

// AgentOptions select baselines for comparison; the zero value is normal work.
type AgentOptions struct {
	// Baseline opens every unknown flow without asking.
	Baseline bool
	// Algorithm is the rule of admission.
	Algorithm admission.Algorithm
}

// Agent is a running agent process.
type Agent struct {
	*process
	agent    *agent.Agent
	settings *schema.AgentSettings
	cancel   context.CancelFunc
	ended    chan error
	// listLeaving and healthLeaving are the two outside reasons to leave.
	listLeaving, healthLeaving atomic.Bool
	stopping, handedOver       atomic.Bool
}

// StartAgent starts an agent. It serves as soon as it has a confirmed
// configuration; see Ready.
func StartAgent(settings *schema.AgentSettings, logger *telemetry.Logger, o AgentOptions) (*Agent, error) {
	p, err := newProcess(schema.Role_AGENT, settings.GetCommon(), logger)
	if err != nil {
		return nil, err
	}
	predecessor, err := takeOver(settings)
	if err != nil {
		return nil, err
	}
	// The time orders the runs of a host, the random part keeps two runs within
	// one millisecond apart, so that no token of an earlier run is accepted.
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
		inner.TakeOver(predecessor)
	}
	a := &Agent{process: p, agent: inner, settings: settings, ended: make(chan error, 1)}
	ctx, cancel := context.WithCancel(context.Background())
	a.cancel = cancel
	err = p.connect(inner.Tunnel(), settings.GetTarget(), incarnation, hooks{
		config:    inner.SetConfig,
		view:      a.onView,
		confirmed: inner.RevisionConfirmed,
		doubt:     inner.ContactLost,
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

// takeOver asks the running agent of the settings for its flows. The agent ends,
// so that its addresses are free afterwards.
func takeOver(settings *schema.AgentSettings) (*rpcapi.Takeover, error) {
	address := settings.GetTakeoverAddress()
	if address == "" {
		return nil, nil
	}
	limit := time.Duration(settings.GetDrainLimitMs())*time.Millisecond + takeoverLinger
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

// HandOver gives the flows to a successor process and ends the agent. It refuses
// a successor with another target, which could not serve the flows.
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
	a.drain("a successor took over", 0)
	a.finish(0, 0)
	return state, nil
}

// run serves until the frame socket is closed. After a takeover it ends a little
// later, so that the reply to the successor is written.
func (a *Agent) run(ctx context.Context) {
	err := a.agent.Run(ctx)
	if a.handedOver.Load() {
		timer := time.NewTimer(takeoverLinger)
		<-timer.C
		a.cancel()
	}
	a.ended <- err
}

// onView passes a new view on and leaves when the host list says so.
func (a *Agent) onView(v *membership.View) {
	a.agent.SetHosts(agent.Hosts{
		Usable:    v.Usable,
		Dead:      func(host string) bool { return v.State(host) == schema.HostState_DEAD },
		Balancers: v.Balancers(),
	})
	a.listLeaving.Store(v.Listed(a.process.settings.GetHost()) == schema.HostState_LEAVING)
	a.follow()
}

// follow begins or ends leaving, whichever the reasons ask for.
func (a *Agent) follow() {
	if a.stopping.Load() {
		return
	}
	leaving := a.listLeaving.Load() || a.healthLeaving.Load()
	switch {
	case leaving && !a.agent.Draining():
		a.agent.SetDraining(true)
		a.drain("the backend server is leaving", 0)
	case !leaving && a.agent.Draining():
		a.agent.SetDraining(false)
		if a.stage.State() == lifecycle.Draining && a.stage.Resume() == nil {
			a.control.Announce(schema.HostState_LIVE)
		}
	}
}

// Ended receives the error with which the process ended by itself.
func (a *Agent) Ended() <-chan error {
	return a.ended
}

// Stop refuses new work at once, waits until flows and requests have ended or
// the drain limit or the context ends, and closes the agent. It returns how many
// flows and requests were cut.
func (a *Agent) Stop(ctx context.Context, reason string) (cut int) {
	a.stopping.Store(true)
	a.agent.SetDraining(true)
	limit := time.Duration(a.settings.GetDrainLimitMs()) * time.Millisecond
	a.drain(reason, limit)
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	left := a.agent.Drain(ctx)
	a.metrics.FlowsCut.Add(left.Flows)
	a.metrics.RequestsCut.Add(left.Requests)
	a.agent.EndSessions()
	a.cancel()
	a.agent.Close()
	a.finish(left.Flows, left.Requests)
	return left.Flows + left.Requests
}

// Kill closes the agent at once, as the end of its process would.
func (a *Agent) Kill() {
	a.stopping.Store(true)
	a.cancel()
	a.agent.Close()
	a.metrics.Close()
}

// Address returns the frame address.
func (a *Agent) Address() netip.AddrPort {
	return a.agent.Tunnel().Local()
}

// Status implements rpcapi.Process.
func (a *Agent) Status() rpcapi.Status {
	return a.complete(a.agent.Status())
}

// Treatment implements rpcapi.Process.
func (a *Agent) Treatment() []rpcapi.Treatment {
	return a.agent.Treatment()
}

// Explain implements rpcapi.Process.
func (a *Agent) Explain(q rpcapi.FlowQuery) (rpcapi.Explanation, error) {
	return a.agent.Explain(q)
}
