package admission

import (
	"math"
	"time"
)

const (
	// shedFactor and slowFactor multiply the limit when the backend server sheds
	// a request or slows down.
	shedFactor = 0.7
	slowFactor = 0.9
	// slowRatio is the ratio of recent to long-term service time above which a
	// class counts as slow.
	slowRatio = 2.0
	// recentWeight and longTermWeight are the weights of one sample in the recent
	// and the long-term mean service time of a class.
	recentWeight   = 0.1
	longTermWeight = 0.005
	// minSamples is the number of samples of a class before it can count as
	// slow. A long-term mean that starts from one short request keeps the limit
	// low for minutes.
	minSamples = 30
	// minSlowShare is the share of the configured slots below which slow service
	// does not lower the limit: slow requests need not become faster when fewer
	// of them run.
	minSlowShare = 0.5
	// slowStartSlots is the limit at the start of slow start. With one slot, a
	// single long request would block all short ones.
	slowStartSlots = 2
	// slowStartGain is the increase of the limit per completed request, in slots,
	// until the limit first reaches the configured slots or decreases.
	slowStartGain = 0.25
)

// limiter is an adaptive concurrency limit, at most the configured slots.
type limiter struct {
	maxLimit     float64
	limit        float64
	slowStart    bool
	lastDecrease time.Time
	times        map[*class]*serviceTimes
}

// serviceTimes are moving averages of the service time of a class, in nanoseconds.
type serviceTimes struct {
	recent, longTerm float64
	samples          int
}

func newLimiter(s Settings) limiter {
	l := limiter{
		maxLimit: float64(max(s.Slots, 1)),
		times:    map[*class]*serviceTimes{},
	}
	l.limit = l.maxLimit
	if !s.Warm && s.Algorithm != FIFO {
		l.enterSlowStart()
	}
	return l
}

// enterSlowStart sets a low limit that each completed request raises.
func (l *limiter) enterSlowStart() {
	l.limit = min(l.maxLimit, slowStartSlots)
	l.slowStart = true
}

// ColdStart enters slow start again, for a backend server that restarted.
func (c *Controller) ColdStart() {
	if c.settings.Algorithm != FIFO {
		c.limit.enterSlowStart()
	}
}

// slots returns the number of requests that may run concurrently.
func (l *limiter) slots() int {
	return int(l.limit)
}

// observe adjusts the limit to the result of one request that ended while busy
// requests were running, itself included.
func (l *limiter) observe(now time.Time, cl *class, r Result, busy int) {
	if r.Shed {
		l.decrease(now, cl, shedFactor, 1)
		return
	}
	if r.Failed {
		return
	}
	if l.slow(cl, r.ServiceTime) {
		l.decrease(now, cl, slowFactor, math.Ceil(minSlowShare*l.maxLimit))
		return
	}
	l.increase(busy)
}

// slow updates the service times of the class and reports whether the recent
// mean exceeds slowRatio times the long-term mean.
func (l *limiter) slow(cl *class, d time.Duration) bool {
	st, ok := l.times[cl]
	if !ok {
		st = &serviceTimes{}
		l.times[cl] = st
	}
	st.samples++
	n := 1 / float64(st.samples)
	st.recent += max(recentWeight, n) * (float64(d) - st.recent)
	st.longTerm += max(longTermWeight, n) * (float64(d) - st.longTerm)
	return st.samples >= minSamples && st.recent > slowRatio*st.longTerm
}

// decrease multiplies the limit by factor, but not below minLimit. It acts at
// most once per service time, because requests that were already running do not
// show the effect of the lower limit.
func (l *limiter) decrease(now time.Time, cl *class, factor, minLimit float64) {
	if !l.lastDecrease.IsZero() && now.Sub(l.lastDecrease) < cl.service.mean() {
		return
	}
	l.lastDecrease = now
	l.slowStart = false
	l.limit = max(1, min(l.limit, max(minLimit, l.limit*factor)))
}

// increase raises the limit after a completed request if the limit was in use:
// by slowStartGain during slow start, else by one slot per increaseRounds rounds
// of completed requests.
func (l *limiter) increase(busy int) {
	if busy < l.slots() {
		return
	}
	gain := 1 / (l.limit * increaseRounds)
	if l.slowStart {
		gain = slowStartGain
	}
	l.limit = min(l.maxLimit, l.limit+gain)
	if l.limit == l.maxLimit {
		l.slowStart = false
	}
}

// increaseRounds is the number of rounds that raise a lowered limit by one slot.
// A round is as many completed requests as the limit. With a faster increase, the
// limit exceeds the capacity of a shedding backend server more often, and each
// time a request is shed.
const increaseRounds = 8
