package occupancy

import "time"

// startSlack is the time before the start of an agent from which a lifetime of
// its target has no flows that the agent does not know: a target is reached
// through its agent only, and a process that ends is not replaced within this
// time.
const startSlack = 400 * time.Millisecond

// Knowledge says whether an agent knows every flow of its target: it has been
// there for the whole lifetime of the target, or for longer than a flow can be
// idle.
type Knowledge struct {
	// since is the time from which the agent has seen all segments, wall the same
	// in milliseconds of the host's clock. The target reads that clock too.
	since time.Duration
	wall  int64
	// born is the start of the target's lifetime on the same clock, 0 if unknown.
	born int64
	// idle is the longest time that a flow may be idle, 0 if unknown.
	idle time.Duration
}

// NewKnowledge returns the knowledge of an agent that begins now; wall is the
// same time in Unix milliseconds.
func NewKnowledge(now time.Duration, wall int64) Knowledge {
	return Knowledge{since: now, wall: wall}
}

// Learn records what a balancer says of the target: the start of its lifetime in
// Unix milliseconds, and the longest time that a flow may be idle. The newest
// lifetime counts.
func (k *Knowledge) Learn(born int64, idle time.Duration) {
	k.born = max(k.born, born)
	if idle > 0 {
		k.idle = idle
	}
}

// Complete reports whether the agent knows every flow of its target.
func (k *Knowledge) Complete(now time.Duration) bool {
	if k.idle > 0 && now-k.since >= k.idle {
		return true
	}
	return k.born > 0 && k.born >= k.wall-startSlack.Milliseconds()
}
