package flow

import (
	"fmt"
	"net/netip"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/peridotstall/peridotstall/internal/errkind"
	"github.com/peridotstall/peridotstall/internal/placement"
	"github.com/peridotstall/peridotstall/internal/schema"
	"github.com/peridotstall/peridotstall/internal/wire"
)

var start = time.Unix(1000, 0)

// limitedAdmission admits flows up to a number of free connections.
type limitedAdmission struct{ free int }

func (a *limitedAdmission) OpenFlow(time.Time, uint32) *errkind.Error {
	if a.free == 0 {
		return errkind.New(schema.ErrorKind_REFUSED_OVERLOAD, "full")
	}
	a.free--
	return nil
}

func (a *limitedAdmission) CloseFlow(uint32) { a.free++ }

func testTable() *placement.Table {
	targets := []placement.WeightedTarget{{ID: 1, Weight: 100}, {ID: 2, Weight: 100}, {ID: 3, Weight: 100}}
	return placement.NewTable(1, [16]byte{1}, []placement.ServiceTargets{{Service: 1, Targets: targets}})
}

func testKey(i int) placement.Key {
	addr := netip.AddrFrom4([4]byte{10, byte(i >> 16), byte(i >> 8), byte(i)})
	return placement.Key{Service: 1, Caller: netip.AddrPortFrom(addr, 5000)}
}

// newTestCore returns the core of target 1, settled from the time settled on.
func newTestCore(free int, action schema.TimeoutAction) *Core {
	c := New(start, 1, DefaultLimits(), &limitedAdmission{free})
	c.SetView(start, View{
		Table:    testTable(),
		Services: map[uint32]Service{1: {ID: 1, TimeoutAction: action, IdleTimeout: time.Minute}},
		Usable:   func(uint32) bool { return true },
		Dead:     func(uint32) bool { return false },
	})
	c.lastTick = settled
	return c
}

// settled is a time at which the window of a core started at start has ended.
var settled = start.Add(2 * time.Minute)

// keyAt returns a key that has target 1 at a position of its candidates, after
// skipping a number of such keys.
func keyAt(position, skip int) placement.Key {
	table := testTable()
	for i := 0; ; i++ {
		key := testKey(i)
		if table.Candidates(1, table.Hash(key), nil)[position] != 1 {
			continue
		}
		if skip == 0 {
			return key
		}
		skip--
	}
}

func actionTypes(actions []Action) []string {
	var list []string
	for _, a := range actions {
		list = append(list, fmt.Sprintf("%T", a))
	}
	return list
}

// Guards against memory that grows without bound in a flood of unknown flows.
func TestFloodOfUnknownFlowsIsBounded(t *testing.T) {
	c := qt.New(t)
	core := newTestCore(100, schema.TimeoutAction_ANSWER_UNKNOWN_OUTCOME)
	for i := range 50_000 {
		core.HandlePacket(settled, Packet{Key: testKey(i), Payload: make([]byte, wire.MaxPacket)})
	}
	stats := core.Stats()
	limits := DefaultLimits()
	c.Check(stats.Flows, qt.Equals, 100)
	c.Check(stats.Buffered <= limits.BufferedTotal, qt.IsTrue)
	c.Check(len(core.pending) <= limits.BufferedTotal, qt.IsTrue)
	c.Check(stats.Promised <= limits.Promises, qt.IsTrue)
}

// Guards against a packet that reaches the backend server of a target that does
// not serve its service.
func TestWrongServiceIsDropped(t *testing.T) {
	c := qt.New(t)
	core := newTestCore(100, schema.TimeoutAction_OPEN_ON_TIMEOUT)
	key := testKey(1)
	key.Service = 9
	actions := core.HandlePacket(settled, Packet{Key: key})
	c.Assert(actionTypes(actions), qt.DeepEquals, []string{"flow.Drop"})
	c.Check(actions[0].(Drop).Kind, qt.Equals, schema.ErrorKind_WRONG_SERVICE)
}

// Guards against an agent that opens a flow after it promised another target not
// to.
func TestPromiseIsKept(t *testing.T) {
	c := qt.New(t)
	core := newTestCore(100, schema.TimeoutAction_ANSWER_UNKNOWN_OUTCOME)
	key := keyAt(0, 0)
	hash := testTable().Hash(key)
	reply := core.HandleQuery(settled, &schema.Ask{Sequence: 7, FlowHash: hash, Asker: 2, Service: 1})
	c.Assert(actionTypes(reply), qt.DeepEquals, []string{"flow.SendReply"})
	c.Assert(reply[0].(SendReply).Reply.Owned, qt.IsFalse)
	actions := core.HandlePacket(settled, Packet{Key: key})
	c.Assert(actionTypes(actions), qt.DeepEquals, []string{"flow.Forward"})
	c.Check(actions[0].(Forward).Target, qt.Equals, uint32(2))
}

