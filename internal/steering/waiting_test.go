package steering

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/peridotstall/peridotstall/internal/segment"
)

// patientRoutes returns a route with an objective and a longer timeout.
func (f *fixture) setPatientRoute() {
	r := routes(2, "web")
	r.Routes[0].Aim, r.Routes[0].Timeout = 200*time.Millisecond, 2*time.Second
	f.setView(r, 1)
}

// refuse returns an opening because of load, with the time in which the target expects to
// answer it.
func (f *fixture) refuse(v Verdict, head segment.Head, quote time.Duration) Verdict {
	t := v.Targets()[0]
	mark := segment.UnpackOpening(v.Mark(t))
	mark.Busy, mark.Budget, mark.Late = true, quote, false
	head.Returned, head.Mark = true, mark.Pack()
	return f.engine.Returned(f.now, t.Agent.Addr(), head)
}

// When all callers come back at once, every target refuses what is late. Guards against a
// reset although a target can answer within the timeout of the route.
func TestRefusedOpeningWaitsAtTheQuickestTarget(t *testing.T) {
	f := newFixture(t, 20)
	f.setPatientRoute()
	head := opening(1, 2)
	head.Age, head.Patience = 600*time.Millisecond, 800*time.Millisecond
	v := f.engine.Segment(f.now, head)
	var quickest *Target
	for i := range maxBusyReturns {
		f.c.Assert(v.Action, qt.Equals, Forward)
		mark := segment.UnpackOpening(v.Mark(v.Targets()[0]))
		f.c.Check(mark.MayWait, qt.IsFalse)
		f.c.Check(mark.Late, qt.IsTrue)
		f.c.Check(mark.Patience > 650*time.Millisecond && mark.Patience <= 800*time.Millisecond, qt.IsTrue, qt.Commentf("%s", mark.Patience))
		quote := 300 * time.Millisecond
		if i == 1 {
			quickest, quote = v.Targets()[0], 90*time.Millisecond
		}
		v = f.refuse(v, head, quote)
	}
	f.c.Assert(v.Action, qt.Equals, Forward)
	f.c.Check(v.Targets()[0], qt.Equals, quickest)
	f.c.Check(segment.UnpackOpening(v.Mark(quickest)).MayWait, qt.IsTrue)
	// It has filled up meanwhile: the caller is told at once.
	v = f.refuse(v, head, 0)
	f.c.Check(v.Action, qt.Equals, Reset)
	f.c.Check(v.Reason, qt.Equals, Overloaded)
}

// Guards against an opening that is kept although no target can answer it in time for its
// caller, and against one on a route that does not want late answers.
func TestOpeningThatCannotBeServedIsResetAtOnce(t *testing.T) {
	for _, patient := range []bool{true, false} {
		f := newFixture(t, 20)
		quote := 100 * time.Millisecond
		if patient {
			f.setPatientRoute()
			quote = 900 * time.Millisecond
		}
		head := opening(1, 2)
		head.Age, head.Patience = 600*time.Millisecond, 800*time.Millisecond
		v := f.engine.Segment(f.now, head)
		for range maxBusyReturns {
			f.c.Assert(v.Action, qt.Equals, Forward)
			v = f.refuse(v, head, quote)
		}
		f.c.Check(v.Action, qt.Equals, Reset)
	}
}

// waitingFixture returns a fixture with an opening that waits at an agent.
func waitingFixture(t *testing.T) (*fixture, *Target) {
	f := newFixture(t, 20)
	f.setPatientRoute()
	at := f.firstTarget(opening(1, 0))
	for _, t := range f.engine.View().Targets() {
		t.Report(f.now, Report{Pending: 9, MeanPending: 9, Complete: true})
	}
	at.Report(f.now, Report{Pending: 9, MeanPending: 9, Complete: true, Waiting: 5})
	f.engine.SetWaiting(opening(1, 0).FromCaller(), at)
	f.now += 200 * time.Millisecond
	return f, at
}

// Guards against copies of one opening that take a place at several targets, of which the
// caller uses one.
func TestCopyOfAWaitingOpening(t *testing.T) {
	f, at := waitingFixture(t)
	v := f.engine.Segment(f.now, opening(1, 1))
	f.c.Assert(v.Action, qt.Equals, Forward)
	f.c.Check(v.Reason, qt.Equals, Waiting)
	f.c.Assert(v.Targets(), qt.HasLen, 1)
	f.c.Check(v.Targets()[0], qt.Equals, at)
	f.c.Check(v.MayWait, qt.IsTrue)
	f.c.Check(v.Withdraw, qt.IsNil)
	// A slot gets free elsewhere: the opening goes there and leaves the line.
	for _, t := range f.engine.View().Targets() {
		if t != at {
			t.Report(f.now, Report{Complete: true})
		}
	}
	v = f.engine.Segment(f.now, opening(1, 2))
	f.c.Check(v.Action, qt.Equals, Forward)
	f.c.Check(v.Targets()[0], qt.Not(qt.Equals), at)
	f.c.Check(v.Withdraw, qt.Equals, at)
}

