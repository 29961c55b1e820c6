package agent

import (
	"context"
	"time"
)

// stopPoll is the interval at which a stopping agent looks for remaining work.
const stopPoll = 20 * time.Millisecond

// Cut counts what a stop ended before it was finished.
type Cut struct {
	Flows    int
	Requests int
}

// Any reports whether anything was cut.
func (c Cut) Any() bool {
	return c.Flows+c.Requests > 0
}

// SetDraining refuses new work from now on, or accepts it again. Flows that
// balancers will look for elsewhere are registered at once.
func (a *Agent) SetDraining(draining bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.draining == draining {
		return
	}
	a.draining = draining
	if a.flows == nil {
		return
	}
	now := time.Now()
	a.runOffer(a.offers.SetDraining(now, draining))
	a.runFlow(a.flows.SetView(now, a.flowView()))
}

// Draining reports whether the agent refuses new work.
func (a *Agent) Draining() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.draining
}

// Drain waits until all flows, requests and relayed connections have ended or
// the context ends, and returns what is left.
func (a *Agent) Drain(ctx context.Context) Cut {
	a.SetDraining(true)
	streams := make(chan int, 1)
	go func() { streams <- a.drainStreams(ctx) }()
	left := a.drainFlows(ctx)
	left.Flows += <-streams
	return left
}

func (a *Agent) drainStreams(ctx context.Context) int {
	if a.relay == nil {
		return 0
	}
	return a.relay.Drain(ctx)
}

func (a *Agent) drainFlows(ctx context.Context) Cut {
	ticker := time.NewTicker(stopPoll)
	defer ticker.Stop()
	for {
		left := a.remaining()
		if !left.Any() {
			return left
		}
		select {
		case <-ctx.Done():
			return left
		case <-ticker.C:
		}
	}
}

// remaining counts open flows and requests whose answer has not arrived.
func (a *Agent) remaining() Cut {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.flows == nil {
		return Cut{}
	}
	o := a.offers.Stats()
	return Cut{
		Flows:    a.flows.Stats().Flows + o.Sessions,
		Requests: a.offers.Unfinished(time.Now()),
	}
}

// EndSessions tells the callers of open sessions that they end.
func (a *Agent) EndSessions() {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.offers != nil {
		a.runOffer(a.offers.EndSessions(time.Now()))
	}
}
