package steering

import (
	"fmt"
	"net/netip"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/peridotstall/peridotstall/internal/registry"
	"github.com/peridotstall/peridotstall/internal/segment"
)

const agentPort = 8172

func endpoint(s string) segment.Endpoint {
	e, ok := segment.EndpointFrom(netip.MustParseAddrPort(s))
	if !ok {
		panic(s)
	}
	return e
}

var shop = endpoint("198.18.0.1:443")

func caller(i int) segment.Endpoint {
	return segment.Endpoint{IP: [4]byte{100, 64, byte(i >> 8), byte(i)}, Port: uint16(40000 + i%1000)}
}

func target(i int, service, zone string) registry.Target {
	return registry.Target{
		ID: fmt.Sprintf("t%d", i), Born: 1, Service: service, Zone: zone, Slots: 3,
		Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(i >> 8), byte(i)}), 80),
	}
}

func routes(version uint64, services ...string) registry.Routes {
	r := registry.Route{Endpoint: shop}
	for _, s := range services {
		r.Shares = append(r.Shares, registry.Share{Service: s, Weight: 1})
	}
	return registry.Routes{Version: version, Routes: []registry.Route{r}}
}

// fixture is an engine with a number of targets in two zones.
type fixture struct {
	c       *qt.C
	engine  *Engine
	targets []registry.Target
	now     time.Duration
}

func newFixture(t *testing.T, count int) *fixture {
	f := &fixture{c: qt.New(t), engine: New("z0", 0), now: time.Second}
	for i := range count {
		f.targets = append(f.targets, target(i, "web", fmt.Sprintf("z%d", i%2)))
	}
	f.setView(routes(1, "web"), 1)
	f.reportIdle()
	f.now += firstReportTimeout
	return f
}

func (f *fixture) setView(r registry.Routes, revision uint64) {
	table := registry.Table{Revision: revision, Targets: f.targets}
	f.engine.SetView(f.now, NewView(f.now, f.engine.View(), r, table, agentPort))
	f.engine.Tick(f.now, true)
}

// reportIdle sends a report without load for every target but the silent ones.
func (f *fixture) reportIdle(silent ...*Target) {
	for _, t := range f.engine.View().Targets() {
		skip := false
		for _, s := range silent {
			skip = skip || s == t
		}
		if !skip {
			t.Report(f.now, Report{Complete: true})
		}
	}
}

// firstTarget decides on a caller's segment and returns the first target of the
// verdict.
func (f *fixture) firstTarget(head segment.Head) *Target {
	v := f.engine.Segment(f.now, head)
	f.c.Assert(v.Targets(), qt.Not(qt.HasLen), 0)
	return v.Targets()[0]
}

// probe repeats a caller's segment of a flow, without any reply of an agent, until the
// segment goes to targets.
func (f *fixture) probe(i int) Verdict {
	for range 2 * maxQueryRounds {
		v := f.engine.Segment(f.now, data(i))
		if v.Action != Query && v.Action != Hold {
			return v
		}
		f.now += requeryInterval
		for _, flow := range f.engine.DueSearches(f.now) {
			if v := f.engine.ContinueSearch(f.now, flow); v.Action != Query && v.Action != Hold {
				return v
			}
		}
	}
	f.c.Fatalf("flow %d is not probed", i)
	return Verdict{}
}

func (f *fixture) targetOf(i int) *Target {
	return f.engine.View().TargetOn(f.targets[i].Address.Addr())
}

func opening(i int, copyNumber uint32) segment.Head {
	return segment.Head{Source: caller(i), Destination: shop, Opening: true, Copy: copyNumber}
}

func data(i int) segment.Head {
	return segment.Head{Source: caller(i), Destination: shop, DataLength: 10}
}

func flowOf(i int) segment.Flow { return segment.Flow{Caller: caller(i), Service: shop} }

// deliver simulates the targets: the owner keeps the segment, all others return it. It
// reports whether the owner got it and returns how often other targets did.
func (f *fixture) deliver(head segment.Head, v Verdict, owner *Target) (reachedOwner bool, otherTargets int) {
	queue := []Verdict{v}
	for len(queue) > 0 && otherTargets < 1000 {
		next := queue[0]
		queue = queue[1:]
		for _, t := range append([]*Target(nil), next.Targets()...) {
			if t == owner {
				reachedOwner = true
				continue
			}
			otherTargets++
			returned := head
			returned.Returned = true
			queue = append(queue, f.engine.Returned(f.now, t.Agent.Addr(), returned))
		}
	}
	return reachedOwner, otherTargets
}

