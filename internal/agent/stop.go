package agent

import (
	"context"
	"time"
)

// drainPollInterval is the time between two checks for unfinished work during a
// drain.
const drainPollInterval = 20 * time.Millisecond

// Cut counts the flows and requests that a stop ended before they finished.
type Cut struct {
	Flows    int
	Requests int
}

// Any reports whether anything was cut.
func (c Cut) Any() bool {
	return c.Flows+c.Requests > 0
}

// SetDraining starts or ends draining. A draining agent refuses new work. Flows
// whose packets balancers now send to other targets are registered there at once.
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

// Drain starts draining, waits until all flows, requests and relayed connections
// have ended or ctx ends, and returns the number of those that remain.
func (a *Agent) Drain(ctx context.Context) Cut {
	a.SetDraining(true)
	streamsLeft := make(chan int, 1)
	go func() { streamsLeft <- a.drainStreams(ctx) }()
	left := a.drainFlows(ctx)
	left.Flows += <-streamsLeft
	return left
}

func (a *Agent) drainStreams(ctx context.Context) int {
	if a.relay == nil {
		return 0
	}
	return a.relay.Drain(ctx)
}

func (a *Agent) drainFlows(ctx context.Context) Cut {
	ticker := time.NewTicker(drainPollInterval)
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

// remaining counts open flows and requests whose answer the caller may not have
// received.
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

// EndSessions notifies the callers of open sessions that their sessions end.
func (a *Agent) EndSessions() {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.offers != nil {
		a.runOffer(a.offers.EndSessions(time.Now()))
	}
}
