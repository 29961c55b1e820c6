package agent

import (
	"time"

	"github.com/peridotstall/peridotstall/internal/telemetry"
)

// handovers counts what points to views that differ. It is logged as sums, since
// one failed target can cause thousands of cases a second.
type handovers struct {
	outOfOrder int
	timeouts   int
	next       time.Time
}

// noteOutOfOrder counts a flow that a later candidate opened. The lock is held.
func (a *Agent) noteOutOfOrder() {
	a.options.Metrics.FlowsOutOfOrder.Inc()
	a.handovers.outOfOrder++
}

// noteAskTimeout counts a flow about which a target did not answer. The lock is held.
func (a *Agent) noteAskTimeout() {
	a.options.Metrics.QueryTimeouts.Inc()
	a.handovers.timeouts++
}

// reportHandovers writes the sums that are due. The lock is held.
func (a *Agent) reportHandovers(now time.Time) {
	h := &a.handovers
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
