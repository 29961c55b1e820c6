package segnode

import (
	"maps"
	"net"
	"net/netip"
	"net/rpc"
	"slices"
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
	// maxPullConns bounds the connections of other balancers that are served at a time.
	maxPullConns = 256
	// maxPullRequest bounds what is read from a connection of another balancer, in bytes: one
	// request with its types has some 300.
	maxPullRequest = 64 << 10
	// maxPullAnswer bounds what is read of the answer to a pull, in bytes: more than a table
	// of maxListEntries targets has.
	maxPullAnswer = 64 << 20
	// maxListEntries bounds each list in the answer to a pull.
	maxListEntries = 1 << 16
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

// validate returns an error that names the first list with more than maxListEntries entries.
func (k *Knowledge) validate() error {
	lengths := make(map[string]int)
	if r := k.Routes; r != nil {
		lengths["routes"], lengths["services"], lengths["warm-ups"] = len(r.Routes), len(r.Services), len(r.Warmups)
		for _, route := range r.Routes {
			lengths["services of a route"] = max(lengths["services of a route"], len(route.Shares))
		}
	}
	if t := k.Table; t != nil {
		lengths["targets"] = len(t.Targets)
		if t.Retained != nil {
			lengths["retained drains"], lengths["retained departures"] = len(t.Retained.Draining), len(t.Retained.Departed)
		}
	}
	if e := k.Evacuations; e != nil {
		lengths["evacuated zones"], lengths["retained zones"], lengths["ended zones"] = len(e.Zones), len(e.Retained), len(e.Ended)
	}
	for _, what := range slices.Sorted(maps.Keys(lengths)) {
		if lengths[what] > maxListEntries {
			return errors.Errorf("%d %s: must be at most %d", lengths[what], what, maxListEntries)
		}
	}
	return nil
}

// limitedConn is a connection from which at most left bytes are read. Reads beyond that fail.
type limitedConn struct {
	net.Conn
	left int
}

// Read implements net.Conn.
func (c *limitedConn) Read(b []byte) (int, error) {
	if c.left <= 0 {
		return 0, errors.New("the other side sends more than the protocol needs")
	}
	n, err := c.Conn.Read(b[:min(len(b), c.left)])
	c.left -= n
	return n, err
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
	served := make(chan struct{}, maxPullConns)
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
			select {
			case served <- struct{}{}:
			default:
				// Peers pull again.
				b.metrics.Overruns.Inc()
				conn.Close()
				continue
			}
			go func() {
				defer func() { <-served }()
				server.ServeConn(&limitedConn{conn, maxPullRequest})
			}()
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
	client := rpc.NewClient(&limitedConn{conn, maxPullAnswer})
	defer client.Close()
	var newer Knowledge
	if err := client.Call(rpcService+".Pull", have, &newer); err != nil {
		return errors.Wrapf(err, "pull from balancer %s", peer)
	}
	if err := newer.validate(); err != nil {
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
