package steering

import (
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/peridotstall/peridotstall/internal/registry"
	"github.com/peridotstall/peridotstall/internal/segment"
)

// Guards against a flow whose owner a new balancer cannot find, also in a large
// service.
func TestNewBalancerFindsTheOwner(t *testing.T) {
	for _, count := range []int{1, 2, 7, 50} {
		for owner := range count {
			f := newFixture(t, count)
			holder := f.targetOf(owner)
			reachedOwner, _ := f.deliver(data(owner), f.probe(owner), holder)
			f.c.Assert(reachedOwner, qt.IsTrue, qt.Commentf("%d targets, owner %d", count, owner))
			f.engine.SetOwner(f.now, flowOf(owner), holder)
			v := f.engine.Segment(f.now, data(owner))
			f.c.Check(v.Reason, qt.Equals, Known)
			f.c.Check(slices.Equal(v.Targets(), []*Target{holder}), qt.IsTrue)
		}
	}
}

// Guards against a search through the whole service for a flow that another balancer
// placed: the owner is among the first candidates.
func TestOwnerIsAmongTheFirstCandidates(t *testing.T) {
	placing, finding := newFixture(t, 50), newFixture(t, 50)
	for i := range 300 {
		placed := placing.firstTarget(opening(i, 0)).Info.ID
		verdict := finding.probe(i)
		found := false
		for _, t := range verdict.Targets() {
			found = found || t.Info.ID == placed
		}
		placing.c.Assert(found, qt.IsTrue, qt.Commentf("flow %d", i))
	}
}

// Guards against segments that go to many targets although agents know the owner, and
// against more than one segment of a flow in flight during a search: copies saturated
// the small link of a balancer that had just started (trouble-1 of the grown site:
// FLOW).
func TestAgentsAreQueriedFirst(t *testing.T) {
	f := newFixture(t, 41)
	for _, t := range f.engine.View().Targets() {
		t.Report(f.now, Report{Complete: true})
	}
	v := f.engine.Segment(f.now, data(1))
	f.c.Check(v.Action, qt.Equals, Query)
	f.c.Check(v.Agents(), qt.HasLen, firstQueryAgents)
	f.c.Check(v.Targets(), qt.HasLen, 0)
	f.c.Check(f.engine.Segment(f.now, data(1)).Action, qt.Equals, Hold)
	f.c.Check(f.engine.DueSearches(f.now), qt.HasLen, 0)
	f.now += firstQueryTimeout
	f.c.Check(f.engine.DueSearches(f.now), qt.DeepEquals, []segment.Flow{flowOf(1)})
	v = f.engine.ContinueSearch(f.now, flowOf(1))
	f.c.Check(len(v.Agents()), qt.Equals, 41, qt.Commentf("the first agents are queried again, for a negative reply"))
	f.c.Check(v.NegativeReplies(), qt.IsTrue)
	f.c.Check(v.Targets(), qt.HasLen, 0, qt.Commentf("the agents have seen all of their flows"))
	for round := 2; round < maxQueryRounds; round++ {
		f.c.Check(f.engine.Segment(f.now, data(1)).Action, qt.Equals, Hold)
		at, any := f.engine.NextDueSearch()
		f.c.Check(any && at == f.now+requeryInterval, qt.IsTrue)
		f.now += requeryInterval
		f.c.Check(f.engine.DueSearches(f.now), qt.DeepEquals, []segment.Flow{flowOf(1)})
		v = f.engine.ContinueSearch(f.now, flowOf(1))
		f.c.Check(v.Action, qt.Equals, Query, qt.Commentf("replies are lost on a congested link"))
		f.c.Check(v.Targets(), qt.HasLen, 0)
		f.c.Check(len(v.Agents()), qt.Equals, map[int]int{0: firstQueryAgents, 1: 41}[round%2])
	}
	f.now += requeryInterval
	f.c.Check(len(f.probeTargets(1)) <= maxFanout, qt.IsTrue)
	f.engine.SetOwner(f.now, flowOf(1), f.targetOf(3))
	f.c.Check(f.firstTarget(data(1)), qt.Equals, f.targetOf(3))
	f.c.Check(f.engine.Searching(flowOf(1)), qt.IsFalse)
	f.c.Check(f.engine.DueSearches(f.now+requeryInterval), qt.HasLen, 0)
}

