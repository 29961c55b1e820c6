package steering

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/peridotstall/peridotstall/internal/registry"
)

// evacuate publishes a view with the zones evacuated.
func (f *fixture) evacuate(revision uint64, zones ...string) {
	view := NewView(f.now, f.engine.View(), routes(revision, "web"), registry.Table{Revision: revision, Targets: f.targets}, agentPort)
	view.Evacuate(registry.Evacuations{Epoch: 1, Revision: revision, Zones: zones})
	f.engine.SetView(f.now, view)
	f.engine.Tick(f.now, true)
}

// openingsGoTo checks that 100 openings go to targets of a zone.
func (f *fixture) openingsGoTo(first int, zone string) {
	f.c.Helper()
	for i := range 100 {
		f.c.Assert(f.firstTarget(opening(first+i, 0)).Info.Zone, qt.Equals, zone)
	}
}

// openIn opens a flow in a zone and returns the number of its caller and its target.
func (f *fixture) openIn(zone string, first int) (int, *Target) {
	for i := first; ; i++ {
		if t := f.firstTarget(opening(i, 0)); t.Info.Zone == zone {
			return i, t
		}
	}
}

// Guards against new flows in an evacuated zone, against open ones that leave it, and against a
// zone that gets nothing after it was taken back.
func TestEvacuatedZoneGetsNoNewFlows(t *testing.T) {
	f := newFixture(t, 6)
	i, owner := f.openIn("z0", 0)
	f.evacuate(2, "without targets", "z0")
	f.openingsGoTo(1000, "z1")
	f.c.Check(f.firstTarget(data(i)), qt.Equals, owner)
	position, evacuated := f.engine.View().Evacuation(owner)
	f.c.Check(position, qt.Equals, registry.Position{Epoch: 1, Revision: 2})
	f.c.Check(evacuated, qt.IsTrue)
	f.evacuate(3, "z1")
	f.openingsGoTo(2000, "z0")
}

// Guards against copies of an opening, and further flows of its caller's port, that go to the
// target from before the evacuation.
func TestCopiesAvoidAnEvacuatedZone(t *testing.T) {
	f := newFixture(t, 6)
	i, _ := f.openIn("z0", 0)
	later, _ := f.openIn("z0", i+1)
	f.evacuate(2, "z0")
	f.c.Check(f.firstTarget(opening(i, 0)).Info.Zone, qt.Equals, "z1")
	f.c.Check(f.firstTarget(opening(later, 1)).Info.Zone, qt.Equals, "z1")
}

// Guards against an opening that its agent gave back and that is retried in the same zone: the
// agent knows of the evacuation before the balancer does, or the other way round.
func TestReturnedOpeningLeavesTheZone(t *testing.T) {
	f := newFixture(t, 6)
	i, t0 := f.openIn("z0", 0)
	f.evacuate(2, "z0")
	head := opening(i, 0)
	head.Returned = true
	v := f.engine.Returned(f.now, t0.Agent.Addr(), head)
	f.c.Assert(v.Action, qt.Equals, Forward)
	f.c.Check(v.Targets()[0].Info.Zone, qt.Equals, "z1")

	f = newFixture(t, 6)
	for _, target := range f.engine.View().Targets() {
		target.Report(f.now, Report{Complete: true, Evacuated: target.Info.Zone == "z0"})
	}
	f.openingsGoTo(1000, "z1")
}

// Guards against a zone that looks empty although an agent has not heard of the evacuation or has
// open flows.
func TestEvacuatedZones(t *testing.T) {
	f := newFixture(t, 6)
	f.c.Check(f.engine.View().EvacuatedZones(), qt.HasLen, 0)
	f.evacuate(2, "without targets", "z0")
	f.targetOf(0).Report(f.now, Report{Evacuated: true, OpenFlows: 7})
	f.targetOf(2).Report(f.now, Report{Evacuated: true, OpenFlows: 4})
	f.c.Check(f.engine.View().EvacuatedZones(), qt.DeepEquals,
		map[string]EvacuatedZone{"without targets": {}, "z0": {Targets: 3, Confirmed: 2, OpenFlows: 11}})
}

// Guards against callers that wait although no target may take their opening, and against a reset
// because of an old list, or while a target may have accepted a copy.
func TestAllTargetsEvacuated(t *testing.T) {
	f := newFixture(t, 4)
	i, _ := f.openIn("z0", 0)
	f.evacuate(2, "z0", "z1")
	v := f.engine.Segment(f.now, opening(1000, 0))
	f.c.Check(v.Action, qt.Equals, Reset)
	f.c.Check(v.Reason, qt.Equals, Evacuated)
	v = f.engine.Segment(f.now, opening(i, 1))
	f.c.Check(v.Action, qt.Equals, Drop)
	f.c.Check(v.Reason, qt.Equals, Evacuated)
	f.c.Check(f.engine.Segment(f.now, data(i)).Action, qt.Equals, Forward)
	f.engine.Tick(f.now, false)
	f.c.Check(f.engine.Segment(f.now, opening(1001, 0)).Action, qt.Equals, Drop)
	// A service without targets outside its own failures is not evacuated.
	for i := range f.targets {
		f.targets[i].Draining = true
	}
	f.evacuate(3, "z0")
	f.c.Check(f.engine.Segment(f.now, opening(1002, 0)).Reason, qt.Equals, NoTarget)
}

// Guards against new flows at a target that appears in an evacuated zone: a replacement, one that
// is back cold, or one at an address that another service had.
func TestTargetsThatAppearInAnEvacuatedZone(t *testing.T) {
	f := newFixture(t, 6)
	f.evacuate(2, "z0")
	f.targets[0].ID, f.targets[0].Born = "replacement", 2
	f.targets[2].Born, f.targets[2].Cold = 3, true
	f.targets[4].Service = "other"
	f.evacuate(3, "z0")
	f.targets[4].Service = "web"
	f.evacuate(4, "z0")
	f.reportIdle()
	f.openingsGoTo(1000, "z1")
	f.evacuate(5)
	f.reportIdle()
	_, t0 := f.openIn("z0", 2000)
	f.c.Check(t0, qt.IsNotNil)
}

// Guards against openings that go to agents which have not started, or do not wait for those that
// have, because an agent of an evacuated zone has reported.
func TestReportsOfAnEvacuatedZoneAreNotWaitedFor(t *testing.T) {
	f := &fixture{c: qt.New(t), engine: New("z0", 0), now: time.Second,
		targets: []registry.Target{target(0, "web", "z0"), target(1, "web", "z1")}}
	f.evacuate(1, "z0")
	f.targetOf(0).Report(f.now, Report{})
	f.c.Check(f.engine.Segment(f.now, opening(1, 0)).Action, qt.Equals, Wait)
	f.evacuate(2, "z0", "z1")
	f.c.Check(f.engine.Segment(f.now, opening(1, 0)).Action, qt.Equals, Reset)
}
