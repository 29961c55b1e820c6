package admission

import (
	"math"
	"time"
)

const (
	// holdWindow is the time after its last arrival for which a class takes part
	// in the division of the slots. With a bound on the demand instead, a class
	// with few requests lost most of them behind uploads of 2 s.
	holdWindow = 10 * time.Second
	// staffing scales the square root of the demand that is added to the slots
	// held back, because arrivals come in bursts. Without it a class with a
	// demand close to a whole number of slots lost up to 15% behind long uploads.
	staffing = 0.5
	// minAvailable bounds the slots that an expected wait is divided by.
	minAvailable = 0.05
)

// shares are the rates at which a class earns slot time, in slots.
type shares struct {
	floor float64 // guaranteed
	share float64 // floor plus the part by weight of what no floor claims
}

// shares divides the slots between the classes that have work.
func (c *Controller) shares(cl *class) shares {
	slots := float64(c.limit.slots())
	free, weights := 1.0, 0.0
	for _, other := range c.classes {
		if other == cl || other.present() {
			free -= other.floor
			weights += other.weight
		}
	}
	share := cl.floor
	if weights > 0 {
		share += max(free, 0) * cl.weight / weights
	}
	return shares{floor: cl.floor * slots, share: share * slots}
}

// pick chooses the request to start next, or nil. Classes below their floor go
// first, then classes below their share, then any class: what the others leave
// unused is lent. Within each step the most urgent class goes first.
func (c *Controller) pick(now time.Time) *entry {
	if c.settings.Algorithm == FIFO {
		return c.oldest(now)
	}
	for _, allowed := range []func(*class) bool{c.belowFloor, c.belowShare, c.mayBorrow} {
		for _, cl := range c.classes {
			if !allowed(cl) {
				continue
			}
			if e := c.fairest(now, cl); e != nil {
				return e
			}
		}
	}
	return nil
}

// belowFloor reports whether the class may start a request on its floor. It
// holds at most as many slots this way as the floor needs.
func (c *Controller) belowFloor(cl *class) bool {
	floor := c.shares(cl).floor
	return floor > 0 && cl.floorAcct.credit >= 0 && float64(cl.running) < math.Ceil(floor)
}

// belowShare reports whether the class may start a request on its share.
func (c *Controller) belowShare(cl *class) bool {
	share := c.shares(cl).share
	return cl.shareAcct.credit >= 0 && float64(cl.running) < math.Ceil(share) && c.mayBorrow(cl)
}

// mayBorrow reports whether enough slots remain for more urgent classes after
// the class starts a request.
func (c *Controller) mayBorrow(cl *class) bool {
	return c.running+1+c.heldBack(cl) <= c.limit.slots()
}

// heldBack returns how many free slots a class leaves to more urgent ones. A
// started request cannot be stopped, so a slot is held back for the demand of a
// more urgent class whose requests could not wait until the class ends one.
func (c *Controller) heldBack(cl *class) int {
	demand := 0.0
	busy := 0
	for _, other := range c.classes {
		if other.urgency <= cl.urgency || !other.present() || !other.cannotWaitFor(cl) {
			continue
		}
		demand += min(other.demand(), c.shares(other).share)
		busy += other.running
	}
	need := int(math.Ceil(demand + staffing*math.Sqrt(demand)))
	most := c.limit.slots()
	if cl.floor == 0 {
		most-- // without a floor the class runs on lent slots only
	}
	return max(0, min(need, most)-busy)
}

// cannotWaitFor reports whether a wait for one request of the other class takes
// more than half of the time that requests of this class have. Before the first
// sample of the other class its requests may be long.
func (cl *class) cannotWaitFor(other *class) bool {
	if !cl.slack.known {
		return false
	}
	if !other.service.known {
		return true
	}
	return 2*other.service.mean() > cl.slack.mean()-cl.service.mean()
}

// fairest returns the head of the queue whose member received the least slot
// time for its weight, or nil.
func (c *Controller) fairest(now time.Time, cl *class) *entry {
	var best *entry
	ties := 1
	for _, q := range cl.queues {
		e := q.head(now)
		if e == nil {
			continue
		}
		switch {
		case best == nil || q.virtual < best.queue.virtual:
			best, ties = e, 1
		case q.virtual == best.queue.virtual:
			ties++
			if c.rng.IntN(ties) == 0 {
				best = e
			}
		}
	}
	if best != nil {
		cl.virtual = max(cl.virtual, best.queue.virtual)
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

// expectedWait estimates how long a new request of the queue would wait for a
// slot. It is unknown before the first sample, and while the class has no work:
// a request must then run, or a stale estimate would refuse the class forever.
func (c *Controller) expectedWait(q *queue) (time.Duration, bool) {
	cl := q.class
	if !cl.service.known || cl.waiting()+cl.running == 0 {
		return 0, false
	}
	if cl.waiting() == 0 && c.running < c.limit.slots() && c.mayBorrow(cl) {
		return 0, true
	}
	seconds := float64(c.ahead(q)) * cl.service.mean().Seconds() / c.available(cl)
	return c.residual() + time.Duration(seconds*float64(time.Second)), true
}

// ahead estimates how many waiting requests of the class start before a new one
// of the queue: its own member's, and of other members as many as their weight
// lets pass meanwhile.
func (c *Controller) ahead(q *queue) int {
	own := q.waiting()
	total := own
	for _, other := range q.class.queues {
		if other != q {
			passing := math.Ceil(float64(own) * other.weight / q.weight)
			total += min(other.waiting(), int(passing))
		}
	}
	return total
}

// available estimates the slots that the class gets on average.
func (c *Controller) available(cl *class) float64 {
	others := 0.0
	for _, other := range c.classes {
		if other != cl {
			others += min(other.demand(), c.shares(other).share)
		}
	}
	return max(float64(c.limit.slots())-others, c.shares(cl).share, minAvailable)
}

// residual estimates the time until the first running request ends.
func (c *Controller) residual() time.Duration {
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
