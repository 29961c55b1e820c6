package segnode

import (
	"net/netip"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/peridotstall/peridotstall/internal/peers"
	"github.com/peridotstall/peridotstall/internal/registry"
	"github.com/peridotstall/peridotstall/internal/telemetry"
)

// Guards against segments that go round between balancers without end, because an entry names
// the host of a balancer as that of a target.
func TestEntryOnABalancersHostIsNotUsed(t *testing.T) {
	c := qt.New(t)
	self, peer := netip.MustParseAddrPort("127.0.0.1:7000"), netip.MustParseAddrPort("127.0.0.2:7000")
	r := registry.New()
	r.AcceptRoutes(registry.Routes{Version: 1, Services: []string{"web"}})
	var targets []registry.Target
	for _, address := range []string{"127.0.0.1:80", "127.0.0.2:80", "127.0.0.3:80"} {
		targets = append(targets, registry.Target{ID: address, Service: "web", Address: netip.MustParseAddrPort(address), Slots: 1})
	}
	r.AcceptTable(0, registry.Table{Revision: 1, Targets: targets})
	r.AcceptEvacuations(0, registry.Evacuations{Revision: 1})
	b := &Balancer{
		options: BalancerOptions{Common: Common{Link: self, Packets: self}}, registry: r,
		metrics: telemetry.NewSegmentMetrics("balancer/view-test"),
		peers:   peers.New(0, peers.Self{Address: self}, nil),
	}
	published := func(now time.Duration) (hosts int) {
		b.publishView(now)
		return len(b.view.Load().Targets())
	}
	c.Check(published(time.Second), qt.Equals, 2, qt.Commentf("the peer is not known yet"))
	c.Check(b.view.Load().HasHost(self.Addr()), qt.IsFalse)
	b.peers.Receive(time.Second, peer, peers.Digest{Incarnation: 1})
	c.Check(published(time.Second), qt.Equals, 1)
	c.Check(b.view.Load().HasHost(peer.Addr()), qt.IsFalse)
	c.Check(r.Table().Targets, qt.HasLen, 3)
}
