package segnode

import (
	"math"
	"net/netip"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/peridotstall/peridotstall/internal/peers"
	"github.com/peridotstall/peridotstall/internal/registry"
	"github.com/peridotstall/peridotstall/internal/schema"
	"github.com/peridotstall/peridotstall/internal/segment"
	"github.com/peridotstall/peridotstall/internal/steering"
	"github.com/peridotstall/peridotstall/internal/telemetry"
)

// Guards against numbers of a peer that wrap when they are converted: a tag above 16 bits that
// names another service, a port that names another target, a time that becomes negative.
func TestReceivedNumbersDoNotWrap(t *testing.T) {
	c := qt.New(t)
	host := netip.MustParseAddr("127.0.0.3")
	table := registry.Table{Revision: 1, Targets: []registry.Target{{ID: "a", Service: "web", Address: netip.AddrPortFrom(host, 80), Slots: 1}}}
	view := steering.NewView(0, nil, registry.Routes{Version: 1, Services: []string{"web"}}, table, 7000)
	self := netip.MustParseAddrPort("127.0.0.1:7000")
	b := &Balancer{metrics: telemetry.NewSegmentMetrics("balancer/bounds-test"), peers: peers.New(0, peers.Self{Address: self}, nil)}
	tag := uint32(segment.TagOf("web"))
	c.Check(b.identify(view, host, nil, tag+1<<16), qt.IsNil)
	c.Check(b.identify(view, host, &schema.LinkIdentity{ServiceTag: tag, Port: 80 + 1<<16}, 0), qt.IsNil)
	c.Check(b.identify(view, host, &schema.LinkIdentity{ServiceTag: tag, Port: 80}, 0), qt.IsNotNil)
	for _, m := range []*schema.LinkTarget{{KnownMs: math.MaxUint64}, {IdleMs: math.MaxInt64}, {PatienceMs: math.MaxUint64}, {KnownMs: maxMilliseconds + 1}} {
		_, ok := describe(m)
		c.Check(ok, qt.IsFalse, qt.Commentf("%v", m))
	}
	age := uint64(math.MaxUint64)
	b.handleDigest(&schema.LinkDigest{Incarnation: 1, ContactAgeMs: &age}, netip.MustParseAddrPort("127.0.0.2:7000"))
	c.Check(b.peers.ContactAge(time.Second), qt.Equals, peers.Never)
	c.Check(b.peers.Live(time.Second), qt.HasLen, 0)
	d, ok := describe(&schema.LinkTarget{KnownMs: maxMilliseconds, IdleMs: maxMilliseconds})
	c.Check(ok, qt.IsTrue)
	c.Check(d.Known > 0 && d.MaxIdle > 0, qt.IsTrue)
}
