package reports

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// pingsOf returns the times of the pings to an agent for a duration, in which it last
// reported at lastReport and segments arrive while active.
func pingsOf(p *Pings, from, length time.Duration, host uint32, active bool, lastReport func(now time.Duration) time.Duration) (times []time.Duration) {
	lastSegment := time.Duration(0)
	for now := from; now < from+length; now += tick {
		if active {
			lastSegment = now
		}
		if round, due := p.Round(now, lastSegment); due && round.Includes(host, now-lastReport(now)) {
			times = append(times, now)
		}
	}
	return times
}

func current(now time.Duration) time.Duration { return now - 100*time.Millisecond }

// Guards against pings to every agent in each round (59 balancers, 136 agents:
// muzedukkan-large), and against so few that an agent drops the balancer.
func TestPingsAreRare(t *testing.T) {
	c := qt.New(t)
	for _, test := range []struct {
		active   bool
		most     int
		interval time.Duration
	}{{true, 16, time.Second}, {false, 11, 2 * time.Second}} {
		for host := range uint32(12) {
			p := NewPings()
			times := pingsOf(&p, time.Minute, 12*time.Second, host, test.active, current)
			c.Check(len(times) <= test.most, qt.IsTrue, qt.Commentf("%d pings", len(times)))
			for i := 1; i < len(times); i++ {
				c.Check(times[i]-times[i-1] <= test.interval, qt.IsTrue)
			}
			c.Check(subscriptionTTL >= 3*test.interval, qt.IsTrue)
		}
	}
}

// Guards against an agent that is killed and restarts, and whose target stays out of use
// until its turn: agents killed or rolled one after the other.
func TestRestartedAgentIsPingedInEachRound(t *testing.T) {
	c := qt.New(t)
	for host := range uint32(3) {
		p := NewPings()
		times := pingsOf(&p, time.Minute, 3*time.Second, host, true, func(time.Duration) time.Duration { return time.Minute - time.Second })
		c.Check(times, qt.HasLen, 10)
	}
}

// Guards against a balancer that enters the rotation and chooses on reports of its idle
// time until the next round.
func TestActiveBalancerPingsAllAtOnce(t *testing.T) {
	c := qt.New(t)
	p := NewPings()
	now := time.Minute
	_, due := p.Round(now, 0)
	c.Assert(due, qt.IsTrue)
	c.Check(p.Wanted(), qt.Equals, IdleInterval)
	_, due = p.Round(now+tick, 0)
	c.Check(due, qt.IsFalse)
	round, due := p.Round(now+tick, now+tick)
	c.Assert(due, qt.IsTrue)
	c.Check(p.Wanted(), qt.Equals, ActiveInterval)
	for host := range uint32(12) {
		c.Check(round.Includes(host, time.Second), qt.IsTrue)
	}
	_, due = p.Round(now+2*tick, now+2*tick)
	c.Check(due, qt.IsFalse)
}
