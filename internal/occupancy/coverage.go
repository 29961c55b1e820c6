package occupancy

import "time"

// startTolerance is the time before the start of an agent within which its target may
// have started and still have no flows that the agent has not seen: a target is
// reachable only through its agent, and a process that exits is not replaced within
// this time.
const startTolerance = 400 * time.Millisecond

// descriptionWait is the time after the start of an agent in which balancers that have known
// its target for longer say so: two rounds of pings, and a late one.
const descriptionWait = 700 * time.Millisecond

// Coverage determines whether an agent has seen every flow of its target: it has been
// running for the whole incarnation of the target, or for longer than a flow can be
// idle.
type Coverage struct {
	// started is the time from which the agent has seen all segments; startedUnixMs is
	// the same time on the host's clock, which the target reads too.
	started       time.Duration
	startedUnixMs int64
	// born is the start of the target's incarnation on that clock in Unix milliseconds; 0 if
	// unknown.
	born int64
	// older is set if the incarnation is known to be older than the agent, or if the clock
	// was stepped since one of both started.
	older bool
	// maxIdle is the longest time that a flow may be idle; 0 if unknown.
	maxIdle time.Duration
}

// NewCoverage returns the coverage of an agent that starts now. The same time on the
// host's clock is given in Unix milliseconds.
func NewCoverage(now time.Duration, unixMs int64) Coverage {
	return Coverage{started: now, startedUnixMs: unixMs}
}

// Description is what a balancer says of a target.
type Description struct {
	// Born is the start of the target's incarnation in Unix milliseconds.
	Born int64
	// Known is the time for which the balancer has known the incarnation.
	Known time.Duration
	// MaxIdle is the longest time that a flow may be idle; 0 if unknown.
	MaxIdle time.Duration
}

// Update records a description at a time that is also given on the host's clock, in Unix
// milliseconds. The newest incarnation takes precedence.
func (c *Coverage) Update(now time.Duration, unixMs int64, d Description) {
	if d.MaxIdle > 0 {
		c.maxIdle = d.MaxIdle
	}
	if d.Born < c.born {
		return
	}
	if d.Born > c.born {
		c.born, c.older = d.Born, false
	}
	c.older = c.older || d.Known > now-c.started+startTolerance || d.Born > unixMs
}

// Complete reports whether the agent has seen every flow of its target.
func (c *Coverage) Complete(now time.Duration) bool {
	if c.maxIdle > 0 && now-c.started >= c.maxIdle {
		return true
	}
	return c.born > 0 && !c.older && now-c.started >= descriptionWait && c.born >= c.startedUnixMs-startTolerance.Milliseconds()
}
