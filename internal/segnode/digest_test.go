package segnode

import (
	"math"
	"net"
	"net/netip"
	"net/rpc"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

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
