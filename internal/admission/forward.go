package admission

import "time"

// maxHops is the number of times that agents may forward an opening. It is the
// same limit as wire.MaxHops.
const maxHops = 2

// Load is the load of a target as it applies to one opening.
type Load struct {
	// Running is the number of running requests, Slots the concurrency limit.
	Running, Slots int
	// Reserved is the number of offers whose requests have not arrived. They
	// count like running requests, because all openings of a burst arrive before
	// the first request.
	Reserved int
	// Waiting is the number of reserved and queued requests of the member.
	Waiting int
	// Wait is the expected time in the queue, 0 if unknown.
	Wait time.Duration
}

// Load returns the load that applies to a new request of the member and class.
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

// memberWaiting returns the number of reserved and queued requests of a member
// in all classes.
func (c *Controller) memberWaiting(member string) int {
	waiting := 0
	for _, cl := range c.classes {
		waiting += c.queue(member, cl.name).waiting()
	}
	return waiting
}

// ShouldForward reports whether an agent forwards an opening to the next candidate.
// hops is the number of times that it was already forwarded, candidates the
// number of usable candidates after this agent, and refused whether this agent
// refused it.
//
// An opening is also forwarded if all slots are in use and its member already
// waits. With refusals alone, a target runs at its limit before its agent
// forwards anything: 1.31 times the mean utilization at 80% load. The queues of
// other members do not count, because the member gets its share regardless of
// them. If they counted, a flood of one member would send the openings of the
// others from target to target up to the last candidate.
func ShouldForward(l Load, hops, candidates int, refused bool) bool {
	if hops >= maxHops || candidates == 0 {
		return false
	}
	return refused || l.Running+l.Reserved >= l.Slots && l.Waiting > 0
}