// Guards against a reply to an earlier query that opens a flow which another
// target owns by now.
func TestLateReplyIsIgnored(t *testing.T) {
	c := qt.New(t)
	core := newTestCore(100, schema.TimeoutAction_ANSWER_UNKNOWN_OUTCOME)
	key := keyAt(1, 0)
	queries := core.HandlePacket(settled, Packet{Key: key})
	c.Assert(actionTypes(queries), qt.DeepEquals, []string{"flow.SendQuery"})
	query := queries[0].(SendQuery)
	late := &schema.AskReply{Sequence: query.Ask.Sequence + 1, FlowHash: query.Ask.FlowHash, From: query.Target}
	c.Check(core.HandleReply(settled, late), qt.HasLen, 0)
	reply := &schema.AskReply{Sequence: query.Ask.Sequence, FlowHash: query.Ask.FlowHash, From: query.Target}
	c.Check(actionTypes(core.HandleReply(settled, reply))[0], qt.Equals, "flow.Deliver")
}

// Guards against frames that agents forward to each other in a loop when their
// views of the owner differ.
func TestHopLimit(t *testing.T) {
	c := qt.New(t)
	core := newTestCore(0, schema.TimeoutAction_OPEN_ON_TIMEOUT)
	actions := core.HandlePacket(settled, Packet{Key: keyAt(0, 0), Hops: wire.MaxHops})
	c.Assert(actionTypes(actions), qt.DeepEquals, []string{"flow.Drop"})
	c.Check(actions[0].(Drop).Kind, qt.Equals, schema.ErrorKind_REFUSED_OVERLOAD)
}

// BenchmarkOwnedPacket measures the look-up of an owned flow.
func BenchmarkOwnedPacket(b *testing.B) {
	for _, flows := range []int{2_000, 200_000} {
		b.Run(fmt.Sprint(flows), func(b *testing.B) {
			core := newTestCore(flows, schema.TimeoutAction_OPEN_ON_TIMEOUT)
			var keys []placement.Key
			for i := 0; len(keys) < flows; i++ {
				key := testKey(i)
				core.HandlePacket(settled, Packet{Key: key})
				if core.Owns(key) {
					keys = append(keys, key)
				}
			}
			b.ReportAllocs()
			b.ResetTimer()
			for i := 0; b.Loop(); i++ {
				core.HandlePacket(settled, Packet{Key: keys[i%flows]})
			}
		})
	}
}

// BenchmarkTick measures the timers of an agent, which iterate over all flows
// once per second and register displaced ones.
func BenchmarkTick(b *testing.B) {
	for _, flows := range []int{2_000, 20_000, 200_000} {
		b.Run(fmt.Sprint(flows), func(b *testing.B) {
			core := newTestCore(flows, schema.TimeoutAction_OPEN_ON_TIMEOUT)
			for i := 0; core.Stats().Flows < flows; i++ {
				core.HandlePacket(settled, Packet{Key: testKey(i)})
			}
			for _, f := range core.flows {
				f.idleTimeout = 0
			}
			now := settled
			b.ResetTimer()
			for b.Loop() {
				now = now.Add(time.Second)
				core.Tick(now)
			}
		})
	}
}

// Guards against flows that a successor process does not own, or whose idle time
// starts anew at the takeover.
func TestSuccessorOwnsTheFlows(t *testing.T) {
	c := qt.New(t)
	old := newTestCore(100, schema.TimeoutAction_OPEN_ON_TIMEOUT)
	for i := range 30 {
		old.HandlePacket(settled, Packet{Key: keyAt(0, i)})
	}
	successor := newTestCore(100, schema.TimeoutAction_OPEN_ON_TIMEOUT)
	later := settled.Add(50 * time.Second)
	refused, _ := successor.Import(later, old.Export(later))
	c.Assert(refused, qt.HasLen, 0)
	c.Check(successor.Stats().Flows, qt.Equals, 30)
	c.Check(actionTypes(successor.HandlePacket(later, Packet{Key: keyAt(0, 0)})), qt.DeepEquals, []string{"flow.Deliver"})
	successor.lastTick = later
	successor.Tick(later.Add(time.Second))
	c.Check(successor.Stats().Flows, qt.Equals, 30)
	successor.lastTick = later.Add(11 * time.Second)
	successor.Tick(later.Add(11 * time.Second))
	c.Check(successor.Stats().Flows, qt.Equals, 1)
}
