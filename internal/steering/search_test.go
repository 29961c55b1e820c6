package steering

import (
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/peridotstall/peridotstall/internal/registry"
	"github.com/peridotstall/peridotstall/internal/segment"
)

// Guards against a flow that a balancer which joined a second ago cannot find,
// whichever target holds it, also in a large service.
func TestNewBalancerFindsTheOwner(t *testing.T) {
	for _, count := range []int{1, 2, 7, 50} {
		for owner := range count {
			f := newFixture(t, count)
			holder := f.at(owner)
			home, _ := f.deliver(data(owner), f.probe(owner), holder)
			f.c.Assert(home, qt.IsTrue, qt.Commentf("%d targets, owner %d", count, owner))
			f.engine.Owner(f.now, flowOf(owner), holder)
			v := f.engine.Segment(f.now, data(owner))
			f.c.Check(v.Reason, qt.Equals, Known)
			f.c.Check(slices.Equal(v.Targets(), []*Target{holder}), qt.IsTrue)
		}
	}
}

// Guards against a search through the whole service for a flow that another
// balancer placed: it is among the first candidates.
func TestOwnerIsAmongTheFirstCandidates(t *testing.T) {
	placing, finding := newFixture(t, 50), newFixture(t, 50)
	for i := range 300 {
		placed := placing.first(opening(i, 0)).Info.ID
		asked := finding.probe(i)
		found := false
		for _, t := range asked.Targets() {
			found = found || t.Info.ID == placed
		}
		placing.c.Assert(found, qt.IsTrue, qt.Commentf("flow %d", i))
	}
}

// Guards against segments that go to many targets although agents know the
// owner, and against more than one segment of a flow on the way at a time: a
// balancer that joins with a small link drowned in copies (trouble-1 of the grown
// site: FLOW).
func TestAgentsAreQueriedFirst(t *testing.T) {
	f := newFixture(t, 41)
	for _, t := range f.engine.View().Targets() {
		t.Report(f.now, Report{Complete: true})
	}
	v := f.engine.Segment(f.now, data(1))
	f.c.Check(v.Action, qt.Equals, Query)
	f.c.Check(v.Agents(), qt.HasLen, firstQueries)
	f.c.Check(v.Targets(), qt.HasLen, 0)
	f.c.Check(f.engine.Segment(f.now, data(1)).Action, qt.Equals, Hold)
	f.c.Check(f.engine.Overdue(f.now), qt.HasLen, 0)
	f.now += queryWait
	f.c.Check(f.engine.Overdue(f.now), qt.DeepEquals, []segment.Flow{flowOf(1)})
	v = f.engine.Continue(f.now, flowOf(1))
	f.c.Check(len(v.Agents()), qt.Equals, 41, qt.Commentf("the first ones are asked again, for a denial"))
	f.c.Check(v.Deny(), qt.IsTrue)
	f.c.Check(v.Targets(), qt.HasLen, 0, qt.Commentf("the agents know their flows"))
	for round := 2; round < maxRounds; round++ {
		f.c.Check(f.engine.Segment(f.now, data(1)).Action, qt.Equals, Hold)
		at, any := f.engine.NextOverdue()
		f.c.Check(any && at == f.now+requeryInterval, qt.IsTrue)
		f.now += requeryInterval
		f.c.Check(f.engine.Overdue(f.now), qt.DeepEquals, []segment.Flow{flowOf(1)})
		v = f.engine.Continue(f.now, flowOf(1))
		f.c.Check(v.Action, qt.Equals, Query, qt.Commentf("answers are lost on a full link"))
		f.c.Check(v.Targets(), qt.HasLen, 0)
		f.c.Check(len(v.Agents()), qt.Equals, map[int]int{0: firstQueries, 1: 41}[round%2])
	}
	f.now += requeryInterval
	f.c.Check(len(f.probeTargets(1)) <= maxFanout, qt.IsTrue)
	f.engine.Owner(f.now, flowOf(1), f.at(3))
	f.c.Check(f.first(data(1)), qt.Equals, f.at(3))
	f.c.Check(f.engine.Searching(flowOf(1)), qt.IsFalse)
	f.c.Check(f.engine.Overdue(f.now+requeryInterval), qt.HasLen, 0)
}

// Guards against a flow that lives and reaches other targets only, because the
// link of its balancer loses half of the datagrams: four queries were lost, and
// then the targets were probed over the same link (scale-2 of ssa-subastas-grown:
// FLOW). All agents were up for longer than the flow was idle, so that one of
// them knows it.
func TestKnowingAgentsAreQueriedAgainBeforeAnyProbe(t *testing.T) {
	f := newFixture(t, 41)
	start := f.now
	for f.now-start < time.Second {
		for _, v := range append([]Verdict{f.engine.Segment(f.now, data(1))}, f.overdue()...) {
			f.c.Assert(v.Targets(), qt.HasLen, 0, qt.Commentf("after %v", f.now-start))
		}
		f.now += 10 * time.Millisecond
	}
	f.engine.Owner(f.now, flowOf(1), f.at(40))
	f.c.Check(f.first(data(1)), qt.Equals, f.at(40))
}

