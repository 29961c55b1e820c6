package segnode

import (
	"net"
	"net/netip"
	"net/rpc"
	"time"

	"github.com/pkg/errors"

	"github.com/peridotstall/peridotstall/internal/peers"
	"github.com/peridotstall/peridotstall/internal/registry"
	"github.com/peridotstall/peridotstall/internal/telemetry"
)

const (
	// pullTimeout bounds a pull from a peer. A peer that does not answer must
	// not delay the pull from the next one for longer than a fraction of the
	// time in which a change has to take effect.
	pullTimeout = 700 * time.Millisecond
	// connTimeout is the time after which the connection of another balancer is
	// closed. Each pull uses a new connection.
	connTimeout = 10 * time.Second
	// acceptBackoff is the delay after a failed accept, which would otherwise be
	// repeated in a busy loop.
	acceptBackoff = 10 * time.Millisecond
	// rpcService is the name of the net/rpc service between balancers.
	rpcService = "Balancer"
)

// Have holds the version of the routes and the epochs and revisions of the table and of the
// list of evacuated zones that a balancer has.
type Have struct {
	Routes, Epoch, Targets                uint64
	EvacuationsEpoch, EvacuationsRevision uint64
	// Learning asks for the table and the zones although they are not newer, because they
	// hold what the peer has retained.
	Learning bool
}

func haveOf(v peers.Versions) Have {
	return Have{
		Routes: v.Routes, Epoch: v.Targets.Epoch, Targets: v.Targets.Revision,
		EvacuationsEpoch: v.Evacuations.Epoch, EvacuationsRevision: v.Evacuations.Revision,
	}
}

// table returns the position of the table.
func (h Have) table() registry.Position {
	return registry.Position{Epoch: h.Epoch, Revision: h.Targets}
}

// evacuations returns the position of the list of evacuated zones.
func (h Have) evacuations() registry.Position {
	return registry.Position{Epoch: h.EvacuationsEpoch, Revision: h.EvacuationsRevision}
}

// Knowledge is the newer state that a peer returns. A part that is not newer is
// nil.
type Knowledge struct {
	Routes *registry.Routes
	Table  *registry.Table
	// Evacuations is nil also if the peer is of an earlier build, which does not read them.
	Evacuations *registry.Evacuations
}

// syncService serves the pulls of other balancers.
type syncService struct{ balancer *Balancer }

// Pull returns the parts of the state of this balancer that are newer than
// have, or asked for.
func (s *syncService) Pull(have Have, reply *Knowledge) error {
	s.balancer.mu.Lock()
	defer s.balancer.mu.Unlock()
	if routes := s.balancer.registry.Routes(); routes.Version > have.Routes {
		reply.Routes = &routes
	}
	if table := s.balancer.registry.TableToSend(s.balancer.clock.now()); have.Learning || table.Position().After(have.table()) {
		reply.Table = &table
	}
	if zones := s.balancer.registry.EvacuationsToSend(s.balancer.clock.now()); have.Learning || zones.Position().After(have.evacuations()) {
		reply.Evacuations = &zones
	}
	return nil
}

// serveRPC serves the pulls of other balancers until the listener is closed.
func (b *Balancer) serveRPC(address netip.AddrPort) (net.Listener, error) {
	listener, err := net.Listen("tcp4", address.String())
	if err != nil {
		return nil, errors.Wrapf(err, "bind TCP address %s", address)
	}
	server := rpc.NewServer()
	if err := server.RegisterName(rpcService, &syncService{b}); err != nil {
		listener.Close()
		return nil, errors.Wrapf(err, "register RPC service %q", rpcService)
	}
	b.run(func() error {
		for {
			conn, err := listener.Accept()
			if errors.Is(err, net.ErrClosed) {
				return nil
			}
			if err != nil {
				// For example no free file descriptor. Peers pull again.
				b.metrics.PullErrors.Inc()
				if b.options.Logger.Allow(telemetry.PullFailed) {
					b.options.Logger.Log(telemetry.PullFailed, "peer", address, "error", errors.Wrap(err, "accept a connection"))
				}
				time.Sleep(acceptBackoff)
				continue
			}
			if err := conn.SetDeadline(time.Now().Add(connTimeout)); err != nil {
				conn.Close()
				continue
			}
			go server.ServeConn(conn)
		}
	})
	return listener, nil
}

// pull fetches newer state from a peer in the background, one pull at a time.
func (b *Balancer) pull(now time.Duration) {
	b.mu.Lock()
	versions := b.versions()
	have := haveOf(versions)
	from, found := b.peers.Newer(now, versions)
	if !found && !b.registry.KnowsBeyondStore(now) {
		from, found = b.peers.Retainer(now, versions.Targets.Epoch)
		have.Learning = found
	}
	stated := b.peers.Stated(from)
	start := found && !b.pulling
	if start {
		b.pulling = true
	}
	b.mu.Unlock()
	if !start {
		return
	}
	go func() {
		err := b.pullFrom(from, have)
		b.mu.Lock()
		if err != nil {
			b.peers.PullFailed(from)
		} else if b.peers.Pulled(b.clock.now(), from, stated, b.versions()) {
			err = errors.Errorf("the answer lacks what the digest stated: routes %d, targets %s, evacuations %s",
				stated.Routes, stated.Targets, stated.Evacuations)
		}
		b.pulling = false
		b.mu.Unlock()
		if err != nil {
			b.metrics.PullErrors.Inc()
			if b.options.Logger.Allow(telemetry.PullFailed) {
				b.options.Logger.Log(telemetry.PullFailed, "peer", from, "error", err)
			}
		}
	}()
}

func (b *Balancer) pullFrom(peer netip.AddrPort, have Have) error {
	conn, err := net.DialTimeout("tcp4", peer.String(), pullTimeout)
	if err != nil {
		return errors.Wrapf(err, "connect to balancer %s", peer)
	}
	defer conn.Close()
	if err := conn.SetDeadline(time.Now().Add(pullTimeout)); err != nil {
		return errors.Wrapf(err, "set the deadline of the connection to balancer %s", peer)
	}
	client := rpc.NewClient(conn)
	defer client.Close()
	var newer Knowledge
	if err := client.Call(rpcService+".Pull", have, &newer); err != nil {
		return errors.Wrapf(err, "pull from balancer %s", peer)
	}
	if newer.Evacuations != nil {
		zones := newer.Evacuations.Usable(b.recordUnusable)
		if have.Learning {
			b.learnEvacuations(zones, peer.String())
		} else {
			b.acceptEvacuations(zones, peer.String())
		}
	}
	if newer.Routes != nil {
		b.acceptRoutes(newer.Routes.Usable(b.recordUnusable), peer.String())
	}
	if newer.Table == nil {
		return nil
	}
	table := newer.Table.Usable(time.Now(), b.recordUnusable)
	if have.Learning {
		b.learn(table, peer)
	} else {
		b.acceptTable(table, peer.String())
	}
	return nil
}
