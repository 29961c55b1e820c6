package agent

import (
	"time"

	"github.com/peridotstall/peridotstall/internal/placement"
	"github.com/peridotstall/peridotstall/internal/telemetry"
)

// handovers counts what points to views that differ. It is logged as sums, since
// one failed target can cause thousands of cases a second.
type handovers struct {
	outOfOrder int
	timeouts   int
	// seen is the number of timeouts that the ownership state had at the last tick.
	seen uint64
	next time.Time
}

// noteOpened counts a flow that this target opened although another one is its
// first candidate. The lock is held.
func (a *Agent) noteOpened(key placement.Key) {
	first, ok := a.view.table.First(key.Service, a.view.table.Hash(key))
	if !ok || first == a.options.Settings.GetTarget() {
		return
	}
	a.options.Metrics.FlowsOutOfOrder.Inc()
	a.handovers.outOfOrder++
}

// reportHandovers updates the figures and writes the sums that are due. The lock is
// held.
func (a *Agent) reportHandovers(now time.Time) {
	h := &a.handovers
	timeouts := a.flows.Stats().AskTimeouts
	a.options.Metrics.QueryTimeouts.Add(int(timeouts - h.seen))
	h.timeouts += int(timeouts - h.seen)
	h.seen = timeouts
	if now.Before(h.next) || h.outOfOrder+h.timeouts == 0 {
		return
	}
	if h.outOfOrder > 0 {
		a.options.Logger.Log(telemetry.FlowOpenedOutOfOrder, "count", h.outOfOrder)
	}
	if h.timeouts > 0 {
		a.options.Logger.Log(telemetry.HandoverTimeout, "count", h.timeouts)
	}
	h.outOfOrder, h.timeouts = 0, 0
	h.next = now.Add(telemetry.LimitInterval)
}