// Guards against a lost flow that is sent to every target although their agents
// know that none holds it (end of trouble-1 of ssa-subastas-grown: 90,000 returned
// segments a second, on links that callers needed), and against a reset before all
// have denied it.
func TestDeniedFlowIsReset(t *testing.T) {
	f := newFixture(t, 12)
	f.engine.Segment(f.now, data(1))
	f.now += queryWait
	f.c.Assert(f.overdue(), qt.HasLen, 1)
	for i := range 12 {
		v := f.engine.Denied(f.at(i).Agent.Addr(), flowOf(1))
		if i < 11 {
			f.c.Assert(v.Action, qt.Equals, Drop)
			// A denial that is repeated counts once.
			f.c.Assert(f.engine.Denied(f.at(i).Agent.Addr(), flowOf(1)).Action, qt.Equals, Drop)
			continue
		}
		f.c.Check(v.Action, qt.Equals, Reset)
		f.c.Check(v.Reason, qt.Equals, Ownerless)
	}
	f.c.Check(f.engine.Searching(flowOf(1)), qt.IsFalse)
	f.c.Check(f.engine.Denied(f.at(0).Agent.Addr(), flowOf(1)).Action, qt.Equals, Drop, qt.Commentf("late denial"))
}

// Guards against a reset of a flow that a target holds whose agent cannot know
// it, while all others deny it.
func TestDenialsAndReturnsCountTogether(t *testing.T) {
	f := newFixture(t, 6)
	f.at(4).Report(f.now, Report{})
	f.engine.Segment(f.now, data(1))
	f.now += queryWait
	v := f.overdue()[0]
	f.c.Assert(slices.Equal(v.Targets(), []*Target{f.at(4)}), qt.IsTrue)
	for i := range 6 {
		if i != 4 {
			f.c.Assert(f.engine.Denied(f.at(i).Agent.Addr(), flowOf(1)).Action, qt.Equals, Drop)
		}
	}
	head := data(1)
	head.Returned = true
	f.c.Check(f.engine.Returned(f.now, f.at(4).Agent.Addr(), head).Action, qt.Equals, Reset)
}

// Guards against a reset while the table may lack a target, and while the own
// link is in doubt.
func TestDeniedFlowWithoutAConfirmedTable(t *testing.T) {
	f := newFixture(t, 3)
	f.engine.Tick(f.now, false)
	f.engine.Segment(f.now, data(1))
	f.now += queryWait
	f.overdue()
	for i := range 3 {
		f.c.Check(f.engine.Denied(f.at(i).Agent.Addr(), flowOf(1)).Action, qt.Equals, Drop)
	}
	// The search goes on, and its end tells the caller to drop the held segments.
	f.c.Check(f.engine.Searching(flowOf(1)), qt.IsTrue)
	f.c.Check(f.engine.Tick(f.now+2*searchLife, false), qt.DeepEquals, []segment.Flow{flowOf(1)})
}

// Guards against queries that fill a small link when many flows come over at
// once: beyond the rate they wait.
func TestQueriesKeepToTheirRate(t *testing.T) {
	f := newFixture(t, 41)
	f.engine.queryRate = 1000
	f.engine.credited, f.engine.credit = f.now, 0
	sent, first := 0, 0
	start := f.now
	for i := range 200 {
		v := f.engine.Segment(f.now, data(i))
		first += len(v.Agents())
	}
	for f.now-start < 2*time.Second {
		f.now += 10 * time.Millisecond
		for i := range 200 {
			v := f.engine.Segment(f.now, data(i))
			sent += len(v.Agents())
		}
		for _, v := range f.overdue() {
			sent += len(v.Agents())
		}
	}
	f.c.Check(first, qt.Equals, 200*firstQueries, qt.Commentf("a first query is never put off"))
	f.c.Check(sent+first <= 2000+250+maxQueries, qt.IsTrue, qt.Commentf("%d queries in 2 s", sent+first))
	f.c.Check(sent > 300, qt.IsTrue)
}

