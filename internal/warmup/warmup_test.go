package warmup

import (
	"math"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"
)

const ms = time.Millisecond

// history is a limiter beside a list of everything that it counted.
type history struct {
	*Limiter
	now      time.Duration
	openings []time.Duration
	// requests holds the arrivals of requests and openings whose request has not come.
	requests []time.Duration
}

// highest returns the highest number of times in any closed second.
func highest(times []time.Duration) (most int) {
	for _, from := range times {
		count := 0
		for _, at := range times {
			if at >= from && at-from <= span {
				count++
			}
		}
		most = max(most, count)
	}
	return most
}

// countIn returns the number of times in the closed period that ends now.
func countIn(times []time.Duration, now, period time.Duration) (count int) {
	for _, at := range times {
		if now-at <= period {
			count++
		}
	}
	return count
}

func (h *history) open(cold bool) bool {
	taken := h.Admit(h.now, cold)
	if taken {
		h.openings, h.requests = append(h.openings, h.now), append(h.requests, h.now)
	}
	return taken
}

// describedLimiter returns a limiter of an agent that has been running for a while, whose
// target has just started.
func describedLimiter(rate float64, left time.Duration) *history {
	h := &history{Limiter: New(0, Tolerance{}), now: 10 * time.Second}
	h.Describe(h.now, Description{Version: 1, Rate: rate, Born: 1, Left: left})
	return h
}

// Guards against more openings in a second than the rate, however the second lies, and
// against an opening that is refused although it would stay within the rate.
func TestNoSecondAboveTheLimitAndNoneBelowItBlocked(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		rate := rapid.Float64Range(0.2, 20).Draw(t, "rate")
		h := describedLimiter(rate, time.Hour)
		limit, period := limitOf(rate)
		gaps := rapid.SliceOfN(rapid.IntRange(0, 700), 1, 80).Draw(t, "gaps ms")
		for i, gap := range gaps {
			h.now += time.Duration(gap) * ms
			free := countIn(h.openings, h.now, period) < limit
			if credit, cold := h.Credit(h.now); !cold || credit > 0 != free {
				t.Fatalf("opening %d: credit %d, cold %v, room %v", i, credit, cold, free)
			}
			if taken := h.open(rapid.Bool().Draw(t, "marked")); taken != free {
				t.Fatalf("opening %d at %v: taken %v, room %v", i, h.now, taken, free)
			}
		}
		if most := highest(h.openings); float64(most) > max(rate, 1) {
			t.Fatalf("%d openings in a second at a rate of %v", most, rate)
		}
	})
}

// Guards against more requests in a second than the rate because they arrive some time
// after their openings: these come from callers far away, or late.
func TestRequestsArriveWithinTheLimit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		h := describedLimiter(float64(rapid.IntRange(1, 12).Draw(t, "rate")), time.Hour)
		type flow struct{ opened, due time.Duration }
		var open []flow
		var arrived []time.Duration
		for range rapid.IntRange(1, 400).Draw(t, "steps") {
			h.now += time.Duration(rapid.IntRange(1, 40).Draw(t, "step ms")) * ms
			for i := 0; i < len(open); i++ {
				if f := open[i]; f.due <= h.now {
					h.Requested(h.now, f.opened)
					arrived = append(arrived, h.now)
					open = append(open[:i], open[i+1:]...)
					i--
				}
			}
			if h.open(true) {
				open = append(open, flow{h.now, h.now + time.Duration(rapid.IntRange(1, 900).Draw(t, "delay ms"))*ms})
			}
		}
		if most := highest(arrived); float64(most) > h.Rate() {
			t.Fatalf("%d requests in a second at a rate of %v", most, h.Rate())
		}
	})
}

// Guards against openings beside the requests of open flows that use up the rate.
func TestFurtherRequestsLeaveLessForOpenings(t *testing.T) {
	c := qt.New(t)
	h := describedLimiter(3, time.Minute)
	c.Check(h.open(true), qt.IsTrue)
	h.Requested(h.now, h.now)
	for range 3 {
		h.now += 200 * ms
		h.Requested(h.now, 0)
		c.Check(h.now < 10600*ms || !h.open(true), qt.IsTrue)
	}
	p := h.Phase()
	c.Check(p.Further, qt.Equals, uint64(3))
	c.Check(p.Taken, qt.Equals, uint64(1))
	c.Check(p.Refused, qt.Equals, uint64(1))
	c.Check(p.Peak, qt.Equals, 4)
	c.Check(p.Bound, qt.Equals, 3)
	h.now += 600 * ms
	c.Check(h.open(true), qt.IsFalse, qt.Commentf("three requests in the closed second"))
	h.now++
	c.Check(h.open(true), qt.IsTrue)
}