// Guards against an opening that waits at an agent which has ended or restarted.
func TestCopyAfterTheAgentEnded(t *testing.T) {
	for name, end := range map[string]func(f *fixture, at *Target){
		"killed":    func(f *fixture, _ *Target) { f.now += maxWaitingReportAge },
		"restarted": func(f *fixture, at *Target) { at.Report(f.now, Report{Complete: true}) },
		"leaving":   func(f *fixture, at *Target) { at.Report(f.now, Report{Waiting: 5, Leaving: true}) },
	} {
		f, at := waitingFixture(t)
		end(f, at)
		v := f.engine.Segment(f.now, opening(1, 1))
		f.c.Check(v.Action, qt.Equals, Forward, qt.Commentf(name))
		f.c.Check(v.Withdraw, qt.IsNil, qt.Commentf(name))
	}
}

// Guards against an opening that is lost with the line of an agent that stops: it is placed
// anew and may wait once more.
func TestOpeningReturnedFromTheLine(t *testing.T) {
	f := newFixture(t, 20)
	f.setPatientRoute()
	head := opening(1, 0)
	v := f.engine.Segment(f.now, head)
	for range maxBusyReturns {
		v = f.refuse(v, head, 90*time.Millisecond)
	}
	f.c.Assert(v.MayWait, qt.IsTrue)
	v = f.returnOpening(v, head, false)
	f.c.Check(v.Action, qt.Equals, Forward)
}

// Guards against an opening whose copies are dropped for as long as its former target has any
// line, after that target returned it while another one may hold the flow.
func TestReturnedOpeningNoLongerWaits(t *testing.T) {
	f, at := waitingFixture(t)
	head := opening(1, 0)
	r, _ := f.engine.records.Get(head.FromCaller())
	r.forgotten = true
	f.engine.records.Put(head.FromCaller(), r)
	s := f.engine.searchFor(f.now, head.FromCaller())
	s.mayWait, s.busyReturns = true, maxBusyReturns
	head.Returned, head.Mark = true, segment.Mark{Tag: at.Tag, Busy: true}.Pack()
	v := f.engine.Returned(f.now, at.Agent.Addr(), head)
	f.c.Assert(v.Action, qt.Equals, Drop)
	v = f.engine.Segment(f.now, opening(1, 1))
	f.c.Assert(v.Action, qt.Equals, Forward)
	f.c.Check(v.Targets()[0], qt.Not(qt.Equals), at)
	f.c.Check(v.Reason, qt.Equals, Repeated)
}

// Guards against a reset of a flow that is open: while the opening waited, the caller sent its
// next copy, which may have gone through another balancer to a target that accepted it.
func TestNoResetAfterTheNextCopyWasDue(t *testing.T) {
	for _, waited := range []time.Duration{100 * time.Millisecond, 150 * time.Millisecond} {
		f := newFixture(t, 20)
		f.setPatientRoute()
		head := opening(1, 0)
		v := f.engine.Segment(f.now, head)
		for range maxBusyReturns {
			v = f.refuse(v, head, 90*time.Millisecond)
		}
		f.c.Assert(v.MayWait, qt.IsTrue)
		f.now += waited
		v = f.refuse(v, head, 0)
		f.c.Check(v.Action == Reset, qt.Equals, waited < 150*time.Millisecond, qt.Commentf("%s", waited))
		// Once that copy is seen here, it decides.
		v = f.engine.Segment(f.now, opening(1, 1))
		for v.Action == Forward {
			v = f.refuse(v, opening(1, 1), 0)
		}
		f.c.Check(v.Action, qt.Equals, Reset)
	}
}

// Guards against a reset of a flow that is open by a balancer that has restarted while the
// opening waited: it does not know which targets got copies.
func TestNoResetOfAnUnknownOpening(t *testing.T) {
	f := newFixture(t, 2)
	f.setPatientRoute()
	head := opening(1, 0)
	head.Returned, head.Mark = true, segment.Mark{Busy: true}.Pack()
	v := Verdict{Action: Forward}
	for _, target := range f.engine.View().Targets() {
		v = f.engine.Returned(f.now, target.Agent.Addr(), head)
	}
	f.c.Check(v.Action, qt.Equals, Drop)
}

// Guards against a route without a timeout beyond its objective that is served otherwise than
// without openings that wait.
func TestWithoutPatienceNothingChanges(t *testing.T) {
	for _, aim := range []time.Duration{0, 2 * time.Second} {
		f, plain := newFixture(t, 20), newFixture(t, 20)
		plain.engine.policy.Wait = false
		for _, f := range []*fixture{f, plain} {
			r := routes(2, "web")
			r.Routes[0].Aim, r.Routes[0].Timeout = aim, aim
			f.setView(r, 1)
		}
		for port := range 50 {
			for _, age := range []time.Duration{0, 600 * time.Millisecond} {
				head := opening(port, uint32(age/(300*time.Millisecond)))
				head.Age, head.Patience = age, time.Second
				v, want := f.engine.Segment(f.now, head), plain.engine.Segment(plain.now, head)
				for v.Action == Forward && want.Action == Forward {
					to := v.Targets()[0]
					f.c.Assert(to.Agent, qt.Equals, want.Targets()[0].Agent)
					f.c.Assert(v.Mark(to), qt.Equals, want.Mark(want.Targets()[0]))
					f.now, plain.now = f.now+time.Millisecond, plain.now+time.Millisecond
					v, want = f.refuse(v, head, 50*time.Millisecond), plain.refuse(want, head, 50*time.Millisecond)
				}
				f.c.Assert(v.Action, qt.Equals, want.Action)
				f.c.Assert(v.Reason, qt.Equals, want.Reason)
			}
		}
	}
}