// Guards against flows that move to another target when targets are added or drained.
func TestFlowStaysWithItsTarget(t *testing.T) {
	f := newFixture(t, 7)
	first := f.engine.Segment(f.now, opening(1, 0))
	f.c.Assert(first.Action, qt.Equals, Forward)
	owner := first.Targets()[0]
	f.targets = append(f.targets, target(7, "web", "z0"), target(8, "web", "z1"))
	for i := range f.targets {
		f.targets[i].Draining = true
	}
	f.setView(routes(2, "web"), 2)
	v := f.engine.Segment(f.now, data(1))
	f.c.Check(v.Reason, qt.Equals, Known)
	f.c.Check(v.Targets()[0], qt.Equals, owner)
}

// Guards against a retransmitted opening that goes to the same dead target again.
func TestCopyGoesToAnotherTarget(t *testing.T) {
	f := newFixture(t, 7)
	first := f.firstTarget(opening(1, 0))
	again := f.engine.Segment(f.now, opening(1, 0))
	f.c.Check(again.Targets()[0], qt.Equals, first)
	second := f.firstTarget(opening(1, 1))
	f.c.Check(second, qt.Not(qt.Equals), first)
	// The first target accepted the opening after all: the search finds its flow.
	v := f.engine.Segment(f.now, data(1))
	reachedOwner, _ := f.deliver(data(1), v, first)
	f.c.Check(reachedOwner, qt.IsTrue)
}

// Guards against new flows on targets that drain, were removed or were replaced.
func TestNoNewFlowsAtLeavingTargets(t *testing.T) {
	f := newFixture(t, 3)
	f.targets[0].Draining = true
	f.targets[1].ID = "other incarnation"
	f.targets[1].Draining = true
	f.setView(routes(1, "web"), 2)
	for i := range 50 {
		v := f.engine.Segment(f.now, opening(i, 0))
		f.c.Assert(v.Targets()[0], qt.Equals, f.targetOf(2))
	}
	f.targets = f.targets[:2]
	f.setView(routes(1, "web"), 3)
	v := f.engine.Segment(f.now, opening(60, 0))
	f.c.Check(v.Action, qt.Equals, Drop)
	f.c.Check(v.Reason, qt.Equals, NoTarget)
}

// Guards against new flows on a silent target while others report, and against refusing
// all flows when the fault is the balancer's own link.
func TestSilentTargetsAndOwnLink(t *testing.T) {
	f := newFixture(t, 4)
	silent := f.targetOf(0)
	f.now += 2 * ReportTimeout
	f.reportIdle(silent)
	f.engine.Tick(f.now, true)
	for i := range 40 {
		f.c.Assert(f.firstTarget(opening(i, 0)), qt.Not(qt.Equals), silent)
	}
	f.now += 2 * ReportTimeout
	f.engine.Tick(f.now, true)
	f.c.Check(f.engine.LinkDoubted(), qt.IsTrue)
	f.c.Check(f.engine.Segment(f.now, opening(99, 0)).Action, qt.Equals, Forward)
}

// Guards against new flows on a target that its agent reports as unresponsive.
func TestUnresponsiveTarget(t *testing.T) {
	f := newFixture(t, 2)
	f.reportIdle()
	f.targetOf(0).Report(f.now, Report{Unresponsive: true, Complete: true})
	for i := range 20 {
		f.c.Assert(f.firstTarget(opening(i, 0)), qt.Equals, f.targetOf(1))
	}
}

// Guards against a target that never gets new flows again after a false alarm: only an
// opening shows its agent that it responds.
func TestUnresponsiveTargetIsProbed(t *testing.T) {
	f := newFixture(t, 2)
	f.reportIdle()
	unresponsive := Report{Unresponsive: true, Complete: true}
	f.targetOf(0).Report(f.now, unresponsive)
	probes := 0
	for i := range 500 {
		f.now += 10 * time.Millisecond
		f.reportIdle(f.targetOf(0))
		f.targetOf(0).Report(f.now, unresponsive)
		if f.firstTarget(opening(i, 0)) == f.targetOf(0) {
			probes++
		}
	}
	f.c.Check(probes >= 3 && probes <= 5, qt.IsTrue, qt.Commentf("%d openings in 5 s", probes))
}

