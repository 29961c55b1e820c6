package segnode

import (
	"io"
	"math"
	"net"
	"net/netip"
	"net/rpc"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/peridotstall/peridotstall/internal/registry"
	"github.com/peridotstall/peridotstall/internal/schema"
)

// countingPeer answers pulls without anything newer and counts them.
type countingPeer struct{ pulls atomic.Int64 }

// Pull implements the RPC method of a balancer.
func (p *countingPeer) Pull(Have, *Knowledge) error {
	p.pulls.Add(1)
	return nil
}

// Guards against a digest that states versions in the far future and makes a balancer pull in a
// loop, as fast as the peer answers, and never again confirm what it has.
func TestFarFutureDigestIsPulledOnce(t *testing.T) {
	c := qt.New(t)
	b := startSilentBalancer(c)
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	c.Cleanup(func() { listener.Close() })
	peer := &countingPeer{}
	server := rpc.NewServer()
	c.Assert(server.RegisterName(rpcService, peer), qt.IsNil)
	go server.Accept(listener)
	from := netip.MustParseAddrPort(listener.Addr().String())
	digest := &schema.LinkDigest{Incarnation: 1, RoutesVersion: math.MaxUint64, TargetsEpoch: math.MaxUint64, TargetsRevision: 1,
		EvacuationsEpoch: math.MaxUint64, EvacuationsRevision: math.MaxUint64, Reading: true}
	idle := func() bool {
		b.mu.Lock()
		defer b.mu.Unlock()
		return !b.pulling
	}
	for range 20 {
		b.handleDigest(digest, from)
		for deadline := time.Now().Add(20 * time.Second); !idle(); time.Sleep(time.Millisecond) {
			c.Assert(time.Now().Before(deadline), qt.IsTrue)
		}
	}
	b.mu.Lock()
	_, behind := b.peers.Newer(0, b.versions())
	b.mu.Unlock()
	c.Check(behind, qt.IsFalse)
	c.Check(peer.pulls.Load() < 10, qt.IsTrue, qt.Commentf("%d pulls", peer.pulls.Load()))
}

// Guards against a zone of any length in a digest, which is kept for each peer.
func TestDigestOfALongZoneIsDropped(t *testing.T) {
	c := qt.New(t)
	b := startSilentBalancer(c)
	from := netip.MustParseAddrPort("127.0.0.77:7000")
	b.handleDigest(&schema.LinkDigest{Incarnation: 1, Zone: strings.Repeat("z", 201)}, from)
	c.Check(b.metrics.Malformed.Value(), qt.Equals, int64(1))
	b.mu.Lock()
	c.Check(b.peers.Live(b.clock.now()), qt.HasLen, 0)
	b.mu.Unlock()
	b.handleDigest(&schema.LinkDigest{Incarnation: 1, Zone: "elsewhere"}, from)
	b.mu.Lock()
	defer b.mu.Unlock()
	c.Check(b.peers.Live(b.clock.now()), qt.HasLen, 1)
}

// Guards against lists of a peer that are kept whatever their number: targets, what it retains from
// before a restore, evacuated zones, services of the configuration.
func TestListsOfAPeerAreBounded(t *testing.T) {
	c := qt.New(t)
	many := maxListEntries + 1
	zones := make([]string, many)
	for name, k := range map[string]Knowledge{
		"targets":             {Table: &registry.Table{Epoch: 1, Revision: 9, Targets: make([]registry.Target, many)}},
		"retained drains":     {Table: &registry.Table{Epoch: 1, Revision: 9, Retained: &registry.Retained{Draining: make([]registry.Incarnation, many)}}},
		"retained departures": {Table: &registry.Table{Epoch: 1, Revision: 9, Retained: &registry.Retained{Departed: make([]registry.Departure, many)}}},
		"evacuated zones":     {Evacuations: &registry.Evacuations{Epoch: 1, Revision: 9, Zones: zones}},
		"retained zones":      {Evacuations: &registry.Evacuations{Epoch: 1, Revision: 9, Retained: zones}},
		"ended zones":         {Evacuations: &registry.Evacuations{Epoch: 1, Revision: 9, Ended: zones}},
		"services":            {Routes: &registry.Routes{Version: 1, Services: zones}},
		"services of a route": {Routes: &registry.Routes{Version: 1, Routes: []registry.Route{{Shares: make([]registry.Share, many)}}}},
	} {
		c.Check(k.validate(), qt.ErrorMatches, `65537 `+name+`: must be at most 65536`)
	}
	full := Knowledge{Table: &registry.Table{Epoch: 1, Revision: 9, Targets: make([]registry.Target, maxListEntries)}}
	c.Check(full.validate(), qt.IsNil)
	// The names in a Retained are those of targets.
	b := startSilentBalancer(c)
	long := strings.Repeat("x", 201)
	table := registry.Table{Epoch: 1, Revision: 9, Retained: &registry.Retained{Left: time.Hour,
		Draining: []registry.Incarnation{{ID: long}, {ID: "a", Born: -1}, {}, {ID: "b"}},
		Departed: []registry.Departure{{Incarnation: registry.Incarnation{ID: long}}, {Incarnation: registry.Incarnation{ID: "c"}, Sequence: math.MaxUint64}}}}
	routes := registry.Routes{Version: 1, Services: []string{"", long, "web"}}
	c.Assert(b.pullFrom(startScriptedPeer(c, Knowledge{Table: &table, Routes: &routes}), Have{}), qt.IsNil)
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.clock.now()
	retained := b.registry.TableToSend(now).Retained
	c.Assert(retained, qt.IsNotNil)
	c.Check(retained.Draining, qt.DeepEquals, []registry.Incarnation{{ID: "b"}})
	c.Check(retained.Departed, qt.DeepEquals, []registry.Departure{{Incarnation: registry.Incarnation{ID: "c"}, Sequence: math.MaxUint64}})
	c.Check(retained.Left <= registry.RestoreGrace, qt.IsTrue)
	c.Check(b.registry.Routes().Services, qt.DeepEquals, []string{"web"})
	c.Check(b.metrics.EntriesUnusable.Value(), qt.Equals, int64(6))
}

// Guards against a host that opens connections and sends without end to the socket on which
// balancers pull, or answers a pull without end.
func TestPullConnectionsAreBounded(t *testing.T) {
	c := qt.New(t)
	ours, theirs := net.Pipe()
	defer theirs.Close()
	go func() {
		for {
			if _, err := theirs.Write(make([]byte, 1<<10)); err != nil {
				return
			}
		}
	}()
	limited := &limitedConn{ours, 5000}
	n, err := io.Copy(io.Discard, limited)
	c.Check(n, qt.Equals, int64(5000))
	c.Check(err, qt.ErrorMatches, "the other side sends more than the protocol needs")
	ours.Close()

	b := startSilentBalancer(c)
	var idle []net.Conn
	defer func() {
		for _, conn := range idle {
			conn.Close()
		}
	}()
	const further = 16
	for range maxPullConns + further {
		conn, err := net.Dial("tcp4", b.options.Link.String())
		c.Assert(err, qt.IsNil)
		idle = append(idle, conn)
	}
	for deadline := time.Now().Add(20 * time.Second); b.metrics.Overruns.Value() < further; time.Sleep(time.Millisecond) {
		c.Assert(time.Now().Before(deadline), qt.IsTrue, qt.Commentf("%d connections refused", b.metrics.Overruns.Value()))
	}
	c.Check(b.metrics.Overruns.Value(), qt.Equals, int64(further))
}
