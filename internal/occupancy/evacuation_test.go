package occupancy

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/peridotstall/peridotstall/internal/registry"
	"github.com/peridotstall/peridotstall/internal/segment"
)

// Guards against an agent that follows a balancer with an older list, and against one that misses
// a change: of a restored store, or the end of what was retained at the same position.
func TestLatestStatementCounts(t *testing.T) {
	c := qt.New(t)
	var e Evacuation
	for _, step := range []struct {
		epoch, revision uint64
		evacuated       bool
		changed, want   bool
	}{
		{1, 9, false, false, false},
		{1, 10, true, true, true},
		{1, 9, false, false, true},
		{1, 10, true, false, true},
		{1, 12, false, true, false},
		{1, 11, true, false, false},
		{1, 13, true, true, true},
		{2, 4, true, false, true},
		{1, 40, false, false, true},
		{2, 4, false, true, false},
	} {
		position := registry.Position{Epoch: step.epoch, Revision: step.revision}
		c.Check(e.Update(position, step.evacuated), qt.Equals, step.changed, qt.Commentf("%+v", step))
		c.Check(e.Evacuated(), qt.Equals, step.want, qt.Commentf("%+v", step))
	}
}

// Guards against new flows at the target of an evacuated zone, and against a flow that the target
// has accepted and that is opened elsewhere again, or whose segments are refused.
func TestEvacuatedTargetKeepsItsFlows(t *testing.T) {
	c := qt.New(t)
	tr := New("web")
	openFlow(tr, ms, 1)
	tr.Delivered(ms, opening(2), mark, 0, nil)
	tr.Answered(ms, fromTarget(2, segment.Head{Opening: true, Accepted: true}), Succeeded)
	tr.SetEvacuated(true)
	c.Check(tr.Admit(2*ms, opening(3), mark), qt.Equals, Evacuated)
	again := opening(2)
	again.Copy = 1
	c.Check(tr.Admit(2*ms, again, mark), qt.Equals, Accepted)
	c.Check(tr.Admit(2*ms, request(1), mark), qt.Equals, Accepted)
	c.Check(tr.Admit(2*ms, request(3), mark), qt.Equals, Accepted, qt.Commentf("only the target knows its flows"))
	tr.Delivered(3*ms, segment.Head{Source: callerAt(1), Destination: service, Ended: true}, mark, 0, nil)
	c.Check(tr.Admit(4*ms, opening(1), mark), qt.Equals, Evacuated, qt.Commentf("the port is used again"))
	tr.SetEvacuated(false)
	c.Check(tr.Admit(5*ms, opening(3), mark), qt.Equals, Accepted)
}

// Guards against a target that never looks empty, or looks so while flows are open.
func TestOpenFlows(t *testing.T) {
	c := qt.New(t)
	tr := New("web")
	for port := range uint16(5) {
		openFlow(tr, ms, port)
	}
	c.Check(tr.Open(), qt.Equals, 5)
	tr.Delivered(2*ms, opening(9), mark, 0, nil)
	c.Check(tr.Open(), qt.Equals, 5, qt.Commentf("the caller may have chosen another target"))
	tr.Delivered(3*ms, segment.Head{Source: callerAt(0), Destination: service, Ended: true}, mark, 0, nil)
	tr.Answered(3*ms, fromTarget(1, segment.Head{Ended: true}), NoOutcome)
	tr.Answered(3*ms, fromTarget(2, segment.Head{Reset: true}), NoOutcome)
	tr.Returned(3*ms, request(3))
	c.Check(tr.Open(), qt.Equals, 1)
	for now := time.Duration(0); now <= 4*flowTTL; now += flowTTL {
		tr.Tick(now)
	}
	c.Check(tr.Open(), qt.Equals, 0)
}