// Guards against probes for a flow whose owner's agent knows it. On a link that lost
// half of the datagrams, four queries were lost and the probes that followed over the
// same link reached other targets only (scale-2 of ssa-subastas-grown: FLOW). All
// agents were up for longer than the flow was idle, so that one of them knew it.
func TestAgentsAreQueriedAgainBeforeAnyProbe(t *testing.T) {
	f := newFixture(t, 41)
	start := f.now
	for f.now-start < time.Second {
		for _, v := range append([]Verdict{f.engine.Segment(f.now, data(1))}, f.continueDue()...) {
			f.c.Assert(v.Targets(), qt.HasLen, 0, qt.Commentf("after %v", f.now-start))
		}
		f.now += 10 * time.Millisecond
	}
	f.engine.SetOwner(f.now, flowOf(1), f.targetOf(40))
	f.c.Check(f.firstTarget(data(1)), qt.Equals, f.targetOf(40))
}

// Guards against sending segments of a lost flow to every target although all agents
// have seen all flows (end of trouble-1 of ssa-subastas-grown: 90,000 returned segments
// per second, on links that callers needed), and against a reset before all agents have
// sent a negative reply.
func TestFlowIsResetAfterNegativeReplies(t *testing.T) {
	f := newFixture(t, 12)
	f.engine.Segment(f.now, data(1))
	f.now += firstQueryTimeout
	f.c.Assert(f.continueDue(), qt.HasLen, 1)
	for i := range 12 {
		v := f.engine.NegativeReply(f.targetOf(i).Agent.Addr(), flowOf(1))
		if i < 11 {
			f.c.Assert(v.Action, qt.Equals, Drop)
			// A repeated negative reply counts once.
			f.c.Assert(f.engine.NegativeReply(f.targetOf(i).Agent.Addr(), flowOf(1)).Action, qt.Equals, Drop)
			continue
		}
		f.c.Check(v.Action, qt.Equals, Reset)
		f.c.Check(v.Reason, qt.Equals, NoOwner)
	}
	f.c.Check(f.engine.Searching(flowOf(1)), qt.IsFalse)
	f.c.Check(f.engine.NegativeReply(f.targetOf(0).Agent.Addr(), flowOf(1)).Action, qt.Equals, Drop, qt.Commentf("late negative reply"))
}

// Guards against a reset of a flow while a target whose agent cannot know it may hold
// it and all others sent a negative reply.
func TestNegativeRepliesAndReturnsCountTogether(t *testing.T) {
	f := newFixture(t, 6)
	f.targetOf(4).Report(f.now, Report{})
	f.engine.Segment(f.now, data(1))
	f.now += firstQueryTimeout
	v := f.continueDue()[0]
	f.c.Assert(slices.Equal(v.Targets(), []*Target{f.targetOf(4)}), qt.IsTrue)
	for i := range 6 {
		if i != 4 {
			f.c.Assert(f.engine.NegativeReply(f.targetOf(i).Agent.Addr(), flowOf(1)).Action, qt.Equals, Drop)
		}
	}
	head := data(1)
	head.Returned = true
	f.c.Check(f.engine.Returned(f.now, f.targetOf(4).Agent.Addr(), head).Action, qt.Equals, Reset)
}

