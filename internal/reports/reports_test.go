package reports

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/peridotstall/peridotstall/internal/steering"
)

const tick = 50 * time.Millisecond

// run ticks a schedule for ten seconds, in which balancers ping once a second and the load
// changes at each tick. It returns the reports a second to all balancers and the longest
// time without a report to each.
func run(s *Schedule, active, idle int, load func(tick int) uint32) (rate float64, gaps map[uint8]time.Duration) {
	const length = 10 * time.Second
	gaps = make(map[uint8]time.Duration)
	last := make(map[uint8]time.Duration)
	reports := 0
	for i := 1; time.Duration(i)*tick <= length; i++ {
		now := time.Duration(i) * tick
		if i%20 == 1 {
			for b := range active + idle {
				interval := ActiveInterval
				if b >= active {
					interval = IdleInterval
				}
				s.Ping(now, uint8(b), interval)
			}
		}
		for _, b := range s.Due(now, load(i), false) {
			gaps[b] = max(gaps[b], now-last[b])
			last[b] = now
			reports++
		}
	}
	return float64(reports) / length.Seconds(), gaps
}

func changing(tick int) uint32 { return uint32(tick) }

// Guards against reports that grow with the number of balancers: an agent sent 295 a second
// to 59 balancers, half of which got no segments (muzedukkan-large: processor time).
func TestReportsAreBounded(t *testing.T) {
	c := qt.New(t)
	rate, _ := run(NewSchedule(), 30, 29, changing)
	c.Check(rate <= reportsPerSecond+29/IdleInterval.Seconds()+1, qt.IsTrue, qt.Commentf("%.0f/s", rate))
	rate, _ = run(NewSchedule(), 6, 0, func(int) uint32 { return 0 })
	c.Check(rate <= 6/ActiveInterval.Seconds()+1, qt.IsTrue, qt.Commentf("%.0f/s", rate))
}

// Guards against reports so rare that live targets count as silent.
func TestReportsKeepTargetsInUse(t *testing.T) {
	c := qt.New(t)
	for _, active := range []int{1, 6, 30, 59, 200} {
		_, gaps := run(NewSchedule(), active, 10, func(int) uint32 { return 0 })
		c.Check(gaps, qt.HasLen, active+10)
		for b, gap := range gaps {
			limit := IdleInterval + tick
			if int(b) < active {
				limit = steering.ReportTimeout / 2
			}
			c.Check(gap <= limit, qt.IsTrue, qt.Commentf("%d active, balancer %d: %s", active, b, gap))
		}
	}
}

// Guards against a small fleet in which a change of load waits.
func TestChangeIsReportedAtOnce(t *testing.T) {
	c := qt.New(t)
	s := NewSchedule()
	for b := range uint8(6) {
		s.Ping(0, b, 0)
	}
	c.Check(s.Due(tick, 1, false), qt.HasLen, 6)
	c.Check(s.Due(2*tick, 2, false), qt.HasLen, 6)
	c.Check(s.Due(3*tick, 2, false), qt.HasLen, 0)
	c.Check(s.Due(3*tick, 2, true), qt.HasLen, 6)
}

// Guards against an idle balancer that waits for its interval when it gets segments, and
// against reports to one that has left.
func TestBalancerBecomesActive(t *testing.T) {
	c := qt.New(t)
	s := NewSchedule()
	s.Ping(0, 1, IdleInterval)
	c.Check(s.Due(tick, 0, false), qt.HasLen, 1)
	c.Check(s.Due(10*tick, 3, false), qt.HasLen, 0)
	s.Ping(11*tick, 1, ActiveInterval)
	c.Check(s.Due(11*tick, 3, false), qt.HasLen, 1)
	c.Check(s.Due(11*tick+subscriptionTTL, 4, false), qt.HasLen, 0)
}

// Guards against a balancer that counts as idle right after its start or while it gets
// segments.
func TestWantedInterval(t *testing.T) {
	c := qt.New(t)
	c.Check(WantedInterval(time.Second, 0), qt.Equals, ActiveInterval)
	c.Check(WantedInterval(time.Minute, time.Minute-time.Second), qt.Equals, ActiveInterval)
	c.Check(WantedInterval(time.Minute, 0), qt.Equals, IdleInterval)
}

// Guards against an interval out of range, after which a balancer would hear nothing.
func TestIntervalIsBounded(t *testing.T) {
	c := qt.New(t)
	s := NewSchedule()
	s.Ping(0, 1, 49*24*time.Hour)
	c.Check(s.Due(tick, 0, false), qt.HasLen, 1)
	c.Check(s.Due(tick+IdleInterval, 0, false), qt.HasLen, 1)
}
