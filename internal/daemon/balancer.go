package daemon

import (
	"context"
	"net/netip"
	"time"

	"github.com/pkg/errors"

	"github.com/peridotstall/peridotstall/internal/balancer"
	"github.com/peridotstall/peridotstall/internal/membership"
	"github.com/peridotstall/peridotstall/internal/route"
	"github.com/peridotstall/peridotstall/internal/rpcapi"
	"github.com/peridotstall/peridotstall/internal/schema"
	"github.com/peridotstall/peridotstall/internal/telemetry"
)

// Balancer is a running balancer process.
type Balancer struct {
	*process
	settings *schema.BalancerSettings
	balancer *balancer.Balancer
	cancel   context.CancelFunc
	// lastView is the view that was applied last. Only the goroutine of the control
	// plane uses it.
	lastView *membership.View
	ended    chan error
}

// StartBalancer starts a balancer. It serves once it has a confirmed configuration;
// see Ready. StartBalancer returns an error for invalid settings or an address that
// cannot be bound.
func StartBalancer(settings *schema.BalancerSettings, logger *telemetry.Logger, policy route.Policy) (*Balancer, error) {
	p, err := newProcess(schema.Role_BALANCER, settings.GetCommon(), logger)
	if err != nil {
		return nil, err
	}
	inner, err := balancer.New(balancer.Options{
		Settings: settings,
		Logger:   p.logger,
		Metrics:  p.metrics,
		Tracer:   p.tracer,
		Policy:   policy,
	})
	if err != nil {
		return nil, err
	}
	b := &Balancer{process: p, settings: settings, balancer: inner, ended: make(chan error, 1)}
	ctx, cancel := context.WithCancel(context.Background())
	b.cancel = cancel
	err = p.connect(inner.Tunnel(), 0, 0, hooks{
		config:    inner.SetConfig,
		view:      b.onView,
		confirmed: func() {},
		linkDoubt: func() {},
	})
	if err == nil {
		inner.SetControl(p.control)
		err = p.serve(ctx, b)
	}
	if err != nil {
		cancel()
		inner.Close()
		return nil, err
	}
	go func() { b.ended <- inner.Run(ctx) }()
	return b, nil
}

// onView applies the changes of a view since the last one.
func (b *Balancer) onView(v *membership.View) {
	changed, all := v.ChangedSince(b.lastView)
	b.lastView = v
	if all {
		b.balancer.SetHosts(v.Usable)
		return
	}
	b.balancer.UpdateHosts(changed, v.Usable)
}

// Ended returns a channel that receives the result of serving, nil or an error,
// when the process ends.
func (b *Balancer) Ended() <-chan error {
	return b.ended
}

// Stop stops the balancer gracefully: it announces that the balancer leaves,
// forwards packets until the fabric has withdrawn its traffic or ctx ends, and
// closes the balancer. It returns the number of relayed connections that were cut;
// a balancer holds no other flows. The reason is logged.
func (b *Balancer) Stop(ctx context.Context, reason string) (cut int) {
	// The balancer forwards for at most twice the grace time.
	b.beginDrain(reason, 2*time.Duration(b.settings.GetStopGraceMs())*time.Millisecond)
	cut = b.balancer.Drain(ctx)
	b.cancel()
	b.balancer.Close()
	b.finishStop(cut, 0)
	return cut
}

// Kill closes the balancer immediately, as a crash of its process would.
func (b *Balancer) Kill() {
	b.cancel()
	b.balancer.Close()
	b.metrics.Close()
}

// ListenerAddress returns the bound address of a service. It returns false if the
// service has no listener.
func (b *Balancer) ListenerAddress(service uint32) (netip.AddrPort, bool) {
	return b.balancer.ListenerAddress(service)
}

// Address returns the bound address of the frame socket.
func (b *Balancer) Address() netip.AddrPort {
	return b.balancer.Tunnel().Local()
}

// Status implements rpcapi.Process.
func (b *Balancer) Status() rpcapi.Status {
	return b.addProcessStatus(b.balancer.Status())
}

// Treatment implements rpcapi.Process.
func (b *Balancer) Treatment() []rpcapi.Treatment {
	return b.balancer.Treatment()
}

// Explain implements rpcapi.Process.
func (b *Balancer) Explain(q rpcapi.FlowQuery) (rpcapi.Explanation, error) {
	return b.balancer.Explain(q)
}

// HandOver implements rpcapi.Process. It returns an error, because a balancer holds
// no flows.
func (b *Balancer) HandOver(uint32) (*rpcapi.Takeover, error) {
	return nil, errors.New("a balancer has no flows; start the new one and stop this one")
}
