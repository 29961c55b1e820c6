package admission

import (
	"math"
	"time"
)

const (
	// shedFactor and slowFactor shrink the limit when the backend server sheds
	// a request or slows down.
	shedFactor = 0.7
	slowFactor = 0.9
	// slowRatio is the ratio of recent to usual service time that counts as slow.
	slowRatio = 2.0
	// recentWeight and usualWeight are the weights of one sample in the recent
	// and the usual service time of a class.
	recentWeight = 0.1
	usualWeight  = 0.005
	// minSamples is the number of samples of a class before it can count as
	// slow; a usual time taken from one short request cut the limit for minutes.
	minSamples = 30
	// slowShare is the share of the slots that slow service leaves. Slowness does
	// not prove that fewer requests would be faster.
	slowShare = 0.5
	// slowStartSlots is the limit after a cold start. With one slot, a single
	// long request would block all short ones.
	slowStartSlots = 2
	// slowStartGain is how much the limit grows with each completed request
	// until it first reaches the configured slots or the first decrease.
	slowStartGain = 0.25
)

// limiter adapts the number of concurrent requests below the configured slots.
type limiter struct {
	most      float64
	limit     float64
	slowStart bool
	lastCut   time.Time
	times     map[*class]*serviceTimes
}

// serviceTimes are the recent and the usual service time of a class.
type serviceTimes struct {
	recent, usual float64
	samples       int
}

func newLimiter(s Settings) limiter {
	l := limiter{
		most:  float64(max(s.Slots, 1)),
		times: map[*class]*serviceTimes{},
	}
	l.limit = l.most
	if !s.Warm && s.Algorithm != FIFO {
		l.coldStart()
	}
	return l
}

// coldStart lets few requests run until the backend server has answered.
func (l *limiter) coldStart() {
	l.limit = min(l.most, slowStartSlots)
	l.slowStart = true
}

// ColdStart starts the slow start again, for a backend server that restarted.
func (c *Controller) ColdStart() {
	if c.settings.Algorithm != FIFO {
		c.limit.coldStart()
	}
}

// slots returns the number of requests that may run.
func (l *limiter) slots() int {
	return int(l.limit)
}

// observe adapts the limit to the result of one request, when busy requests were running.
func (l *limiter) observe(now time.Time, cl *class, r Result, busy int) {
	if r.Shed {
		l.cut(now, cl, shedFactor, 1)
		return
	}
	if r.Failed {
		return
	}
	if l.slow(cl, r.ServiceTime) {
		l.cut(now, cl, slowFactor, math.Ceil(slowShare*l.most))
		return
	}
	l.grow(busy)
}

// slow updates the service times of the class and reports whether the recent
// one is far above the usual one.
func (l *limiter) slow(cl *class, d time.Duration) bool {
	st, ok := l.times[cl]
	if !ok {
		st = &serviceTimes{}
		l.times[cl] = st
	}
	st.samples++
	n := 1 / float64(st.samples)
	st.recent += max(recentWeight, n) * (float64(d) - st.recent)
	st.usual += max(usualWeight, n) * (float64(d) - st.usual)
	return st.samples >= minSamples && st.recent > slowRatio*st.usual
}

// cut shrinks the limit, at most once per service time: requests that were
// already running say nothing about the lower limit.
func (l *limiter) cut(now time.Time, cl *class, factor, least float64) {
	if !l.lastCut.IsZero() && now.Sub(l.lastCut) < cl.service.mean() {
		return
	}
	l.lastCut = now
	l.slowStart = false
	l.limit = max(1, min(l.limit, max(least, l.limit*factor)))
}

// grow raises the limit by one slot per round of completed requests, and only
// when the present limit was in use.
func (l *limiter) grow(busy int) {
	if busy < l.slots() {
		return
	}
	gain := 1 / (l.limit * growRounds)
	if l.slowStart {
		gain = slowStartGain
	}
	l.limit = min(l.most, l.limit+gain)
	if l.limit == l.most {
		l.slowStart = false
	}
}

// growRounds is the number of rounds after which a cut limit has grown by one
// slot. A limit that grows back faster probes a shedding backend server, and
// has a request shed, more often.
const growRounds = 8
