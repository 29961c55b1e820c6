package flow

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/peridotstall/peridotstall/internal/schema"
)

// Guards against a restarted agent that opens flows alone although a target that
// may own them was out of contact during the whole window.
func TestWindowStaysOpenWithoutContact(t *testing.T) {
	c := qt.New(t)
	core := newTestCore(100, schema.TimeoutAction_ANSWER_UNKNOWN_OUTCOME)
	dead := true
	core.view.Dead = func(id uint32) bool { return dead && id == 2 }
	now := start
	tick := func(d time.Duration) {
		for end := now.Add(d); now.Before(end); now = now.Add(time.Second) {
			core.lastTick = now
			core.Tick(now)
		}
	}
	tick(5 * time.Minute)
	actions := core.HandlePacket(now, Packet{Key: keyAt(0, 0)})
	c.Check(kinds(actions), qt.DeepEquals, []string{"flow.SendAsk", "flow.SendAsk"})
	dead = false
	tick(DefaultLimits().Window + time.Second)
	actions = core.HandlePacket(now, Packet{Key: keyAt(0, 1)})
	c.Check(kinds(actions), qt.DeepEquals, []string{"flow.Deliver"})
	// A target that is lost later registered before and opens nothing unasked.
	dead = true
	tick(time.Minute)
	actions = core.HandlePacket(now, Packet{Key: keyAt(0, 2)})
	c.Check(kinds(actions), qt.DeepEquals, []string{"flow.Deliver"})
}

// Guards against a directory entry that expires while its owner is cut off and
// cannot refresh it, so that the flow is opened a second time.
func TestEntryOfCutOffOwnerStays(t *testing.T) {
	c := qt.New(t)
	core := newTestCore(100, schema.TimeoutAction_ANSWER_UNKNOWN_OUTCOME)
	key := keyAt(0, 0)
	hash := testTable().Hash(key)
	core.HandleRegister(settled, &schema.Register{Owner: 2, Service: 1, FlowHashes: []uint64{hash}})
	core.view.Dead = func(id uint32) bool { return id == 2 }
	later := settled.Add(time.Minute)
	core.lastTick = later
	core.Tick(later)
	actions := core.HandlePacket(later, Packet{Key: key})
	c.Check(kinds(actions), qt.DeepEquals, []string{"flow.SendAsk"})
	core.view.Dead = func(uint32) bool { return false }
	core.Tick(later.Add(2 * time.Second))
	actions = core.HandlePacket(later.Add(2*time.Second), Packet{Key: keyAt(0, 1)})
	c.Check(kinds(actions), qt.DeepEquals, []string{"flow.Deliver"})
}

// Guards against an unsettled agent that trusts the promise of a target that
// passed the flow on before that target restarted.
func TestUnsettledAgentAsksTargetsThatPassed(t *testing.T) {
	c := qt.New(t)
	core := newTestCore(100, schema.TimeoutAction_ANSWER_UNKNOWN_OUTCOME)
	key := keyAt(1, 0)
	first := testTable().Candidates(1, testTable().Hash(key), nil)[0]
	actions := core.HandlePacket(start, Packet{Key: key, Passed: []uint32{first}})
	c.Assert(kinds(actions), qt.DeepEquals, []string{"flow.SendAsk", "flow.SendAsk"})
	core = newTestCore(100, schema.TimeoutAction_ANSWER_UNKNOWN_OUTCOME)
	actions = core.HandlePacket(settled, Packet{Key: key, Passed: []uint32{first}})
	c.Check(kinds(actions)[0], qt.Equals, "flow.Deliver")
}

// Guards against two agents with different orders of candidates that both wait
// for the other one, or both open: the lower target ID opens in every view.
func TestTieBetweenTwoAskersDoesNotDependOnTheView(t *testing.T) {
	c := qt.New(t)
	core := newTestCore(100, schema.TimeoutAction_ANSWER_UNKNOWN_OUTCOME)
	key := keyAt(2, 0)
	hash := testTable().Hash(key)
	core.HandlePacket(start, Packet{Key: key})
	actions := core.HandleAsk(start, &schema.Ask{Sequence: 1, FlowHash: hash, Asker: 3, Service: 1})
	c.Assert(kinds(actions), qt.DeepEquals, []string{"flow.SendReply"})
	c.Check(actions[0].(SendReply).Reply.Owner, qt.Equals, uint32(1))
}

// Guards against a restarted agent that opens a flow because others that
// restarted as well do not know it.
func TestRestartedAgentNeedsOneThatRemembers(t *testing.T) {
	c := qt.New(t)
	for _, remembers := range []bool{false, true} {
		core := newTestCore(100, schema.TimeoutAction_ANSWER_UNKNOWN_OUTCOME)
		var last []Action
		for _, a := range core.HandlePacket(start, Packet{Key: keyAt(0, 0)}) {
			ask := a.(SendAsk)
			last = core.HandleReply(start, &schema.AskReply{
				Sequence: ask.Ask.Sequence, FlowHash: ask.Ask.FlowHash, From: ask.Target, Remembers: remembers,
			})
		}
		_, opened := last[0].(Deliver)
		c.Check(opened, qt.Equals, remembers)
	}
}

// Guards against a promise that is forgotten because another target registered
// the flow and then restarted.
func TestPromiseOutlivesARegistration(t *testing.T) {
	c := qt.New(t)
	core := newTestCore(100, schema.TimeoutAction_ANSWER_UNKNOWN_OUTCOME)
	key := keyAt(0, 0)
	hash := testTable().Hash(key)
	core.HandleAsk(settled, &schema.Ask{Sequence: 1, FlowHash: hash, Asker: 2, Service: 1})
	core.HandleRegister(settled, &schema.Register{Owner: 3, Service: 1, FlowHashes: []uint64{hash}})
	core.HandleRegister(settled, &schema.Register{Owner: 3, Service: 1, FlowHashes: []uint64{hash}, Remove: true})
	actions := core.HandlePacket(settled, Packet{Key: key})
	c.Assert(kinds(actions), qt.DeepEquals, []string{"flow.Forward"})
	c.Check(actions[0].(Forward).Target, qt.Equals, uint32(2))
}
