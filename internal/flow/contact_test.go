package flow

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/peridotstall/peridotstall/internal/schema"
)

// Guards against a restarted agent that opens flows without a query although a
// target that may own them was dead during the whole window.
func TestWindowStaysOpenWhileTargetIsDead(t *testing.T) {
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
	c.Check(actionTypes(actions), qt.DeepEquals, []string{"flow.SendQuery", "flow.SendQuery"})
	dead = false
	tick(DefaultLimits().Window + time.Second)
	actions = core.HandlePacket(now, Packet{Key: keyAt(0, 1)})
	c.Check(actionTypes(actions), qt.DeepEquals, []string{"flow.Deliver"})
	// A target that dies after the window registered its flows before, and opens
	// none without a query.
	dead = true
	tick(time.Minute)
	actions = core.HandlePacket(now, Packet{Key: keyAt(0, 2)})
	c.Check(actionTypes(actions), qt.DeepEquals, []string{"flow.Deliver"})
}

// Guards against a flow that is opened a second time because its directory entry
// expired while the owner was unreachable and could not refresh it.
func TestEntryOfUnreachableOwnerStays(t *testing.T) {
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
	c.Check(actionTypes(actions), qt.DeepEquals, []string{"flow.SendQuery"})
	core.view.Dead = func(uint32) bool { return false }
	core.Tick(later.Add(2 * time.Second))
	actions = core.HandlePacket(later.Add(2*time.Second), Packet{Key: keyAt(0, 1)})
	c.Check(actionTypes(actions), qt.DeepEquals, []string{"flow.Deliver"})
}

// Guards against an unsettled agent that does not query a target that refused
// the flow: that target may have restarted since and lost its promise.
func TestUnsettledAgentQueriesTargetsThatRefused(t *testing.T) {
	c := qt.New(t)
	core := newTestCore(100, schema.TimeoutAction_ANSWER_UNKNOWN_OUTCOME)
	key := keyAt(1, 0)
	first := testTable().Candidates(1, testTable().Hash(key), nil)[0]
	actions := core.HandlePacket(start, Packet{Key: key, RefusedBy: []uint32{first}})
	c.Assert(actionTypes(actions), qt.DeepEquals, []string{"flow.SendQuery", "flow.SendQuery"})
	core = newTestCore(100, schema.TimeoutAction_ANSWER_UNKNOWN_OUTCOME)
	actions = core.HandlePacket(settled, Packet{Key: key, RefusedBy: []uint32{first}})
	c.Check(actionTypes(actions)[0], qt.Equals, "flow.Deliver")
}

// Guards against two agents with different orders of candidates that query each
// other about a flow and then both open it or both wait. The target with the
// lower ID opens it in every view.
func TestLowerTargetOpensWhenTwoTargetsQueryEachOther(t *testing.T) {
	c := qt.New(t)
	core := newTestCore(100, schema.TimeoutAction_ANSWER_UNKNOWN_OUTCOME)
	key := keyAt(2, 0)
	hash := testTable().Hash(key)
	core.HandlePacket(start, Packet{Key: key})
	actions := core.HandleQuery(start, &schema.Ask{Sequence: 1, FlowHash: hash, Asker: 3, Service: 1})
	c.Assert(actionTypes(actions), qt.DeepEquals, []string{"flow.SendReply"})
	c.Check(actions[0].(SendReply).Reply.Owner, qt.Equals, uint32(1))
}

// Guards against a restarted agent that opens a flow on negative replies of
// agents that restarted as well and have no state of it.
func TestRestartedAgentNeedsReplyFromAgentWithFullWindow(t *testing.T) {
	c := qt.New(t)
	for _, remembers := range []bool{false, true} {
		core := newTestCore(100, schema.TimeoutAction_ANSWER_UNKNOWN_OUTCOME)
		var last []Action
		for _, a := range core.HandlePacket(start, Packet{Key: keyAt(0, 0)}) {
			query := a.(SendQuery)
			last = core.HandleReply(start, &schema.AskReply{
				Sequence: query.Ask.Sequence, FlowHash: query.Ask.FlowHash, From: query.Target, Remembers: remembers,
			})
		}
		_, opened := last[0].(Deliver)
		c.Check(opened, qt.Equals, remembers)
	}
}

// Guards against a promise that is lost when another target registers the flow,
// restarts and removes its registration.
func TestPromiseOutlivesRegistration(t *testing.T) {
	c := qt.New(t)
	core := newTestCore(100, schema.TimeoutAction_ANSWER_UNKNOWN_OUTCOME)
	key := keyAt(0, 0)
	hash := testTable().Hash(key)
	core.HandleQuery(settled, &schema.Ask{Sequence: 1, FlowHash: hash, Asker: 2, Service: 1})
	core.HandleRegister(settled, &schema.Register{Owner: 3, Service: 1, FlowHashes: []uint64{hash}})
	core.HandleRegister(settled, &schema.Register{Owner: 3, Service: 1, FlowHashes: []uint64{hash}, Remove: true})
	actions := core.HandlePacket(settled, Packet{Key: key})
	c.Assert(actionTypes(actions), qt.DeepEquals, []string{"flow.Forward"})
	c.Check(actions[0].(Forward).Target, qt.Equals, uint32(2))
}

// Guards against a flow that is opened twice: its owner, dead in this agent's view, is
// named by a reply but not queried because many candidates were queried before.
func TestNamedOwnerIsQueriedBeyondTheLimit(t *testing.T) {
	c := qt.New(t)
	const owner = 100
	core := newTestCore(100, schema.TimeoutAction_ANSWER_UNKNOWN_OUTCOME)
	actions := core.HandlePacket(start, Packet{Key: keyAt(1, 0)})
	query := actions[0].(SendQuery)
	reply := &schema.AskReply{Sequence: query.Ask.Sequence, FlowHash: query.Ask.FlowHash, From: query.Target, Remembers: true}
	for id := range uint32(2 * maxQueriesPerFlow) {
		reply.Also = append(reply.Also, 10+id)
	}
	reply.Owner = owner
	core.view.Dead = func(id uint32) bool { return id == owner }
	queried := map[uint32]bool{}
	for _, a := range core.HandleReply(start, reply) {
		if q, ok := a.(SendQuery); ok {
			queried[q.Target] = true
		}
	}
	c.Check(queried[owner], qt.IsTrue, qt.Commentf("%v", queried))
	c.Check(len(queried) <= maxQueriesPerFlow, qt.IsTrue)
}
