package occupancy

import "time"

// startTolerance is the time before the start of an agent within which its target may
// have started and still have no flows that the agent has not seen: a target is
// reachable only through its agent, and a process that exits is not replaced within
// this time.
const startTolerance = 400 * time.Millisecond

// Coverage determines whether an agent has seen every flow of its target: it has been
// running for the whole incarnation of the target, or for longer than a flow can be
// idle.
type Coverage struct {
	// started is the time from which the agent has seen all segments; startedUnixMs is
	// the same time on the host's clock, which the target reads too.
	started       time.Duration
	startedUnixMs int64
	// targetStartUnixMs is the start of the target's incarnation on that clock; 0 if
	// unknown.
	targetStartUnixMs int64
	// maxIdle is the longest time that a flow may be idle; 0 if unknown.
	maxIdle time.Duration
}

// NewCoverage returns the coverage of an agent that starts now. The same time on the
// host's clock is given in Unix milliseconds.
func NewCoverage(now time.Duration, unixMs int64) Coverage {
	return Coverage{started: now, startedUnixMs: unixMs}
}

// Update records what a balancer reports of the target: the start of its incarnation in
// Unix milliseconds, and the longest time that a flow may be idle. The newest
// incarnation takes precedence.
func (c *Coverage) Update(born int64, idle time.Duration) {
	c.targetStartUnixMs = max(c.targetStartUnixMs, born)
	if idle > 0 {
		c.maxIdle = idle
	}
}

// Complete reports whether the agent has seen every flow of its target.
func (c *Coverage) Complete(now time.Duration) bool {
	if c.maxIdle > 0 && now-c.started >= c.maxIdle {
		return true
	}
	return c.targetStartUnixMs > 0 && c.targetStartUnixMs >= c.startedUnixMs-startTolerance.Milliseconds()
}
