package segnode

import (
	"math"
	"net/netip"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"google.golang.org/protobuf/proto"

	"github.com/peridotstall/peridotstall/internal/registry"
	"github.com/peridotstall/peridotstall/internal/schema"
	"github.com/peridotstall/peridotstall/internal/steering"
	"github.com/peridotstall/peridotstall/internal/warmup"
)

// Guards against a rate or a time that the agent reads differently, a balancer without a
// configuration that says that there is no limit, and descriptions that wrap.
func TestWarmupIsDescribed(t *testing.T) {
	c := qt.New(t)
	host := netip.MustParseAddr("127.0.0.3")
	view := func(routes registry.Routes) *steering.View {
		table := registry.Table{Revision: 1, Targets: []registry.Target{{
			ID: "a", Born: 7, Sequence: 3, Service: "web", Address: netip.AddrPortFrom(host, 80), Slots: 1, Cold: true, WarmupLeft: 1500 * time.Millisecond,
		}}}
		return steering.NewView(time.Minute, nil, routes, table, 7000)
	}
	described := func(v *steering.View, after time.Duration) warmup.Description {
		m := &schema.LinkTarget{BornUnixMs: 7}
		describeWarmupOf(m, time.Minute+after, v, v.TargetOn(host))
		_, ok := describe(m)
		c.Assert(ok, qt.IsTrue)
		return describeWarmup(m)
	}
	limited := registry.Routes{Version: 4, Services: []string{"web"}, Warmups: map[string]registry.Warmup{"web": {Rate: 2.5}}}
	c.Check(described(view(limited), 0), qt.Equals, warmup.Description{Version: 4, Rate: 2.5, Born: 7, Sequence: 3, Left: 1500 * time.Millisecond})
	c.Check(described(view(limited), time.Second), qt.Equals, warmup.Description{Version: 4, Rate: 2.5, Born: 7, Sequence: 3, Left: 500 * time.Millisecond})
	c.Check(described(view(limited), time.Minute), qt.Equals, warmup.Description{Version: 4, Rate: 2.5, Born: 7, Sequence: 3})
	c.Check(described(view(registry.Routes{Version: 4, Services: []string{"web"}}), 0), qt.Equals, warmup.Description{Version: 4, Born: 7})
	c.Check(described(view(registry.Routes{}), 0), qt.Equals, warmup.Description{Born: 7})
	for _, m := range []*schema.LinkTarget{{WarmupLeftMs: math.MaxUint64}, {WarmupRateMilli: math.MaxUint64}, {WarmupLeftMs: maxMilliseconds + 1}} {
		_, ok := describe(m)
		c.Check(ok, qt.IsFalse, qt.Commentf("%v", m))
	}
}

// Guards against control messages that grow unnoticed while targets are cold.
func TestWarmupMessageSizes(t *testing.T) {
	c := qt.New(t)
	ping := proto.Size(&schema.LinkMessage{Body: &schema.LinkMessage_Ping{Ping: &schema.LinkPing{Slots: 100, ServiceTag: 60000, ReportIntervalMs: 2000,
		Target: &schema.LinkTarget{PatienceMs: 60000, BornUnixMs: 1 << 41, IdleMs: 120000, FlowsWanted: true, KnownMs: 1 << 24,
			RoutesVersion: 1 << 20, WarmupRateMilli: 1_000_000, WarmupLeftMs: 600_000, EntrySequence: 1 << 20}}}})
	load := proto.Size(&schema.LinkMessage{Body: &schema.LinkMessage_Load{Load: &schema.LinkLoad{ServiceTag: 60000, Pending: 200,
		MeanPendingMilli: 200000, Complete: true, FailingMilli: 500, ServiceMicros: 100000, ExcludedShares: 1 << 31, WarmupCredit: 1000}}})
	t.Log(ping, load)
	c.Check(ping <= 56, qt.IsTrue)
	c.Check(load <= 35, qt.IsTrue)
}

// Guards against a begin or an end of a warm-up that is logged twice or not at all.
func TestWarmupIsLoggedOnce(t *testing.T) {
	c := qt.New(t)
	l := warmup.New(0, warmup.Tolerance{Slack: 1})
	var log warmupLog
	second := time.Second
	l.Describe(10*second, warmup.Description{Version: 1, Rate: 1, Born: 1, Left: 2 * second})
	e := log.update(10*second, l)
	c.Check(e.begun && !e.ended && e.rate == 1 && e.left == 2*second, qt.IsTrue, qt.Commentf("%+v", e))
	c.Check(l.Admit(11*second, true), qt.IsTrue)
	c.Check(l.Admit(11*second, true), qt.IsFalse)
	e = log.update(11*second, l)
	c.Check(e.begun || e.ended, qt.IsFalse)
	c.Check(e.phase.Taken, qt.Equals, uint64(1))
	e = log.update(12*second, l)
	c.Check(e.ended && !e.begun && e.lasted == 2*second, qt.IsTrue, qt.Commentf("%+v", e))
	c.Check(e.phase, qt.Equals, warmup.Phase{Rate: 1, Bound: 2, Taken: 1, Refused: 1, Peak: 1})
	e = log.update(13*second, l)
	c.Check(e.begun || e.ended || e.phase.Taken > 0, qt.IsFalse)
}