// Guards against flows to an entry of an earlier incarnation that has not lapsed yet.
// No agent reports its load, so that it looked idle and the new incarnation at its
// address got all new flows (end of trouble-1 of ssa-subastas: 41 requests pending at 4
// slots).
func TestEarlierIncarnationAtAddressIsLeftOut(t *testing.T) {
	for _, newerFirst := range []bool{false, true} {
		f := newFixture(t, 4)
		older, newer := f.targets[0], f.targets[0]
		newer.ID, newer.Born = "t0b", older.Born+1000
		if newerFirst {
			f.targets = append([]registry.Target{newer, older}, f.targets[1:]...)
		} else {
			f.targets = append(f.targets, newer)
		}
		f.setView(routes(1, "web"), 2)
		f.c.Assert(f.engine.View().Targets(), qt.HasLen, 4)
		for i := range 100 {
			f.reportIdle()
			f.c.Assert(f.firstTarget(opening(i, 0)).Info.ID, qt.Not(qt.Equals), older.ID)
		}
		f.c.Check(f.engine.View().TargetOn(older.Address.Addr()).Info.ID, qt.Equals, "t0b")
	}
}

// Guards against placement that ignores the agents' reports, and against all openings
// between two reports going to one target.
func TestLoadSpreads(t *testing.T) {
	f := newFixture(t, 6)
	f.reportIdle()
	counts := map[string]int{}
	for i := range 600 {
		counts[f.firstTarget(opening(i, 0)).Info.ID]++
	}
	for i := range f.targets {
		f.c.Check(counts[f.targets[i].ID] <= 115, qt.IsTrue, qt.Commentf("%v", counts))
	}
	for i := range f.targets {
		f.targetOf(i).Report(f.now, Report{Pending: 6, MeanPending: 6, Complete: true})
	}
	f.targetOf(3).Report(f.now, Report{Complete: true})
	f.c.Check(f.firstTarget(opening(700, 0)), qt.Equals, f.targetOf(3))
}

// Guards against a wrong verdict on an opening to an address without a service: it is
// dropped while the configuration is unconfirmed, and reset once it is confirmed.
func TestNoRoute(t *testing.T) {
	f := newFixture(t, 2)
	head := opening(1, 0)
	head.Destination = endpoint("198.18.0.9:443")
	f.c.Check(f.engine.Segment(f.now, head).Action, qt.Equals, Reset)
	f.engine.Tick(f.now, false)
	f.c.Check(f.engine.Segment(f.now, head).Action, qt.Equals, Drop)
}

// Guards against flow records that are never removed.
func TestIdleFlowsExpire(t *testing.T) {
	f := newFixture(t, 2)
	for i := range 100 {
		f.engine.Segment(f.now, opening(i, 0))
	}
	f.c.Check(f.engine.Flows(), qt.Equals, 100)
	for range 3 {
		f.now += minFlowTTL
		f.engine.Tick(f.now, true)
		f.engine.Segment(f.now, data(5))
	}
	f.c.Check(f.engine.Flows(), qt.Equals, 1)
}

// Guards against memory allocation per segment of a recorded flow.
func TestKnownFlowDoesNotAllocate(t *testing.T) {
	f := newFixture(t, 7)
	f.engine.Segment(f.now, opening(1, 0))
	head := data(1)
	allocations := testing.AllocsPerRun(100, func() {
		if v := f.engine.Segment(f.now, head); v.Action != Forward {
			t.Fatal(v.Reason)
		}
	})
	f.c.Check(allocations, qt.Equals, 0.0)
}

// Guards against new flows on a target that fails a part of its requests while others
// work, and against avoiding it after it has recovered.
func TestFailingTargetGetsFewFlows(t *testing.T) {
	f := newFixture(t, 8)
	failingTarget := f.targetOf(2)
	share := func(failing float64) int {
		count := 0
		for i := range 800 {
			f.reportIdle()
			failingTarget.Report(f.now, Report{Complete: true, Failing: failing})
			head := segment.Head{Source: caller(i), Destination: shop, Opening: true}
			if f.firstTarget(head) == failingTarget {
				count++
			}
			f.engine.records.Delete(head.FromCaller())
		}
		return count
	}
	f.c.Check(share(0.4), qt.Equals, 0)
	f.c.Check(share(0) > 40, qt.IsTrue)
}

