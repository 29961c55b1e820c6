package segnode

import (
	"context"
	"io"
	"net"
	"net/netip"
	"net/rpc"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/peridotstall/peridotstall/internal/registry"
	"github.com/peridotstall/peridotstall/internal/segment"
	"github.com/peridotstall/peridotstall/internal/silence"
	"github.com/peridotstall/peridotstall/internal/telemetry"
)

// silentSource is a store that never responds.
type silentSource struct{}

func (silentSource) SetAddress(netip.AddrPort) {}

func (silentSource) OnUnusable(func(registry.Unusable)) {}

func (silentSource) Routes(ctx context.Context, _ time.Duration) (registry.Routes, registry.Evacuations, error) {
	<-ctx.Done()
	return registry.Routes{}, registry.Evacuations{}, ctx.Err()
}

func (silentSource) WatchRoutes(ctx context.Context, _ registry.Position, _ time.Duration) (*registry.Routes, []registry.ZoneChange, registry.Position, error) {
	<-ctx.Done()
	return nil, nil, registry.Position{}, ctx.Err()
}

func (silentSource) Targets(ctx context.Context, _ time.Duration) (registry.Table, error) {
	<-ctx.Done()
	return registry.Table{}, ctx.Err()
}

func (silentSource) WatchTargets(ctx context.Context, _ registry.Position, _ time.Duration) ([]registry.Change, registry.Position, error) {
	<-ctx.Done()
	return nil, registry.Position{}, ctx.Err()
}

// scriptedPeer answers each pull with the same state.
type scriptedPeer struct{ knowledge Knowledge }

// Pull implements the RPC method of a balancer.
func (p *scriptedPeer) Pull(_ Have, reply *Knowledge) error {
	*reply = p.knowledge
	return nil
}

func startScriptedPeer(c *qt.C, knowledge Knowledge) netip.AddrPort {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	c.Cleanup(func() { listener.Close() })
	server := rpc.NewServer()
	c.Assert(server.RegisterName(rpcService, &scriptedPeer{knowledge}), qt.IsNil)
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go server.ServeConn(conn)
		}
	}()
	return netip.MustParseAddrPort(listener.Addr().String())
}

// freeAddress returns a loopback address with a port that is free for UDP and TCP.
func freeAddress(c *qt.C) netip.AddrPort {
	for {
		listener, err := net.Listen("tcp4", "127.0.0.1:0")
		c.Assert(err, qt.IsNil)
		address := netip.MustParseAddrPort(listener.Addr().String())
		socket, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(address))
		listener.Close()
		if err == nil {
			socket.Close()
			return address
		}
	}
}

// startSilentBalancer starts a balancer whose store never responds.
func startSilentBalancer(c *qt.C) *Balancer {
	logger, err := telemetry.NewDecisionLog(io.Discard)
	c.Assert(err, qt.IsNil)
	c.Cleanup(logger.Close)
	b, err := StartBalancer(BalancerOptions{
		Common: Common{Host: "pull-test", Zone: "a", Packets: freeAddress(c), Link: freeAddress(c), Logger: logger},
		Source: silentSource{}, LinkRate: 1e8, Cores: 1,
	})
	c.Assert(err, qt.IsNil)
	c.Cleanup(func() {
		ctx, cancel := context.WithCancel(context.Background())
		cancel()
		b.Stop(ctx)
	})
	return b
}

// Guards against a peer of another build, or with damaged state, whose entries a balancer uses
// without the checks that those of the store pass: a port of 0, 2^62 slots, a start in a century,
// a route without a service.
func TestEntriesOfAPeerAreChecked(t *testing.T) {
	c := qt.New(t)
	b := startSilentBalancer(c)
	valid := registry.Target{ID: "a", Service: "web", Address: netip.MustParseAddrPort("10.0.0.1:80"), Slots: 3}
	port, slots, future := valid, valid, valid
	port.ID, port.Address = "b", netip.MustParseAddrPort("10.0.0.2:0")
	slots.ID, slots.Slots = "c", 1<<62
	future.ID, future.Address, future.Born = "d", netip.MustParseAddrPort("10.0.0.4:80"), time.Now().AddDate(100, 0, 0).UnixMilli()
	endpoint, _ := segment.EndpointFrom(netip.MustParseAddrPort("198.18.0.1:443"))
	routes := registry.Routes{Version: 3, Routes: []registry.Route{
		{Endpoint: endpoint}, {Endpoint: endpoint, Shares: []registry.Share{{Service: "web", Weight: 1}}},
	}}
	table := registry.Table{Epoch: 1, Revision: 9, Targets: []registry.Target{valid, port, slots, future}}
	c.Assert(b.pullFrom(startScriptedPeer(c, Knowledge{Routes: &routes, Table: &table}), Have{}), qt.IsNil)
	b.mu.Lock()
	defer b.mu.Unlock()
	var ids []string
	for _, target := range b.registry.Table().Targets {
		ids = append(ids, target.ID)
		c.Check(target.Born, qt.Equals, int64(0))
	}
	c.Check(ids, qt.DeepEquals, []string{"a", "d"})
	c.Check(b.registry.Routes().Routes, qt.HasLen, 1)
	c.Check(b.metrics.EntriesUnusable.Value(), qt.Equals, int64(4))
}

// Guards against a pull that waits for good for a peer that does not answer: no other pull
// begins meanwhile.
func TestPullFromASilentPeerEnds(t *testing.T) {
	c := qt.New(t)
	silent, err := silence.Listen()
	c.Assert(err, qt.IsNil)
	defer silent.Close()
	ended := make(chan error, 1)
	go func() { ended <- (&Balancer{}).pullFrom(silent.Addr().(*net.TCPAddr).AddrPort(), Have{}) }()
	select {
	case err := <-ended:
		c.Check(err, qt.ErrorMatches, "connect to balancer .*")
	case <-time.After(20 * time.Second):
		c.Fatal("the pull does not end")
	}
}

// Guards against a balancer that places openings before it knows the evacuated zones, because it
// got the rest from a peer of an earlier build, and against zones that are not taken over from one
// that knows them.
func TestNoViewBeforeTheEvacuations(t *testing.T) {
	c := qt.New(t)
	b := startSilentBalancer(c)
	endpoint, _ := segment.EndpointFrom(netip.MustParseAddrPort("198.18.0.1:443"))
	routes := registry.Routes{Version: 3, Routes: []registry.Route{{Endpoint: endpoint, Shares: []registry.Share{{Service: "web", Weight: 1}}}}}
	table := registry.Table{Epoch: 1, Revision: 9, Targets: []registry.Target{
		{ID: "a", Service: "web", Zone: "z", Address: netip.MustParseAddrPort("127.0.0.9:80"), Slots: 3}}}
	c.Assert(b.pullFrom(startScriptedPeer(c, Knowledge{Routes: &routes, Table: &table}), Have{}), qt.IsNil)
	c.Check(b.view.Load(), qt.IsNil)
	c.Check(b.Ready(), qt.IsFalse)
	zones := registry.Evacuations{Epoch: 1, Revision: 9, Zones: []string{"z"}}
	c.Assert(b.pullFrom(startScriptedPeer(c, Knowledge{Evacuations: &zones}), Have{}), qt.IsNil)
	view := b.view.Load()
	c.Assert(view, qt.IsNotNil)
	c.Check(view.EvacuatedZones()["z"].Targets, qt.Equals, 1)
	c.Check(b.Ready(), qt.IsTrue)
}
