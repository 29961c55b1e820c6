package occupancy

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/peridotstall/peridotstall/internal/segment"
)

// lateMark returns the mark of an opening whose objective is over and whose caller waits for
// the given time.
func lateMark(patience time.Duration, mayWait bool) segment.Mark {
	m := mark
	m.Late, m.Patience, m.MayWait, m.Attempt = true, patience, mayWait, 4
	return m
}

func openingAt(port uint16) segment.Head {
	return segment.Head{Source: callerAt(port), Destination: service, Opening: true}
}

// When all callers come back at once, their openings are late at once. Guards against a
// refusal although the target answers well within the time for which they wait.
func TestBacklogWaitsWithinItsPatience(t *testing.T) {
	c := qt.New(t)
	tr := busyTracker(4)
	const now = 10 * time.Second
	c.Check(tr.Admit(now, openingAt(1), lateMark(time.Second, false)), qt.Equals, Busy)
	c.Check(tr.Admit(now, openingAt(1), lateMark(50*ms, true)), qt.Equals, Busy)
	waiting := 0
	for port := range uint16(2000) {
		m := lateMark(time.Second, true)
		if tr.Admit(now, openingAt(port), m) != Waits {
			break
		}
		c.Assert(tr.Wait(now, openingAt(port), m, 0, nil), qt.IsTrue)
		waiting++
	}
	// Four slots of 40 ms serve 100 openings in a second.
	c.Check(waiting > 70 && waiting <= 100, qt.IsTrue, qt.Commentf("%d wait", waiting))
	c.Check(tr.Waiting(), qt.Equals, waiting)
}

// Guards against slots that stay idle while openings wait, against more of them than the
// target has room for, and against an opening that is delivered twice.
func TestWaitingOpeningsAreReleasedAsSlotsGetFree(t *testing.T) {
	c := qt.New(t)
	tr := busyTracker(5)
	now := 10 * time.Second
	for port := range uint16(20) {
		c.Assert(tr.Admit(now, openingAt(port), lateMark(time.Second, true)), qt.Equals, Waits)
		tr.Wait(now, openingAt(port), lateMark(time.Second, true), 0, nil)
	}
	_, released := tr.Released(now)
	c.Check(released, qt.IsFalse)
	now += 30 * ms
	for port := range uint16(3) {
		tr.Answered(now, fromTarget(1000+port, segment.Head{DataLength: 500}), Succeeded)
	}
	seen := map[segment.Flow]bool{}
	for o, ok := tr.Released(now); ok; o, ok = tr.Released(now) {
		c.Check(seen[o.Flow], qt.IsFalse)
		seen[o.Flow] = true
		tr.Delivered(now, segment.Head{Source: o.Flow.Caller, Destination: o.Flow.Service, Opening: true}, mark, 0, nil)
		tr.Answered(now, segment.Head{Source: o.Flow.Service, Destination: o.Flow.Caller, Opening: true, Accepted: true}, NoOutcome)
	}
	c.Check(seen, qt.HasLen, 3)
	c.Check(tr.Waiting(), qt.Equals, 17)
	// A copy of an opening that waits keeps its place; one that finds a free slot loses it.
	waiting := uint16(0)
	for seen[openingAt(waiting).FromCaller()] {
		waiting++
	}
	c.Check(tr.Admit(now, openingAt(waiting), lateMark(time.Second, false)), qt.Equals, Waits)
	for port := range uint16(5) {
		tr.Answered(now, fromTarget(1000+port, segment.Head{DataLength: 500}), Succeeded)
	}
	c.Check(tr.Admit(now, openingAt(waiting), lateMark(time.Second, false)), qt.Equals, Accepted)
	c.Check(tr.Waiting(), qt.Equals, 16)
}

// Guards against openings that wait until their callers give up: whoever cannot be served is
// told at once, and all are when the agent stops or its target does not answer.
func TestOpeningsDoNotWaitForNothing(t *testing.T) {
	c := qt.New(t)
	wait := func(tr *Tracker) {
		for port := range uint16(3) {
			c.Assert(tr.Admit(10*time.Second, openingAt(port), lateMark(500*ms, true)), qt.Equals, Waits)
			tr.Wait(10*time.Second, openingAt(port), lateMark(500*ms, true), 0, nil)
		}
	}
	for _, test := range []struct {
		change func(*Tracker)
		at     time.Duration
		reason Refusal
		count  int
	}{
		{func(*Tracker) {}, 10*time.Second + 400*ms, Busy, 0},
		{func(*Tracker) {}, 10*time.Second + 490*ms, Busy, 3},
		{(*Tracker).RefuseOpenings, 10*time.Second + ms, Leaving, 3},
		{func(tr *Tracker) {
			openFlow(tr, 10*time.Second, 2000)
			tr.Delivered(10*time.Second, openingAt(3000), mark, 0, nil)
		}, 10*time.Second + 200*ms, Unresponsive, 3},
	} {
		tr := busyTracker(4)
		wait(tr)
		test.change(tr)
		list, reason := tr.GivenUp(test.at)
		c.Check(list, qt.HasLen, test.count, qt.Commentf("%s", test.reason))
		if test.count > 0 {
			c.Check(reason, qt.Equals, test.reason)
		}
		c.Check(tr.Waiting(), qt.Equals, 3-test.count)
	}
}

// Guards against routes without a timeout beyond their objective that are treated otherwise
// than by the objective alone: their openings have no patience.
func TestWithoutPatienceNothingWaits(t *testing.T) {
	c := qt.New(t)
	for pending := range uint16(12) {
		for _, budget := range []time.Duration{0, 20 * ms, 90 * ms, 400 * ms} {
			plain, mayWait := withBudget(budget, 2), withBudget(budget, 2)
			mayWait.MayWait = true
			c.Check(busyTracker(pending).Admit(10*time.Second, openingAt(1), mayWait), qt.Equals,
				busyTracker(pending).Admit(10*time.Second, openingAt(1), plain), qt.Commentf("%d pending, budget %s", pending, budget))
		}
	}
}
