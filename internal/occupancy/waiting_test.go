package occupancy

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/peridotstall/peridotstall/internal/segment"
	"github.com/peridotstall/peridotstall/internal/warmup"
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

// Guards against a refusal, which says that the target does not hold the flow, and against a
// second place in the line, while the target is about to accept an earlier copy.
func TestCopyOfADeliveredOpeningIsNotRefused(t *testing.T) {
	c := qt.New(t)
	for name, change := range map[string]func(*Tracker){
		"busy": func(*Tracker) {}, "leaving": (*Tracker).RefuseOpenings, "evacuated": func(tr *Tracker) { tr.SetEvacuated(true) },
	} {
		tr := busyTracker(4)
		const now = 10 * time.Second
		tr.Delivered(now, openingAt(1), lateMark(time.Second, true), 0, nil)
		change(tr)
		later := openingAt(1)
		later.Copy = 1
		c.Check(tr.Admit(now+ms, later, lateMark(time.Second, true)), qt.Equals, Accepted, qt.Commentf(name))
	}
}

// Guards against a copy that is returned in place of the later one which the balancer expects.
func TestLaterCopyReplacesTheWaitingOne(t *testing.T) {
	c := qt.New(t)
	tr := busyTracker(4)
	const now = 10 * time.Second
	m := lateMark(time.Second, true)
	c.Assert(tr.Wait(now, openingAt(1), m, 1, []byte("first copy")), qt.IsTrue)
	c.Assert(tr.Admit(now+200*ms, openingAt(1), m), qt.Equals, Waits)
	c.Assert(tr.Wait(now+200*ms, openingAt(1), m, 2, []byte("later copy")), qt.IsTrue)
	c.Assert(tr.Waiting(), qt.Equals, 1)
	tr.RefuseOpenings()
	returned, _ := tr.GivenUp(now + 300*ms)
	c.Assert(returned, qt.HasLen, 1)
	c.Check(string(returned[0].Segment), qt.Equals, "later copy")
	c.Check(returned[0].Sender, qt.Equals, uint8(2))
	c.Check(returned[0].Deadline, qt.Equals, now+time.Second)
}

// Guards against a withdrawal by a balancer that did not send the opening.
func TestOnlyTheSenderWithdraws(t *testing.T) {
	c := qt.New(t)
	tr := busyTracker(4)
	tr.Wait(10*time.Second, openingAt(1), lateMark(time.Second, true), 1, nil)
	tr.Withdraw(openingAt(1).FromCaller(), 2)
	c.Check(tr.Waiting(), qt.Equals, 1)
	tr.Withdraw(openingAt(1).FromCaller(), 1)
	c.Check(tr.Waiting(), qt.Equals, 0)
}

// Guards against openings that wait until their deadline for a target that has become cold, and
// against warm-up credit that is spent without an opening.
func TestNothingWaitsForAColdTarget(t *testing.T) {
	c := qt.New(t)
	const now = 10 * time.Second
	m := lateMark(time.Second, true)
	tr := busyTracker(4)
	tr.Wait(now, openingAt(1), m, 1, nil)
	limiter := warmup.New(0, warmup.Tolerance{})
	limiter.Describe(now, warmup.Description{Version: 1, Rate: 2, Born: 1, Sequence: 1, Left: time.Minute})
	tr.SetWarmup(limiter)
	c.Check(tr.Admit(now, openingAt(2), m), qt.Equals, Busy)
	c.Check(tr.Quote(now, m), qt.Equals, time.Duration(0))
	_, released := tr.Released(now)
	c.Check(released, qt.IsFalse)
	list, reason := tr.GivenUp(now)
	c.Check(list, qt.HasLen, 1)
	c.Check(reason, qt.Equals, WarmingUp)
	c.Check(limiter.Phase().Refused, qt.Equals, uint64(0))
}

// Guards against requests that the limiter counts although no opening was released.
func TestExpiredOpeningsAreNotCounted(t *testing.T) {
	c := qt.New(t)
	const now = 10 * time.Second
	tr := busyTracker(0)
	tr.Wait(now, openingAt(1), lateMark(100*ms, true), 1, nil)
	_, released := tr.Released(now + 200*ms)
	c.Check(released, qt.IsFalse)
	limiter := tr.Warmup()
	limiter.Describe(now+200*ms, warmup.Description{Version: 1, Rate: 2, Born: 1, Sequence: 1, Left: time.Minute})
	credit, _ := limiter.Credit(now + 200*ms)
	c.Check(credit, qt.Equals, 2)
}

// Guards against openings that wait for slots whose number is no longer known: others are
// accepted at once then.
func TestOpeningsDoNotWaitForUnknownSlots(t *testing.T) {
	c := qt.New(t)
	tr := busyTracker(8)
	tr.Wait(10*time.Second, openingAt(1), lateMark(time.Second, true), 0, nil)
	tr.SetSlots(0)
	_, released := tr.Released(10 * time.Second)
	c.Check(released, qt.IsTrue)
}

// Guards against a line that goes to the target as a whole when a slot gets free, before the
// target has accepted the first of its openings.
func TestReleasedOpeningsCountBeforeTheyAreAccepted(t *testing.T) {
	c := qt.New(t)
	tr := busyTracker(4)
	now := 10 * time.Second
	for port := range uint16(20) {
		tr.Wait(now, openingAt(port), lateMark(time.Second, true), 0, nil)
	}
	released := 0
	for o, ok := tr.Released(now); ok; o, ok = tr.Released(now) {
		tr.DeliveredFromLine(now, segment.Head{Source: o.Flow.Caller, Destination: o.Flow.Service, Opening: true}, mark, 0)
		released++
	}
	c.Check(released, qt.Equals, prefetch)
	c.Check(tr.Pending(), qt.Equals, 4+prefetch)
	// One that the target does not accept gives its place back.
	now += openingTTL
	tr.Tick(now)
	c.Check(tr.Pending() <= 4, qt.IsTrue)
}