// Guards against a search for a flow that an agent has just named after the
// restart of the balancer, and against a name that is older than what the
// balancer knows.
func TestRecalledFlowsAreKnown(t *testing.T) {
	f := newFixture(t, 12)
	f.engine.Recall(f.now, flowOf(1), f.at(7))
	f.c.Check(f.first(data(1)), qt.Equals, f.at(7))
	f.engine.Recall(f.now, flowOf(1), f.at(3))
	f.c.Check(f.first(data(1)), qt.Equals, f.at(7))
	head := data(1)
	head.Returned = true
	f.engine.Returned(f.now, f.at(7).Agent.Addr(), head)
	f.engine.Recall(f.now, flowOf(1), f.at(7))
	f.c.Check(f.engine.Searching(flowOf(1)), qt.IsTrue, qt.Commentf("the target returned the flow"))
}

// Guards against a caller that is told late of the loss of its flow after all
// processes and targets were restarted (trouble-1 of muzedukkan: 0.882 before
// queries were repeated, 0.871 with them).
func TestLostFlowAfterARestartOfEverything(t *testing.T) {
	f := newFixture(t, 12)
	for _, t := range f.engine.View().Targets() {
		t.Report(f.now, Report{})
	}
	f.engine.Segment(f.now, data(1))
	f.now += queryWait
	queue := []Verdict{f.engine.Continue(f.now, flowOf(1))}
	var last Verdict
	for len(queue) > 0 {
		last = queue[0]
		queue = queue[1:]
		for _, t := range append([]*Target(nil), last.Targets()...) {
			head := data(1)
			head.Returned = true
			queue = append(queue, f.engine.Returned(f.now, t.Agent.Addr(), head))
		}
	}
	f.c.Check(last.Action, qt.Equals, Reset)
	f.c.Check(last.Reason, qt.Equals, Ownerless)
}

// Guards against a caller that waits for answers of agents although its target
// has just returned a segment of the flow.
func TestLostFlowIsProbedEarly(t *testing.T) {
	f := newFixture(t, 12)
	holder := f.first(opening(1, 0))
	head := data(1)
	head.Returned = true
	v := f.engine.Returned(f.now, holder.Agent.Addr(), head)
	f.c.Check(v.Action, qt.Equals, Query)
	f.now += queryWait
	f.c.Check(f.engine.Overdue(f.now), qt.HasLen, 1)
	f.engine.Continue(f.now, flowOf(1))
	f.now += probeWait - queryWait
	f.c.Check(f.engine.Overdue(f.now), qt.HasLen, 1)
	v = f.engine.Continue(f.now, flowOf(1))
	f.c.Check(v.Action, qt.Equals, Forward)
	f.c.Check(v.Targets(), qt.HasLen, maxFanout)
}

// Guards against callers that wait for agents which were restarted a moment ago
// and cannot know their flows.
func TestYoungAgentsAreProbedEarly(t *testing.T) {
	f := newFixture(t, 12)
	for _, t := range f.engine.View().Targets() {
		t.Report(f.now, Report{Complete: true})
	}
	young := f.at(5)
	young.Report(f.now, Report{})
	f.engine.Segment(f.now, data(1))
	f.now += queryWait
	v := f.engine.Continue(f.now, flowOf(1))
	f.c.Check(slices.Equal(v.Targets(), []*Target{young}), qt.IsTrue)
	head := data(1)
	head.Returned = true
	v = f.engine.Returned(f.now, young.Agent.Addr(), head)
	f.c.Check(v.Action, qt.Equals, Drop)
	f.c.Check(v.Reason, qt.Equals, Searching)
}

// Guards against a search that one silent target holds up until the caller has
// repeated its segment several times (trouble-1 of the grown site: FLOW).
func TestOneSegmentReachesTheOwnerPastSilentTargets(t *testing.T) {
	for owner := range 41 {
		f := newFixture(t, 41)
		holder := f.at(owner)
		silent := []*Target{f.at((owner + 1) % 41), f.at((owner + 7) % 41), f.at((owner + 20) % 41)}
		home := false
		queue := []Verdict{f.probe(owner)}
		for len(queue) > 0 {
			v := queue[0]
			queue = queue[1:]
			for _, t := range append([]*Target(nil), v.Targets()...) {
				home = home || t == holder
				if t == holder || slices.Contains(silent, t) {
					continue
				}
				head := data(owner)
				head.Returned = true
				queue = append(queue, f.engine.Returned(f.now, t.Agent.Addr(), head))
			}
		}
		f.c.Check(home, qt.IsTrue, qt.Commentf("owner %d", owner))
	}
}

// Guards against a search that stands still because a target which returned the
// segment had left the list meanwhile (hunt 1b6ed0f7, day 15: FLOW).
func TestSearchGoesOnPastAVanishedTarget(t *testing.T) {
	f := newFixture(t, 9)
	v := f.probe(1)
	asked := append([]*Target(nil), v.Targets()...)
	var holder *Target
	for i := range f.targets {
		if !slices.Contains(asked, f.at(i)) {
			holder = f.at(i)
		}
	}
	f.targets = slices.DeleteFunc(f.targets, func(t registry.Target) bool { return t.ID == asked[0].Info.ID })
	f.show(routes(1, "web"), 2)
	home := false
	for _, t := range asked {
		head := data(1)
		head.Returned = true
		got, _ := f.deliver(data(1), f.engine.Returned(f.now, t.Agent.Addr(), head), holder)
		home = home || got
	}
	f.c.Check(home, qt.IsTrue)
}