// Guards against a second burst after a restart of the agent within the warm-up.
func TestWindowOfARestartedAgentStartsFull(t *testing.T) {
	c := qt.New(t)
	start := 5 * time.Second
	l := New(start, Tolerance{Overshoot: 1.5, Slack: 5})
	c.Check(l.Admit(start+ms, true), qt.IsFalse, qt.Commentf("the rate is not known"))
	c.Check(l.Admit(start+ms, false), qt.IsTrue, qt.Commentf("no balancer says that there is a rate"))
	l.Describe(start+2*ms, Description{Version: 3, Rate: 4, Born: 1, Left: 2 * time.Second})
	c.Check(l.Admit(start+span, true), qt.IsFalse)
	for i := range 3 {
		c.Check(l.Admit(start+span+ms, true), qt.IsTrue, qt.Commentf("%d", i))
	}
	c.Check(l.Admit(start+span+ms, true), qt.IsFalse, qt.Commentf("one was taken before the description"))
	c.Check(l.Phase().Peak, qt.Equals, 4, qt.Commentf("what is assumed is not counted"))
}

// Guards against a warm target that an earlier entry, or a late copy of the last one, makes
// cold; and against a target that is taken for a warm one after it started again, also if
// the clock of its host was set back in between, or after it had no work and is cold again.
func TestLastEntryOfAnIncarnationCounts(t *testing.T) {
	c := qt.New(t)
	h := describedLimiter(2, 0)
	at := func(seconds float64) time.Duration {
		return 10*time.Second + time.Duration(seconds*float64(time.Second))
	}
	describe := func(seconds float64, born int64, sequence uint64, left time.Duration) {
		h.Describe(at(seconds), Description{Version: 1, Rate: 2, Born: born, Sequence: sequence, Left: left})
	}
	describe(0, 1, 3, 2*time.Second)
	c.Check(h.Cold(at(1.9)), qt.IsTrue)
	describe(1, 1, 3, 2*time.Second)
	c.Check(h.Cold(at(2)), qt.IsFalse, qt.Commentf("the later arrival of an entry is the delayed one"))
	describe(2, 1, 4, maxDelay)
	c.Check(h.Cold(at(2)), qt.IsFalse, qt.Commentf("a later entry of the same warm-up, with more delay"))
	describe(5, 1, 2, 2*time.Second)
	c.Check(h.Cold(at(5)), qt.IsFalse, qt.Commentf("an earlier entry"))
	describe(5, 1, 9, 2*time.Second)
	c.Check(h.Cold(at(6)), qt.IsTrue, qt.Commentf("cold again"))
	describe(6, 1, 3, 0)
	c.Check(h.Cold(at(6)), qt.IsTrue, qt.Commentf("a balancer with an earlier entry"))
	describe(6, 9, 1, 2*time.Second)
	describe(6.1, 1, 10, 0)
	c.Check(h.Cold(at(7.5)), qt.IsTrue, qt.Commentf("a balancer with the incarnation before"))
	describe(7.6, 9, 2, 0)
	c.Check(h.Cold(at(7.7)), qt.IsFalse, qt.Commentf("it became warm earlier"))
	describe(20, 4, 1, time.Second)
	c.Check(h.Cold(at(20.5)), qt.IsTrue, qt.Commentf("the clock was set back before the start"))
	for born := range int64(100) {
		describe(30, 100+born, 1, time.Second)
	}
	c.Check(len(h.incarnations), qt.Equals, maxIncarnations)
	describe(40, 0, 5, time.Second)
	describe(41, 0, 4, time.Second)
	c.Check(h.Cold(at(41.5)), qt.IsTrue, qt.Commentf("without a start each entry is believed"))
}