// Guards against a reset while the table may lack a target.
func TestNoResetWithoutConfirmedTable(t *testing.T) {
	f := newFixture(t, 3)
	f.engine.Tick(f.now, false)
	f.engine.Segment(f.now, data(1))
	f.now += firstQueryTimeout
	f.continueDue()
	for i := range 3 {
		f.c.Check(f.engine.NegativeReply(f.targetOf(i).Agent.Addr(), flowOf(1)).Action, qt.Equals, Drop)
	}
	// The search continues; when it ends, Tick returns the flow so that the caller of
	// the engine drops the held segments.
	f.c.Check(f.engine.Searching(flowOf(1)), qt.IsTrue)
	f.c.Check(f.engine.Tick(f.now+2*searchTTL, false), qt.DeepEquals, []segment.Flow{flowOf(1)})
}

// Guards against queries that fill a small link when many flows arrive from another
// balancer at once: queries above the rate are delayed.
func TestQueriesKeepToTheirRate(t *testing.T) {
	f := newFixture(t, 41)
	f.engine.queryRate = 1000
	f.engine.creditUpdated, f.engine.queryCredit = f.now, 0
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
		for _, v := range f.continueDue() {
			sent += len(v.Agents())
		}
	}
	f.c.Check(first, qt.Equals, 200*firstQueryAgents, qt.Commentf("a first query is never delayed"))
	f.c.Check(sent+first <= 2000+250+maxQueryAgents, qt.IsTrue, qt.Commentf("%d queries in 2 s", sent+first))
	f.c.Check(sent > 300, qt.IsTrue)
}

// When all processes restart, no agent knows a flow, and the targets hold them still. Guards
// against searches on a small link that wait for the rate of queries which nobody can answer
// (nagham-lessons-grown trouble-3: up to 2.4 s).
func TestQueriesAfterARestartOfAllAgents(t *testing.T) {
	f := newFixture(t, 41)
	f.engine.queryRate = 2000
	f.engine.creditUpdated, f.engine.queryCredit = f.now, 500
	for _, t := range f.engine.View().Targets() {
		t.Report(f.now, Report{})
	}
	const flows = 90
	for i := range flows {
		f.c.Assert(f.engine.Segment(f.now, data(i)).Action, qt.Equals, Query)
	}
	start, probed := f.now, map[segment.Flow]time.Duration{}
	for f.now-start < 2*time.Second {
		f.now += 10 * time.Millisecond
		for _, v := range f.continueDue() {
			if _, before := probed[v.Flow]; !before && len(v.Targets()) > 0 {
				probed[v.Flow] = f.now - start
				f.engine.SetOwner(f.now, v.Flow, v.Targets()[0])
			}
		}
	}
	last := time.Duration(0)
	for _, at := range probed {
		last = max(last, at)
	}
	f.c.Check(probed, qt.HasLen, flows)
	f.c.Check(last <= 800*time.Millisecond, qt.IsTrue, qt.Commentf("the last flow was probed after %s", last))
}

// Guards against a search for a flow that its agent has just restored after a restart
// of the balancer, and against a restored flow that replaces newer state.
func TestRestoredFlowsAreKnown(t *testing.T) {
	f := newFixture(t, 12)
	f.engine.RestoreFlow(f.now, flowOf(1), f.targetOf(7))
	f.c.Check(f.firstTarget(data(1)), qt.Equals, f.targetOf(7))
	f.engine.RestoreFlow(f.now, flowOf(1), f.targetOf(3))
	f.c.Check(f.firstTarget(data(1)), qt.Equals, f.targetOf(7))
	head := data(1)
	head.Returned = true
	f.engine.Returned(f.now, f.targetOf(7).Agent.Addr(), head)
	f.engine.RestoreFlow(f.now, flowOf(1), f.targetOf(7))
	f.c.Check(f.engine.Searching(flowOf(1)), qt.IsTrue, qt.Commentf("the target returned the flow"))
}