// Guards against a search that waits for ever for targets that are dead.
func TestSearchGoesOnPastSilentTargets(t *testing.T) {
	f := newFixture(t, 20)
	asked := map[*Target]bool{}
	for range 4 {
		v := f.probe(1)
		for _, t := range v.Targets() {
			asked[t] = true
		}
		f.now += askInterval
	}
	f.c.Check(asked, qt.HasLen, 20)
}

// Guards against a reset of a flow that lives, and against a caller that waits
// although its flow is lost: the reset takes a whole round in which every target
// returned a segment, and the newest list of targets.
func TestResetOnlyAfterAWholeRound(t *testing.T) {
	f := newFixture(t, 12)
	round := func() Verdict {
		var last Verdict
		returned := map[*Target]bool{}
		queue := []Verdict{f.probe(1)}
		for len(queue) > 0 {
			last = queue[0]
			queue = queue[1:]
			f.c.Assert(last.Action == Reset && len(returned) < 12, qt.IsFalse, qt.Commentf("%d of 12 returned", len(returned)))
			for _, t := range append([]*Target(nil), last.Targets()...) {
				returned[t] = true
				head := data(1)
				head.Returned = true
				queue = append(queue, f.engine.Returned(f.now, t.Agent.Addr(), head))
			}
		}
		f.c.Assert(returned, qt.HasLen, 12)
		return last
	}
	f.engine.Tick(f.now, false)
	f.c.Check(round().Action, qt.Equals, Drop, qt.Commentf("unconfirmed list"))
	f.report()
	f.engine.Tick(f.now, true)
	v := round()
	f.c.Check(v.Action, qt.Equals, Reset)
	f.c.Check(v.Reason, qt.Equals, Ownerless)
}

// Guards against a reset while one target has not answered: it may hold the flow.
func TestNoResetWhileATargetIsSilent(t *testing.T) {
	f := newFixture(t, 4)
	for range 5 {
		f.now += askInterval
		f.engine.Tick(f.now, true)
		queue := []Verdict{f.probe(1)}
		for len(queue) > 0 {
			v := queue[0]
			queue = queue[1:]
			f.c.Assert(v.Action, qt.Not(qt.Equals), Reset)
			for _, t := range append([]*Target(nil), v.Targets()...) {
				if t == f.at(0) {
					continue
				}
				head := data(1)
				head.Returned = true
				queue = append(queue, f.engine.Returned(f.now, t.Agent.Addr(), head))
			}
		}
	}
}

// Guards against old flows that are sent to the next lifetime at an address, and
// against a reset of a flow that this lifetime opened before its entry was seen
// (trouble-1 of ssa-subastas: request eefe2f2452a69021 was cut off).
func TestReplacedTargetGetsNoOldFlows(t *testing.T) {
	f := newFixture(t, 2)
	first := f.first(opening(1, 0))
	i := 0
	if f.at(1) == first {
		i = 1
	}
	f.targets[i].Born = 2
	f.show(routes(1, "web"), 2)
	v := f.engine.Segment(f.now, data(1))
	f.c.Check(v.Action, qt.Equals, Query)
	f.engine.Owner(f.now, flowOf(1), f.at(i))
	f.c.Check(f.first(data(1)), qt.Equals, f.at(i))
}

// Guards against open flows that are lost when a configuration gives their
// address to another service.
func TestFlowsOfAFormerService(t *testing.T) {
	f := newFixture(t, 2)
	f.targets = append(f.targets, target(2, "new", "z0"))
	f.show(routes(2, "new"), 2)
	f.c.Check(f.first(opening(1, 0)), qt.Equals, f.at(2))
	for owner := range 2 {
		home, _ := f.deliver(data(9+owner), f.probe(9+owner), f.at(owner))
		f.c.Check(home, qt.IsTrue)
	}
}

// overdue continues the searches that are due.
func (f *fixture) overdue() []Verdict {
	var verdicts []Verdict
	for _, flow := range f.engine.Overdue(f.now) {
		verdicts = append(verdicts, f.engine.Continue(f.now, flow))
	}
	return verdicts
}

// probeTargets returns the targets that are probed in the end.
func (f *fixture) probeTargets(i int) []*Target {
	v := f.probe(i)
	return append([]*Target(nil), v.Targets()...)
}
