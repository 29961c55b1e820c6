package admission

import (
	"math"
	"time"
)

const (
	// activeWindow is the time after its last arrival for which a class counts in
	// the division of the slots. A bound on the demand instead makes a class with
	// few requests lose most of them behind uploads of 2 s.
	activeWindow = 10 * time.Second
	// staffingFactor is the factor of the square root in square-root staffing:
	// slots beyond the demand that absorb bursts of arrivals. Without them, a
	// class whose demand is close to a whole number of slots loses up to 15% of
	// its requests behind long uploads.
	staffingFactor = 0.5
	// minAvailableSlots is the lower bound of the slots by which expectedWait
	// divides.
	minAvailableSlots = 0.05
)

// shares are the rates at which a class earns slot time, in slots.
type shares struct {
	floor float64 // guaranteed
	share float64 // floor plus a weighted part of the slots that no floor guarantees
}

// shares returns the shares of a class when the slots are divided between it and
// the other active classes.
func (c *Controller) shares(cl *class) shares {
	slots := float64(c.limit.slots())
	unguaranteed, weights := 1.0, 0.0
	for _, other := range c.classes {
		if other == cl || other.active() {
			unguaranteed -= other.floor
			weights += other.weight
		}
	}
	share := cl.floor
	if weights > 0 {
		share += max(unguaranteed, 0) * cl.weight / weights
	}
	return shares{floor: cl.floor * slots, share: share * slots}
}

// pick returns the request to start next, or nil. Classes below their floor come
// first, then classes below their share, then classes that borrow unused slots.
// Within each group, more urgent classes come first.
func (c *Controller) pick(now time.Time) *entry {
	if c.settings.Algorithm == FIFO {
		return c.oldest(now)
	}
	for _, allowed := range []func(*class) bool{c.belowFloor, c.belowShare, c.mayBorrow} {
		for _, cl := range c.classes {
			if !allowed(cl) {
				continue
			}
			if e := c.leastServed(now, cl); e != nil {
				return e
			}
		}
	}
	return nil
}

// belowFloor reports whether the class may start a request on its floor. It must
// run fewer requests than the floor rounded up.
func (c *Controller) belowFloor(cl *class) bool {
	floor := c.shares(cl).floor
	return floor > 0 && cl.floorAccount.credit >= 0 && float64(cl.running) < math.Ceil(floor)
}

// belowShare reports whether the class may start a request on its share.
func (c *Controller) belowShare(cl *class) bool {
	share := c.shares(cl).share
	return cl.shareAccount.credit >= 0 && float64(cl.running) < math.Ceil(share) && c.mayBorrow(cl)
}

// mayBorrow reports whether the class can start a request and still leave the
// headroom for more urgent classes.
func (c *Controller) mayBorrow(cl *class) bool {
	return c.running+1+c.headroom(cl) <= c.limit.slots()
}

// headroom returns how many free slots a class leaves to more urgent classes. A
// started request cannot be preempted, so slots stay free for the demand of more
// urgent classes whose requests cannot wait until a request of this class ends.
func (c *Controller) headroom(cl *class) int {
	demand := 0.0
	running := 0
	for _, other := range c.classes {
		if other.urgency <= cl.urgency || !other.active() || !other.cannotWaitFor(cl) {
			continue
		}
		demand += min(other.demand(), c.shares(other).share)
		running += other.running
	}
	needed := int(math.Ceil(demand + staffingFactor*math.Sqrt(demand)))
	limit := c.limit.slots()
	if cl.floor == 0 {
		limit-- // one slot for the class, which runs on borrowed slots only
	}
	return max(0, min(needed, limit)-running)
}

// cannotWaitFor reports whether twice the mean service time of the other class
// exceeds the time that requests of this class can wait and still meet their
// deadline. An unknown service time of the other class may be long.
func (cl *class) cannotWaitFor(other *class) bool {
	if !cl.slack.known {
		return false
	}
	if !other.service.known {
		return true
	}
	return 2*other.service.mean() > cl.slack.mean()-cl.service.mean()
}

// leastServed returns the first startable request of the member with the lowest
// virtual time, or nil. Ties are broken at random.
func (c *Controller) leastServed(now time.Time, cl *class) *entry {
	var best *entry
	ties := 1
	for _, q := range cl.queues {
		e := q.head(now)
		if e == nil {
			continue
		}
		switch {
		case best == nil || q.virtualTime < best.queue.virtualTime:
			best, ties = e, 1
		case q.virtualTime == best.queue.virtualTime:
			ties++
			if c.rng.IntN(ties) == 0 {
				best = e
			}
		}
	}
	if best != nil {
		cl.virtualTime = max(cl.virtualTime, best.queue.virtualTime)
	}
	return best
}

// oldest returns the request that was enqueued first, or nil.
func (c *Controller) oldest(now time.Time) *entry {
	var best *entry
	for _, cl := range c.classes {
		for _, q := range cl.queues {
			e := q.head(now)
			if e != nil && (best == nil || e.enqueued.Before(best.enqueued)) {
				best = e
			}
		}
	}
	return best
}

// expectedWait estimates how long a new request of the queue waits for a slot.
// The result is false before the first sample and while the class has no work:
// a request must run then, because an outdated estimate would never be corrected
// and would refuse the class forever.
func (c *Controller) expectedWait(q *queue) (time.Duration, bool) {
	cl := q.class
	if !cl.service.known || cl.waiting()+cl.running == 0 {
		return 0, false
	}
	if cl.waiting() == 0 && c.running < c.limit.slots() && c.mayBorrow(cl) {
		return 0, true
	}
	seconds := float64(c.requestsAhead(q)) * cl.service.mean().Seconds() / c.availableSlots(cl)
	return c.residualTime() + time.Duration(seconds*float64(time.Second)), true
}

// requestsAhead estimates how many waiting requests of the class start before a
// new request of the queue: all of its own member, and of each other member as
// many as its weight allows in the same time.
func (c *Controller) requestsAhead(q *queue) int {
	own := q.waiting()
	total := own
	for _, other := range q.class.queues {
		if other != q {
			overtaking := math.Ceil(float64(own) * other.weight / q.weight)
			total += min(other.waiting(), int(overtaking))
		}
	}
	return total
}

// availableSlots estimates the average number of slots that the class gets.
func (c *Controller) availableSlots(cl *class) float64 {
	others := 0.0
	for _, other := range c.classes {
		if other != cl {
			others += min(other.demand(), c.shares(other).share)
		}
	}
	return max(float64(c.limit.slots())-others, c.shares(cl).share, minAvailableSlots)
}

// residualTime estimates the time until the first running request ends.
func (c *Controller) residualTime() time.Duration {
	rate := 0.0
	for _, cl := range c.classes {
		if cl.running > 0 && cl.service.value > 0 {
			rate += float64(cl.running) / cl.service.value
		}
	}
	if rate == 0 {
		return 0
	}
	return time.Duration(1 / rate)
}
