// Package peers keeps the view that one balancer has of the others and decides
// which of them reads the store on behalf of all. It does no I/O and is not
// safe for concurrent use. Times are monotonic times since the start of the
// process.
package peers

import (
	"net/netip"
	"slices"
	"time"

	"github.com/dchest/siphash"
)

const (
	// DigestInterval is the time between two digests to a peer.
	DigestInterval = 300 * time.Millisecond
	// peerTimeout is the time without a digest after which a peer counts as
	// lost: four lost digests.
	peerTimeout = 1200 * time.Millisecond
	// silentTTL is how long the address of a silent peer is kept and probed:
	// longer than the restart of a host.
	silentTTL = time.Minute
	// silentInterval is the time between digests to a silent peer.
	silentInterval = time.Second
	// fullMeshPeers is the number of peers up to which every digest goes to all
	// of them.
	fullMeshPeers = 32
	// fanout is the number of peers that get a digest in a larger fleet.
	fanout = 8
	// maxContactAge is the age of the store's last response to any balancer of
	// the fleet above which another balancer starts to read. A reader gets a
	// response every half second.
	maxContactAge = 900 * time.Millisecond
	// rankDelay keeps balancers from starting to read at the same moment.
	rankDelay = 150 * time.Millisecond
	// failingDelay is the additional delay of a balancer whose own reads fail.
	failingDelay = time.Second
	// maxFreshAge is the age of the store's last response up to which the state
	// counts as confirmed.
	maxFreshAge = 1500 * time.Millisecond
	// maxDigestPeers bounds the addresses in a digest.
	maxDigestPeers = 64
)

// Digest is the state that a balancer sends to its peers.
type Digest struct {
	// Incarnation identifies the incarnation of the process; it differs after each
	// start.
	Incarnation uint64
	// Routes and Targets are the versions of the configuration and the table.
	Routes, Targets uint64
	// ContactAge is the age of the store's last response to any reader, as far as
	// the balancer has received it. It is Never if there was none.
	ContactAge time.Duration
	// Reading is set while the balancer reads the store with success.
	Reading bool
	// Failing is set while its own reads fail.
	Failing bool
	// Leaving is set while it is stopping.
	Leaving bool
	// Serving is set if it has routes and targets.
	Serving bool
	// Zone is its availability zone.
	Zone string
	// Capacity is the number of segments per second that it can forward.
	Capacity uint32
	// Peers are balancers from which it receives digests.
	Peers []netip.AddrPort
}

// Never is the age of a response that was never received.
const Never = time.Duration(1<<62 - 1)

type peer struct {
	digest       Digest
	lastSeen     time.Duration
	seen         bool
	lastSent     time.Duration
	added        time.Duration
	seed         bool
	reportedLost bool
}

// Self describes the balancer that owns a Set.
type Self struct {
	Address netip.AddrPort
	Zone    string
	// Capacity is the number of segments per second that it can forward.
	Capacity uint32
}

// Set is the view that one balancer has of the others.
type Set struct {
	address netip.AddrPort
	self    Self
	peers   map[netip.AddrPort]*peer
	// lastContact is the time of the store's last response to any balancer. It is
	// valid if hasContact is set.
	lastContact time.Duration
	hasContact  bool
	failing     bool
	reading     bool
	leaving     bool
	nextPeer    int
}

// New returns the view of a balancer that has received no digests yet. It
// contains only the seeds.
func New(now time.Duration, self Self, seeds []netip.AddrPort) *Set {
	s := &Set{address: self.Address, self: self, peers: make(map[netip.AddrPort]*peer)}
	s.SetSeeds(now, seeds)
	return s
}

// SetSeeds replaces the seeds: the addresses that get digests even after they
// were silent for longer than silentTTL.
func (s *Set) SetSeeds(now time.Duration, seeds []netip.AddrPort) {
	for _, p := range s.peers {
		p.seed = false
	}
	for _, seed := range seeds {
		if p := s.add(now, seed); p != nil {
			p.seed = true
		}
	}
}

func (s *Set) add(now time.Duration, address netip.AddrPort) *peer {
	if address == s.address || !address.IsValid() {
		return nil
	}
	p := s.peers[address]
	if p == nil {
		p = &peer{added: now, lastSent: now - silentInterval}
		s.peers[address] = p
	}
	return p
}

// Receive records a digest of a peer. It reports whether the peer is new,
// restarted or was lost.
func (s *Set) Receive(now time.Duration, from netip.AddrPort, d Digest) bool {
	p := s.add(now, from)
	if p == nil {
		return false
	}
	fresh := !p.seen || p.digest.Incarnation != d.Incarnation || now-p.lastSeen > peerTimeout
	p.digest, p.lastSeen, p.seen, p.reportedLost = d, now, true, false
	for _, address := range d.Peers {
		s.add(now, address)
	}
	if d.ContactAge != Never {
		s.updateContact(now - d.ContactAge)
	}
	return fresh
}

// updateContact moves the time of the store's last response forward.
func (s *Set) updateContact(at time.Duration) {
	if !s.hasContact || at > s.lastContact {
		s.lastContact, s.hasContact = at, true
	}
}

// StoreResponded records a response of the store to this balancer.
func (s *Set) StoreResponded(now time.Duration) {
	s.updateContact(now)
	s.failing = false
	s.reading = true
}

// StoreFailed records a failed call of this balancer to the store.
func (s *Set) StoreFailed() {
	s.failing = true
	s.reading = false
}

// StopReading records that this balancer no longer reads the store.
func (s *Set) StopReading() { s.reading = false }

