package occupancy

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// Guards against negative replies for flows that the target has held since before the
// agent started, and against an agent that never sends any, so that segments of each
// lost flow go to all targets (end of trouble-1 of ssa-subastas-grown: 90,000 returned
// segments per second).
func TestCoverage(t *testing.T) {
	const start = 1_700_000_000_000
	tests := []struct {
		name string
		born int64
		idle time.Duration
		now  time.Duration
		want bool
	}{
		{"nothing received", 0, 0, time.Hour, false},
		{"target is older", start - 60_000, 12 * time.Second, 5 * time.Second, false},
		{"longer than a flow is idle", start - 60_000, 12 * time.Second, 13 * time.Second, true},
		{"target is newer", start + 2_000, 12 * time.Second, 3 * time.Second, true},
		{"both started together", start - 200, 12 * time.Second, 3 * time.Second, true},
		{"another agent may have been there", start - 500, 12 * time.Second, 3 * time.Second, false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			coverage := NewCoverage(time.Second, start)
			coverage.Update(test.now, start+60_000, Description{Born: test.born, MaxIdle: test.idle})
			qt.New(t).Check(coverage.Complete(test.now), qt.Equals, test.want)
		})
	}
}

// Guards against an older table of a balancer that hides the current incarnation.
func TestNewestIncarnationTakesPrecedence(t *testing.T) {
	coverage := NewCoverage(time.Second, 1000)
	coverage.Update(2*time.Second, 60_000, Description{Born: 5000, MaxIdle: time.Minute})
	coverage.Update(2*time.Second, 60_000, Description{Born: 10, Known: time.Hour, MaxIdle: time.Minute})
	qt.New(t).Check(coverage.Complete(2*time.Second), qt.IsTrue)
}

// Guards against negative replies of an agent that takes itself for older than its target,
// because the target started while the host's clock was ahead: flows that the target held were
// reset (review/REPORT.md, clock step).
func TestClockStepBetweenStarts(t *testing.T) {
	const start = 1_700_000_000_000
	ahead := Description{Born: start + 2_000, MaxIdle: 12 * time.Second}
	newCoverage := func() Coverage { return NewCoverage(time.Second, start) }
	c := qt.New(t)

	inFuture := newCoverage()
	inFuture.Update(1100*time.Millisecond, start+100, ahead)
	c.Check(inFuture.Complete(5*time.Second), qt.IsFalse, qt.Commentf("a start in the future"))
	inFuture.Update(4*time.Second, start+3_000, ahead)
	c.Check(inFuture.Complete(5*time.Second), qt.IsFalse, qt.Commentf("the same start later"))
	inFuture.Update(4*time.Second, start+3_500, Description{Born: start + 3_400})
	c.Check(inFuture.Complete(5*time.Second), qt.IsTrue, qt.Commentf("the next incarnation"))

	known := newCoverage()
	known.Update(3500*time.Millisecond, start+2_500, ahead)
	c.Check(known.Complete(4*time.Second), qt.IsTrue)
	known.Update(3600*time.Millisecond, start+2_600, Description{Born: ahead.Born, Known: 4 * time.Second})
	c.Check(known.Complete(4*time.Second), qt.IsFalse, qt.Commentf("a balancer has known the target for longer than the agent runs"))
	c.Check(known.Complete(13*time.Second), qt.IsTrue)

	early := newCoverage()
	early.Update(1100*time.Millisecond, start+100, Description{Born: start})
	c.Check(early.Complete(1200*time.Millisecond), qt.IsFalse, qt.Commentf("other balancers have not spoken yet"))
	c.Check(early.Complete(time.Second+descriptionWait), qt.IsTrue)
}