// Guards against a late reset of a lost flow after all processes and targets restarted
// (trouble-1 of muzedukkan: 0.882 without repeated queries, 0.871 with them).
func TestLostFlowAfterRestartOfAllProcesses(t *testing.T) {
	f := newFixture(t, 12)
	for _, t := range f.engine.View().Targets() {
		t.Report(f.now, Report{})
	}
	f.engine.Segment(f.now, data(1))
	f.now += firstQueryTimeout
	queue := []Verdict{f.engine.ContinueSearch(f.now, flowOf(1))}
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
	f.c.Check(last.Reason, qt.Equals, NoOwner)
}

// Guards against a caller that waits for replies of agents although its target has just
// returned a segment of the flow.
func TestLostFlowIsProbedEarly(t *testing.T) {
	f := newFixture(t, 12)
	recorded := f.firstTarget(opening(1, 0))
	head := data(1)
	head.Returned = true
	v := f.engine.Returned(f.now, recorded.Agent.Addr(), head)
	f.c.Check(v.Action, qt.Equals, Query)
	f.now += firstQueryTimeout
	f.c.Check(f.engine.DueSearches(f.now), qt.HasLen, 1)
	f.engine.ContinueSearch(f.now, flowOf(1))
	f.now += lostFlowQueryTimeout - firstQueryTimeout
	f.c.Check(f.engine.DueSearches(f.now), qt.HasLen, 1)
	v = f.engine.ContinueSearch(f.now, flowOf(1))
	f.c.Check(v.Action, qt.Equals, Forward)
	f.c.Check(v.Targets(), qt.HasLen, maxFanout)
}

// Guards against a search that waits for agents which have just restarted and cannot
// know their flows.
func TestTargetsOfRestartedAgentsAreProbedEarly(t *testing.T) {
	f := newFixture(t, 12)
	for _, t := range f.engine.View().Targets() {
		t.Report(f.now, Report{Complete: true})
	}
	restarted := f.targetOf(5)
	restarted.Report(f.now, Report{})
	f.engine.Segment(f.now, data(1))
	f.now += firstQueryTimeout
	v := f.engine.ContinueSearch(f.now, flowOf(1))
	f.c.Check(slices.Equal(v.Targets(), []*Target{restarted}), qt.IsTrue)
	head := data(1)
	head.Returned = true
	v = f.engine.Returned(f.now, restarted.Agent.Addr(), head)
	f.c.Check(v.Action, qt.Equals, Drop)
	f.c.Check(v.Reason, qt.Equals, Searching)
}

// Guards against a search that one silent target delays until the caller has
// retransmitted its segment several times (trouble-1 of the grown site: FLOW).
func TestOneSegmentReachesTheOwnerPastSilentTargets(t *testing.T) {
	for owner := range 41 {
		f := newFixture(t, 41)
		holder := f.targetOf(owner)
		silent := []*Target{f.targetOf((owner + 1) % 41), f.targetOf((owner + 7) % 41), f.targetOf((owner + 20) % 41)}
		reachedOwner := false
		queue := []Verdict{f.probe(owner)}
		for len(queue) > 0 {
			v := queue[0]
			queue = queue[1:]
			for _, t := range append([]*Target(nil), v.Targets()...) {
				reachedOwner = reachedOwner || t == holder
				if t == holder || slices.Contains(silent, t) {
					continue
				}
				head := data(owner)
				head.Returned = true
				queue = append(queue, f.engine.Returned(f.now, t.Agent.Addr(), head))
			}
		}
		f.c.Check(reachedOwner, qt.IsTrue, qt.Commentf("owner %d", owner))
	}
}

// Guards against a search that stops because a target which returned the segment was
// removed from the list in the meantime (hunt 1b6ed0f7, day 15: FLOW).
func TestSearchContinuesPastRemovedTarget(t *testing.T) {
	f := newFixture(t, 9)
	v := f.probe(1)
	probed := append([]*Target(nil), v.Targets()...)
	var owner *Target
	for i := range f.targets {
		if !slices.Contains(probed, f.targetOf(i)) {
			owner = f.targetOf(i)
		}
	}
	f.targets = slices.DeleteFunc(f.targets, func(t registry.Target) bool { return t.ID == probed[0].Info.ID })
	f.setView(routes(1, "web"), 2)
	reachedOwner := false
	for _, t := range probed {
		head := data(1)
		head.Returned = true
		got, _ := f.deliver(data(1), f.engine.Returned(f.now, t.Agent.Addr(), head), owner)
		reachedOwner = reachedOwner || got
	}
	f.c.Check(reachedOwner, qt.IsTrue)
}

