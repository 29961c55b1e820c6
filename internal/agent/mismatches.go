package agent

import (
	"time"

	"github.com/peridotstall/peridotstall/internal/telemetry"
)

// viewMismatches counts signs that agents and balancers have different views. The
// counts are logged as sums, because one failed target can cause thousands of
// cases per second.
type viewMismatches struct {
	outOfOrder    int
	queryTimeouts int
	nextLog       time.Time
}

// countOutOfOrder counts a flow that was opened by a later candidate. The caller
// must hold a.mu.
func (a *Agent) countOutOfOrder() {
	a.options.Metrics.FlowsOutOfOrder.Inc()
	a.mismatches.outOfOrder++
}

// countQueryTimeout counts a flow for which a target did not reply to a query.
// The caller must hold a.mu.
func (a *Agent) countQueryTimeout() {
	a.options.Metrics.QueryTimeouts.Inc()
	a.mismatches.queryTimeouts++
}

// logMismatches logs and resets the counts, at most once per
// telemetry.LimitInterval. The caller must hold a.mu.
func (a *Agent) logMismatches(now time.Time) {
	m := &a.mismatches
	if now.Before(m.nextLog) || m.outOfOrder+m.queryTimeouts == 0 {
		return
	}
	if m.outOfOrder > 0 {
		a.options.Logger.Log(telemetry.FlowOpenedOutOfOrder, "count", m.outOfOrder)
	}
	if m.queryTimeouts > 0 {
		a.options.Logger.Log(telemetry.HandoverTimeout, "count", m.queryTimeouts)
	}
	m.outOfOrder, m.queryTimeouts = 0, 0
	m.nextLog = now.Add(telemetry.LimitInterval)
}