// Guards against preferring some targets, or refusing all flows, when every target
// fails alike: the cause is then outside the targets.
func TestFlowsStayWhenAllFail(t *testing.T) {
	f := newFixture(t, 8)
	used := func(failing float64) int {
		targets := map[*Target]bool{}
		for i := range 800 {
			for _, t := range f.engine.View().Targets() {
				t.Report(f.now, Report{Complete: true, Failing: failing})
			}
			head := segment.Head{Source: caller(i), Destination: shop, Opening: true}
			targets[f.firstTarget(head)] = true
			f.engine.records.Delete(head.FromCaller())
		}
		return len(targets)
	}
	f.c.Check(used(0.6), qt.Equals, used(0))
	f.c.Check(used(0.6) >= 4, qt.IsTrue)
}

// Guards against overloading the remaining targets: when those are full, a target that
// fails a part of its requests is better than a queue.
func TestFailingTargetIsUsedWhenOthersAreFull(t *testing.T) {
	f := newFixture(t, 4)
	for i := range 4 {
		f.targetOf(i).Report(f.now, Report{Complete: true, Pending: 24, MeanPending: 24})
	}
	f.targetOf(2).Report(f.now, Report{Complete: true, Failing: 0.4})
	f.c.Check(f.firstTarget(segment.Head{Source: caller(1), Destination: shop, Opening: true}), qt.Equals, f.targetOf(2))
}

// Guards against a flow that is given up, or taken elsewhere, because the agent of its
// target is silent or slow to report for a while: its requests may be running there.
func TestSilentTargetKeepsItsFlows(t *testing.T) {
	f := newFixture(t, 6)
	owner := f.firstTarget(opening(1, 0))
	for range 30 {
		f.now += time.Second
		f.reportIdle(owner)
		f.engine.Tick(f.now, true)
		v := f.engine.Segment(f.now, data(1))
		f.c.Assert(v.Action, qt.Equals, Forward)
		f.c.Assert(v.Targets()[0], qt.Equals, owner)
	}
	f.c.Check(owner.Silent(f.now), qt.IsTrue)
	// A balancer that does not know the flow resets it only after every target, the
	// silent one included, has said that it does not hold it.
	other := &fixture{c: f.c, engine: New("z1", 0), now: f.now, targets: f.targets}
	other.setView(routes(1, "web"), 1)
	silent := other.engine.View().TargetOn(owner.Agent.Addr())
	other.reportIdle(silent)
	for range 2 * maxQueryRounds {
		v := other.engine.Segment(other.now, data(1))
		f.c.Assert(v.Action, qt.Not(qt.Equals), Reset)
		for _, target := range v.Targets() {
			if target != silent {
				head := data(1)
				head.Returned = true
				returned := other.engine.Returned(other.now, target.Agent.Addr(), head)
				f.c.Assert(returned.Action, qt.Not(qt.Equals), Reset)
			}
		}
		other.now += requeryInterval
		other.reportIdle(silent)
		other.engine.Tick(other.now, true)
		for _, flow := range other.engine.DueSearches(other.now) {
			v := other.engine.ContinueSearch(other.now, flow)
			f.c.Assert(v.Action, qt.Not(qt.Equals), Reset)
		}
	}
}

// Guards against targets that count as silent because their agents report at the interval
// of an idle balancer, also in the moment in which it becomes active.
func TestSilenceFollowsTheInterval(t *testing.T) {
	f := newFixture(t, 1)
	target := f.targetOf(0)
	target.AwaitReports(f.now, 2*time.Second)
	f.reportIdle()
	f.now += 3 * time.Second
	f.c.Check(target.Silent(f.now), qt.IsFalse)
	target.AwaitReports(f.now, 200*time.Millisecond)
	f.now += ReportTimeout
	f.c.Check(target.Silent(f.now), qt.IsFalse)
	f.now += time.Millisecond
	f.c.Check(target.Silent(f.now), qt.IsTrue)
}

// Guards against openings to an entry without an agent while the balancer doubts its own link,
// for example after a freeze, when all targets are silent.
func TestDoubtedLinkDoesNotVouchForAnEntry(t *testing.T) {
	f := newFixture(t, 4)
	f.targets = append(f.targets, target(100, "web", "z0"))
	f.setView(routes(1, "web"), 2)
	f.now += 2 * ReportTimeout
	f.engine.Tick(f.now, true)
	f.c.Assert(f.engine.LinkDoubted(), qt.IsTrue)
	for i := range 100 {
		f.c.Assert(f.firstTarget(opening(i, 0)).Info.ID, qt.Not(qt.Equals), "t100")
	}
}
