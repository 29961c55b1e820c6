package steering

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/peridotstall/peridotstall/internal/registry"
	"github.com/peridotstall/peridotstall/internal/segment"
)

// Guards against an opening that is lost because its target is full, and against a
// caller that gets no reset although every target returned its opening.
func TestReturnedOpeningIsRetriedOnNextTarget(t *testing.T) {
	f := newFixture(t, 3)
	v := f.engine.Segment(f.now, opening(1, 0))
	seen := map[*Target]bool{}
	for v.Action == Forward {
		t := v.Targets()[0]
		f.c.Assert(seen[t], qt.IsFalse)
		seen[t] = true
		head := opening(1, 0)
		head.Returned = true
		head.Mark = v.Mark(t)
		v = f.engine.Returned(f.now, t.Agent.Addr(), head)
	}
	f.c.Check(seen, qt.HasLen, 3)
	f.c.Check(v.Action, qt.Equals, Reset)
	f.c.Check(v.Reason, qt.Equals, Refused)
}

// returnOpening returns an opening from the target that a verdict sent it to. Busy marks
// it as refused because of load.
func (f *fixture) returnOpening(v Verdict, head segment.Head, busy bool) Verdict {
	t := v.Targets()[0]
	mark := segment.Unpack(v.Mark(t))
	mark.Busy = busy
	head.Returned, head.Mark = true, mark.Pack()
	return f.engine.Returned(f.now, t.Agent.Addr(), head)
}

// Guards against a reset of an opening while a target that did not return an earlier
// copy may have accepted it: the caller's flow may be open.
func TestNoResetWhileACopyIsOutstanding(t *testing.T) {
	for _, busy := range []bool{false, true} {
		f := newFixture(t, 6)
		first := f.firstTarget(opening(1, 0))
		v := f.engine.Segment(f.now, opening(1, 1))
		for v.Action == Forward && v.Targets()[0] != first {
			v = f.returnOpening(v, opening(1, 1), busy)
		}
		if v.Action == Forward {
			// All others returned it, so that it goes to the first target again.
			f.c.Check(busy, qt.IsFalse)
			continue
		}
		f.c.Check(v.Action, qt.Equals, Drop)
		f.c.Check(v.Reason, qt.Equals, Overloaded)
	}
}

// Guards against a caller that waits for its time limit although every target that got a
// copy of its opening has returned the last one that it got, and against a reset before
// that.
func TestResetAfterAllCopiesAreReturned(t *testing.T) {
	f := newFixture(t, 2)
	f.engine.Segment(f.now, opening(1, 0))
	v := f.engine.Segment(f.now, opening(1, 1))
	returns := 0
	for v.Action == Forward {
		f.c.Check(v.Targets(), qt.HasLen, 1)
		v = f.returnOpening(v, opening(1, 1), false)
		returns++
	}
	f.c.Check(returns, qt.Equals, 2)
	f.c.Check(v.Action, qt.Equals, Reset)
}

// Guards against a reset while a target has a later copy than the one that it returned.
func TestReturnOfAnEarlierCopyIsNoRefusal(t *testing.T) {
	f := newFixture(t, 1)
	v := f.engine.Segment(f.now, opening(1, 0))
	f.engine.Segment(f.now, opening(1, 1))
	f.engine.Segment(f.now, opening(1, 2))
	f.c.Check(f.returnOpening(v, opening(1, 0), false).Action, qt.Not(qt.Equals), Reset)
}

// Guards against an opening that is passed among many full targets, each of which costs
// its caller a round trip.
func TestBusyReturnsAreBounded(t *testing.T) {
	f := newFixture(t, 20)
	v := f.engine.Segment(f.now, opening(1, 0))
	for range maxBusyReturns {
		f.c.Assert(v.Action, qt.Equals, Forward)
		v = f.returnOpening(v, opening(1, 0), true)
	}
	f.c.Check(v.Action, qt.Equals, Reset)
	f.c.Check(v.Reason, qt.Equals, Overloaded)
}

