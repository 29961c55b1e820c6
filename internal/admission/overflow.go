package admission

import "time"

// maxHops is the number of times that an opening may pass from agent to agent.
const maxHops = 2

// Load is an agent's own view of its target for one opening.
type Load struct {
	// Running and Slots are the requests that run and may run.
	Running, Slots int
	// Reserved are offers whose requests have not arrived yet. They count like
	// running requests: a burst of openings arrives before the first request.
	Reserved int
	// Waiting is the queue room that the member uses, reservations included.
	Waiting int
	// Wait is the expected wait of the opening.
	Wait time.Duration
}

// Load returns the load that a new request of the member and class would meet.
func (c *Controller) Load(member, class string) Load {
	q := c.queue(member, class)
	wait, _ := c.expectedWait(q)
	return Load{
		Running:  c.running,
		Slots:    c.limit.slots(),
		Reserved: c.reserved(),
		Waiting:  c.memberWaiting(q.member),
		Wait:     wait,
	}
}

func (c *Controller) reserved() int {
	total := 0
	for _, cl := range c.classes {
		for _, q := range cl.queues {
			total += q.reserved
		}
	}
	return total
}

// memberWaiting is the queue room that a member uses in all classes.
func (c *Controller) memberWaiting(member string) int {
	waiting := 0
	for _, cl := range c.classes {
		waiting += c.queue(member, cl.name).waiting()
	}
	return waiting
}

// Overflow reports whether an agent passes an opening to the next candidate.
// hops is the number of times that it was passed already, candidates the
// number of usable candidates after this agent, and refused whether admission
// refused it here. An opening is also passed on when all slots are in use and
// its member already waits: an agent that passes on only what it refuses works
// at full use before it passes on anything, at 1.31 times the mean at 80% load.
// The queues of other members do not count, since they delay the member no
// further than its share; counted, a flood of one member sent the openings of
// the other from target to target to the last candidate.
func Overflow(l Load, hops, candidates int, refused bool) bool {
	if hops >= maxHops || candidates == 0 {
		return false
	}
	return refused || l.Running+l.Reserved >= l.Slots && l.Waiting > 0
}