// Guards against the rate of an older configuration, or of a balancer without one, that
// replaces the newest, and against a change of the rate that forgets what was taken.
func TestNewestRateIsInForce(t *testing.T) {
	c := qt.New(t)
	h := describedLimiter(3, time.Minute)
	for _, d := range []Description{{Version: 0, Rate: 0, Born: 1}, {Version: 0, Rate: 9, Born: 1}} {
		h.Describe(h.now, d)
		c.Check(h.Rate(), qt.Equals, 3.0)
		c.Check(h.Cold(h.now), qt.IsTrue)
	}
	openAll := func() {
		for range 3 {
			c.Check(h.open(true), qt.IsTrue)
		}
	}
	openAll()
	describe := func(version uint64, rate float64) {
		h.Describe(h.now, Description{Version: version, Rate: rate, Born: 1, Left: time.Minute})
	}
	describe(5, 6)
	openAll()
	c.Check(h.open(true), qt.IsFalse)
	describe(4, 100)
	c.Check(h.Rate(), qt.Equals, 6.0)
	describe(6, 1)
	c.Check(h.open(true), qt.IsFalse)
	describe(7, 0)
	c.Check(h.Cold(h.now), qt.IsFalse)
	for range 1000 {
		c.Assert(h.open(true), qt.IsTrue, qt.Commentf("the operator removed the rate"))
	}
	for i, rate := range []float64{math.NaN(), -1, math.Inf(1), MaxRate + 1} {
		describe(uint64(8+i), rate)
		c.Check(h.Rate(), qt.Equals, 0.0)
	}
}

// Guards against a resize of the window that allows more than either limit within a second.
func TestChangesOfTheRateStayWithinTheHighest(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		h := describedLimiter(5, time.Hour)
		highestRate := 5
		for i := range rapid.IntRange(1, 150).Draw(t, "steps") {
			h.now += time.Duration(rapid.IntRange(0, 120).Draw(t, "step ms")) * ms
			if rapid.IntRange(0, 9).Draw(t, "change") == 0 {
				rate := rapid.IntRange(1, 9).Draw(t, "rate")
				highestRate = max(highestRate, rate)
				h.Describe(h.now, Description{Version: uint64(i + 2), Rate: float64(rate), Born: 1, Left: time.Hour})
			}
			free := countIn(h.openings, h.now, span) < int(h.Rate())
			if h.open(true) && !free {
				t.Fatalf("taken above the rate of %v", h.Rate())
			}
		}
		if most := highest(h.openings); most > highestRate {
			t.Fatalf("%d openings in a second", most)
		}
	})
}

func TestBoundOfTheTolerance(t *testing.T) {
	c := qt.New(t)
	c.Check(Tolerance{}.Bound(4), qt.Equals, 4)
	c.Check(Tolerance{Overshoot: 1.5, Slack: 5}.Bound(4), qt.Equals, 11)
	c.Check(Tolerance{Overshoot: 0.5}.Bound(4), qt.Equals, 4)
	c.Check(Tolerance{Overshoot: 1e300}.Bound(4), qt.Equals, math.MaxInt16)
}

func BenchmarkAdmit(b *testing.B) {
	h := describedLimiter(100, time.Hour)
	b.ReportAllocs()
	for b.Loop() {
		h.now += 3 * ms
		if h.Admit(h.now, true) {
			h.Requested(h.now+ms, h.now)
		}
	}
}

// Guards against credit that is given to several balancers, which then send more openings
// than the target takes, and against credit that no balancer gets.
func TestCreditIsSharedOnce(t *testing.T) {
	c := qt.New(t)
	h := describedLimiter(7, time.Minute)
	share := func(balancers int) [2]int {
		each, more := h.Share(h.now, balancers)
		return [2]int{each, more}
	}
	c.Check(share(0), qt.Equals, [2]int{0, 0})
	c.Check(share(3), qt.Equals, [2]int{2, 1})
	c.Check(share(3), qt.Equals, [2]int{0, 0})
	for range 4 {
		c.Check(h.open(true), qt.IsTrue)
	}
	c.Check(share(3), qt.Equals, [2]int{0, 0}, qt.Commentf("three have not been used yet"))
	h.now += grantTime
	c.Check(share(2), qt.Equals, [2]int{1, 1})
	h.now += grantTime
	c.Check(share(1), qt.Equals, [2]int{3, 0}, qt.Commentf("nobody used them"))
	h.now += time.Minute
	c.Check(share(1), qt.Equals, [2]int{0, 0}, qt.Commentf("warm"))
}