// Guards against tables that a storm of refused openings fills, so that openings which
// could be served are dropped.
func TestRefusalsKeepNoState(t *testing.T) {
	f := newFixture(t, 6)
	for i := range 2 * maxSearches {
		v := f.engine.Segment(f.now, opening(i, 0))
		for v.Action == Forward {
			v = f.returnOpening(v, opening(i, 0), true)
		}
		f.c.Assert(v.Action, qt.Equals, Reset)
	}
	f.c.Check(f.engine.Searches(), qt.Equals, 0)
	f.c.Check(f.engine.Flows(), qt.Equals, 0)
}

// Guards against openings without their route's priority and objective, and against an
// objective that counts from the last copy.
func TestMarkOfAnOpening(t *testing.T) {
	f := newFixture(t, 2)
	r := routes(2, "web")
	r.Routes[0].Aim, r.Routes[0].Timeout, r.Routes[0].Priority = 300*time.Millisecond, 500*time.Millisecond, 1
	f.setView(r, 2)
	for _, test := range []struct {
		age    time.Duration
		budget time.Duration
		late   bool
	}{{0, 300 * time.Millisecond, false}, {200 * time.Millisecond, 100 * time.Millisecond, false}, {300 * time.Millisecond, 0, true}} {
		head := opening(int(test.age), 0)
		head.Age = test.age
		v := f.engine.Segment(f.now, head)
		f.c.Assert(v.Action, qt.Equals, Forward)
		f.c.Check(v.Priority, qt.Equals, uint8(1))
		f.c.Check(v.Budget, qt.Equals, test.budget)
		f.c.Check(v.Late, qt.Equals, test.late)
	}
	head := opening(900, 0)
	head.Age = 500 * time.Millisecond
	v := f.engine.Segment(f.now, head)
	f.c.Check(v.Action, qt.Equals, Reset)
	f.c.Check(v.Reason, qt.Equals, Expired)
}

// Guards against openings that are dropped, or sent to agents that have not started,
// right after a restart of all processes: their callers lose the 200 ms until the next
// copy, and with them their latency objective.
func TestOpeningsWaitAfterStart(t *testing.T) {
	c := qt.New(t)
	f := &fixture{c: c, engine: New("z0", 0), now: time.Second}
	c.Check(f.engine.Segment(f.now, opening(1, 0)).Action, qt.Equals, Wait, qt.Commentf("no view"))
	for i := range 6 {
		f.targets = append(f.targets, target(i, "web", fmt.Sprintf("z%d", i%2)))
	}
	f.setView(routes(1, "web"), 1)
	v := f.engine.Segment(f.now, opening(1, 0))
	c.Check(v.Action, qt.Equals, Wait, qt.Commentf("no report"))
	c.Check(v.Reason, qt.Equals, Unreported)
	reported := f.targetOf(3)
	reported.Report(f.now, Report{})
	for i := range 50 {
		c.Check(f.firstTarget(opening(i, 0)), qt.Equals, reported)
	}
}

// Guards against openings that wait without end for reports when the control messages
// of all agents are lost.
func TestOpeningsDoNotWaitForLostReports(t *testing.T) {
	f := &fixture{c: qt.New(t), engine: New("z0", 0), now: time.Second, targets: []registry.Target{target(1, "web", "z0")}}
	f.setView(routes(1, "web"), 1)
	f.now += firstReportTimeout
	f.c.Check(f.firstTarget(opening(1, 0)), qt.Equals, f.targetOf(0))
}

// Guards against a new flow at a target that is leaving, because the caller uses a port
// again whose earlier flow is recorded there.
func TestReusedPortAvoidsLeavingTarget(t *testing.T) {
	f := newFixture(t, 3)
	first := f.firstTarget(opening(1, 0))
	for i := range f.targets {
		if f.targetOf(i) == first {
			f.targets[i].Draining = true
		}
	}
	f.setView(routes(1, "web"), 2)
	f.c.Check(f.firstTarget(data(1)), qt.Equals, first)
	f.c.Check(f.firstTarget(opening(1, 0)), qt.Not(qt.Equals), first)
}