// Leave records that this balancer is stopping.
func (s *Set) Leave() { s.leaving = true }

// ContactAge returns the age of the store's last response to any balancer, or
// Never if there was none.
func (s *Set) ContactAge(now time.Duration) time.Duration {
	if !s.hasContact {
		return Never
	}
	return max(0, now-s.lastContact)
}

// Fresh reports whether the store has confirmed the state within maxFreshAge.
func (s *Set) Fresh(now time.Duration) bool { return s.ContactAge(now) <= maxFreshAge }

func (p *peer) live(now time.Duration) bool { return p.seen && now-p.lastSeen <= peerTimeout }

// Live returns the peers from which digests arrive, sorted by address.
func (s *Set) Live(now time.Duration) []netip.AddrPort {
	var out []netip.AddrPort
	for address, p := range s.peers {
		if p.live(now) {
			out = append(out, address)
		}
	}
	slices.SortFunc(out, netip.AddrPort.Compare)
	return out
}

// Digest returns the state that this balancer sends to its peers.
func (s *Set) Digest(now time.Duration, incarnation, routes, targets uint64) Digest {
	live := s.Live(now)
	return Digest{
		Incarnation: incarnation, Routes: routes, Targets: targets,
		ContactAge: s.ContactAge(now), Reading: s.reading, Failing: s.failing, Leaving: s.leaving,
		Serving: routes != 0 && targets != 0, Zone: s.self.Zone, Capacity: s.self.Capacity,
		Peers: live[:min(len(live), maxDigestPeers)],
	}
}

// Due returns the peers that get a digest now. An urgent digest announces
// changed state and does not wait for the interval.
func (s *Set) Due(now time.Duration, urgent bool) []netip.AddrPort {
	var due []netip.AddrPort
	live := s.Live(now)
	for _, address := range s.digestPeers(live) {
		p := s.peers[address]
		if urgent || now-p.lastSent >= DigestInterval {
			p.lastSent = now
			due = append(due, address)
		}
	}
	for address, p := range s.peers {
		if p.live(now) || now-p.lastSent < silentInterval {
			continue
		}
		if !p.seed && now-max(p.lastSeen, p.added) > silentTTL {
			delete(s.peers, address)
			continue
		}
		p.lastSent = now
		due = append(due, address)
	}
	return due
}

// digestPeers returns the live peers that get a digest: all of them in a small
// fleet, otherwise the next fanout ones in turn. An urgent digest goes to no more: each
// peer that it is news to sends an urgent digest of its own.
func (s *Set) digestPeers(live []netip.AddrPort) []netip.AddrPort {
	if len(live) <= fullMeshPeers {
		return live
	}
	window := make([]netip.AddrPort, 0, fanout)
	for range fanout {
		s.nextPeer = (s.nextPeer + 1) % len(live)
		window = append(window, live[s.nextPeer])
	}
	return window
}

// Newer returns a live peer that has a newer version of the configuration or
// the table, if there is one. It prefers readers.
func (s *Set) Newer(now time.Duration, routes, targets uint64) (netip.AddrPort, bool) {
	var best netip.AddrPort
	found, reading := false, false
	for _, address := range s.Live(now) {
		p := s.peers[address]
		if p.digest.Routes <= routes && p.digest.Targets <= targets {
			continue
		}
		if !found || p.digest.Reading && !reading {
			best, found, reading = address, true, p.digest.Reading
		}
	}
	return best, found
}

// readerRank orders the balancers for reading. The hash spreads the load of
// reading, which the order of addresses would put on the lowest ones.
func readerRank(a netip.AddrPort) uint64 {
	b, _ := a.MarshalBinary()
	return siphash.Hash(0, 0, b)
}

// ShouldRead reports whether this balancer has to read the store now.
func (s *Set) ShouldRead(now time.Duration) bool {
	if s.leaving && len(s.Live(now)) > 0 {
		return false
	}
	ownRank := readerRank(s.address)
	rank := 0
	for _, address := range s.Live(now) {
		p := s.peers[address]
		before := readerRank(address) < ownRank
		if before && !p.digest.Leaving && !p.digest.Failing {
			rank++
		}
		// Of several readers, the one that comes first in the order stays.
		if s.reading && before && p.digest.Reading && !p.digest.Leaving {
			return false
		}
	}
	if s.reading {
		return true
	}
	if !s.hasContact {
		// There is no view yet. After a restart of the whole fleet, waiting for
		// peers would delay all of them.
		return true
	}
	limit := maxContactAge + time.Duration(rank)*rankDelay
	if s.failing {
		limit += failingDelay
	}
	return s.ContactAge(now) > limit
}

// HasReader reports whether a live peer reads the store with success.
func (s *Set) HasReader(now time.Duration) bool {
	for _, p := range s.peers {
		if p.live(now) && p.digest.Reading && !p.digest.Leaving {
			return true
		}
	}
	return false
}

// PullFailed drops the versions that a peer sent, until its next digest.
func (s *Set) PullFailed(from netip.AddrPort) {
	if p := s.peers[from]; p != nil {
		p.digest.Routes, p.digest.Targets = 0, 0
	}
}

// Lost returns the peers that became silent since the previous call.
func (s *Set) Lost(now time.Duration) []netip.AddrPort {
	var lost []netip.AddrPort
	for address, p := range s.peers {
		if p.seen && !p.reportedLost && !p.live(now) {
			p.reportedLost = true
			lost = append(lost, address)
		}
	}
	return lost
}