// Guards against a search that waits for dead targets without end.
func TestSearchContinuesPastSilentTargets(t *testing.T) {
	f := newFixture(t, 20)
	probed := map[*Target]bool{}
	for range 4 {
		v := f.probe(1)
		for _, t := range v.Targets() {
			probed[t] = true
		}
		f.now += probeTimeout
	}
	f.c.Check(probed, qt.HasLen, 20)
}

// Guards against a reset of a live flow, and against a lost flow without a reset: a
// reset requires that every target returned a segment in the same round and that the
// list of targets is the newest one.
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
	f.reportIdle()
	f.engine.Tick(f.now, true)
	v := round()
	f.c.Check(v.Action, qt.Equals, Reset)
	f.c.Check(v.Reason, qt.Equals, NoOwner)
}

// Guards against a reset while one target has not answered: it may hold the flow.
func TestNoResetWhileATargetIsSilent(t *testing.T) {
	f := newFixture(t, 4)
	for range 5 {
		f.now += probeTimeout
		f.engine.Tick(f.now, true)
		queue := []Verdict{f.probe(1)}
		for len(queue) > 0 {
			v := queue[0]
			queue = queue[1:]
			f.c.Assert(v.Action, qt.Not(qt.Equals), Reset)
			for _, t := range append([]*Target(nil), v.Targets()...) {
				if t == f.targetOf(0) {
					continue
				}
				head := data(1)
				head.Returned = true
				queue = append(queue, f.engine.Returned(f.now, t.Agent.Addr(), head))
			}
		}
	}
}

// Guards against old flows that are sent to the next incarnation at an address, and
// against a reset of a flow that this incarnation opened before the balancer received
// its entry (trouble-1 of ssa-subastas: request eefe2f2452a69021 was cut off).
func TestReplacedTargetGetsNoOldFlows(t *testing.T) {
	f := newFixture(t, 2)
	first := f.firstTarget(opening(1, 0))
	i := 0
	if f.targetOf(1) == first {
		i = 1
	}
	f.targets[i].Born = 2
	f.setView(routes(1, "web"), 2)
	v := f.engine.Segment(f.now, data(1))
	f.c.Check(v.Action, qt.Equals, Query)
	f.engine.SetOwner(f.now, flowOf(1), f.targetOf(i))
	f.c.Check(f.firstTarget(data(1)), qt.Equals, f.targetOf(i))
}

// Guards against losing open flows when a configuration routes their address to another
// service.
func TestFlowsOfAFormerService(t *testing.T) {
	f := newFixture(t, 2)
	f.targets = append(f.targets, target(2, "new", "z0"))
	f.setView(routes(2, "new"), 2)
	f.c.Check(f.firstTarget(opening(1, 0)), qt.Equals, f.targetOf(2))
	for owner := range 2 {
		reachedOwner, _ := f.deliver(data(9+owner), f.probe(9+owner), f.targetOf(owner))
		f.c.Check(reachedOwner, qt.IsTrue)
	}
}

// continueDue continues the searches that are due.
func (f *fixture) continueDue() []Verdict {
	var verdicts []Verdict
	for _, flow := range f.engine.DueSearches(f.now) {
		verdicts = append(verdicts, f.engine.ContinueSearch(f.now, flow))
	}
	return verdicts
}

// probeTargets returns the targets that are probed after the last query.
func (f *fixture) probeTargets(i int) []*Target {
	v := f.probe(i)
	return append([]*Target(nil), v.Targets()...)
}
