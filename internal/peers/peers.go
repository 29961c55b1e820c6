// Package peers keeps the view that one balancer has of the others and decides
// which of them reads the store on behalf of all. It does no I/O and is not
// safe for concurrent use. Times are monotonic times since the start of the
// process.
package peers

import (
	"cmp"
	"math/bits"
	"net/netip"
	"slices"
	"time"

	"github.com/dchest/siphash"

	"github.com/peridotstall/peridotstall/internal/registry"
)

const (
	// DigestInterval is the time between two digests to a peer.
	DigestInterval = 300 * time.Millisecond
	// peerTimeout is the time without a digest after which a peer that gets one each
	// DigestInterval counts as lost: four lost digests.
	peerTimeout = 1200 * time.Millisecond
	// silentTTL is how long the address of a silent peer is kept and probed:
	// longer than the restart of a host.
	silentTTL = time.Minute
	// silentInterval is the time between digests to a silent peer.
	silentInterval = time.Second
	// groupFanout is the number of digests in a DigestInterval to the balancers of the own
	// zone, and to those of all others. In a larger group a peer gets a digest less often.
	groupFanout = 16
	// timeoutIntervals is the number of intervals without a digest after which a peer
	// counts as lost.
	timeoutIntervals = peerTimeout / DigestInterval
	// maxPhase bounds the phases of digests. It is a multiple of the intervals of groups of
	// up to 160 peers, so that phases are spread evenly over each.
	maxPhase = 5040 * DigestInterval
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
	// maxDigestPeers bounds the addresses in a digest after the first one to a peer.
	maxDigestPeers = 4
	// MaxListed bounds the addresses in the first digest to a peer, which are all that are
	// taken from any.
	MaxListed = 64
	// maxPeers bounds the addresses that have sent a digest, maxUnheard those that were only
	// listed in one and get digests until they answer. Seeds come in addition.
	maxPeers, maxUnheard = 1024, 256
	// maxRankDelay bounds the delay by rank. The balancers that come first and are dead
	// count as lost after peerTimeout.
	maxRankDelay = 3 * time.Second
	// maxClaimedAge is the highest contact age that a peer may state: longer than a process
	// runs without its store, and far below the range of a time.Duration.
	maxClaimedAge = 365 * 24 * time.Hour
	// brokenTime is the time for which a peer is not asked for newer state after its answer
	// lacked what its digest stated. It is below the time in which a change has to take
	// effect, since a peer that restarts during the pull breaks its word too.
	brokenTime = 2 * time.Second
	// refutedTime is the time for which positions that the store never had are remembered.
	refutedTime = 10 * time.Second
	// learnInterval is the time between two pulls of what the same peer retains.
	learnInterval = time.Second
)

// Digest is the state that a balancer sends to its peers.
type Digest struct {
	// Incarnation identifies the incarnation of the process; it differs after each
	// start.
	Incarnation uint64
	// Routes is the version of the configuration.
	Routes uint64
	// Targets is the position of the table.
	Targets registry.Position
	// Evacuations is the position of the list of evacuated zones.
	Evacuations registry.Position
	// ContactAge is the age of the store's last response to any reader, as far as
	// the balancer has received it. It is Never if there was none.
	ContactAge time.Duration
	// Reading is set while the balancer reads the store with success.
	Reading bool
	// Failing is set while its own reads fail.
	Failing bool
	// Leaving is set while it is stopping.
	Leaving bool
	// Retaining is set while it has lapsed targets, or while what it knows from before a
	// restore of the store takes precedence over the store's entries.
	Retaining bool
	// Serving is set if it has routes, targets and the list of evacuated zones.
	Serving bool
	// Zone is its availability zone.
	Zone string
	// Capacity is the number of segments per second that it can forward.
	Capacity uint32
	// Peers are balancers from which it receives digests.
	Peers []netip.AddrPort
}

// Versions are the versions of what a balancer has; 0 stands for nothing.
type Versions struct {
	// Routes is the version of the configuration.
	Routes uint64
	// Targets and Evacuations are the positions of the table and of the list of evacuated
	// zones.
	Targets, Evacuations registry.Position
}

// complete reports whether the balancer has all that it needs to decide on flows.
func (v Versions) complete() bool {
	return v.Routes != 0 && v.Targets.Revision != 0 && v.Evacuations.Revision != 0
}

// newer reports whether a peer has something newer.
func (d *Digest) newer(than Versions) bool {
	return d.Routes > than.Routes || d.Targets.After(than.Targets) || d.Evacuations.After(than.Evacuations)
}

// Never is the age of a response that was never received.
const Never = time.Duration(1<<62 - 1)

type peer struct {
	// rank is the reader rank of its address.
	rank     uint64
	digest   Digest
	lastSeen time.Duration
	seen     bool
	lastSent time.Duration
	// slot is the number of the interval of the last digest to the peer, counted from phase
	// before the start. Phases differ, so that digests of processes that start together are
	// spread over time.
	slot, phase  time.Duration
	added        time.Duration
	seed         bool
	reportedLost bool
	// brokenUntil is the time until which its versions are not believed.
	brokenUntil time.Duration
	// failures counts the pulls that failed since the last that did not.
	failures int
	// learnedAt is the time of the last pull of what it retains; valid if learned is set.
	learnedAt time.Duration
	learned   bool
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
	rank    uint64
	self    Self
	peers   map[netip.AddrPort]*peer
	// lastContact is the time of the store's last response to any balancer. It is
	// valid if hasContact is set.
	lastContact time.Duration
	hasContact  bool
	// position is that of the table of this balancer.
	position registry.Position
	// refuted are positions that the store never had although peers stated them. Until
	// refutedUntil, peers that state them or later ones are not believed.
	refuted      Versions
	refutedUntil time.Duration
	failing      bool
	reading      bool
	leaving      bool
	// remote and local are the numbers of peers in other zones and in the own one that
	// have sent a digest.
	remote, local int
	// nextListed is the position of the next address that a digest lists.
	nextListed int
}

// New returns the view of a balancer that has received no digests yet. It
// contains only the seeds.
func New(now time.Duration, self Self, seeds []netip.AddrPort) *Set {
	s := &Set{address: self.Address, rank: readerRank(self.Address), self: self, peers: make(map[netip.AddrPort]*peer)}
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
		if p := s.add(now, seed, func() bool { return true }); p != nil {
			p.seed = true
		}
	}
}

// count returns the number of peers, without seeds, that have sent a digest, or that have not.
func (s *Set) count(seen bool) (n int) {
	for _, p := range s.peers {
		if !p.seed && p.seen == seen {
			n++
		}
	}
	return n
}

// addListed adds an address that a digest lists, if it can be a balancer's and there is room.
func (s *Set) addListed(now time.Duration, address netip.AddrPort) {
	if a := address.Addr(); !a.Is4() || a.IsUnspecified() || a.IsMulticast() || a == broadcast || address.Port() == 0 {
		return
	}
	s.add(now, address, func() bool { return s.count(false) < maxUnheard })
}

var broadcast = netip.AddrFrom4([4]byte{255, 255, 255, 255})

// add returns the peer with an address, which it adds if it is not known. It returns nil for the
// own address and if there is no room.
func (s *Set) add(now time.Duration, address netip.AddrPort, hasRoom func() bool) *peer {
	if address == s.address || !address.IsValid() {
		return nil
	}
	p := s.peers[address]
	if p == nil {
		if !hasRoom() {
			return nil
		}
		p = &peer{rank: readerRank(address), added: now, lastSent: now - silentInterval}
		p.phase = time.Duration((p.rank ^ bits.RotateLeft64(s.rank, 32)) % uint64(maxPhase))
		s.peers[address] = p
	}
	return p
}

// Receive records a digest of a peer. It reports whether the peer is new,
// restarted or was lost. It drops digests of further peers while maxPeers are known, addresses
// above MaxListed, and a contact age that is out of range.
func (s *Set) Receive(now time.Duration, from netip.AddrPort, d Digest) bool {
	p := s.add(now, from, func() bool { return s.count(true) < maxPeers })
	if p == nil || !p.seen && !p.seed && s.count(true) >= maxPeers {
		return false
	}
	d.Peers = d.Peers[:min(len(d.Peers), MaxListed)]
	if d.ContactAge < 0 || d.ContactAge > maxClaimedAge {
		d.ContactAge = Never
	}
	fresh := !p.seen || p.digest.Incarnation != d.Incarnation || now-p.lastSeen > timeoutIntervals*s.interval(p)
	p.digest, p.lastSeen, p.seen, p.reportedLost = d, now, true, false
	if fresh {
		p.slot = (now + p.phase) / s.interval(p)
	}
	for _, address := range d.Peers {
		s.addListed(now, address)
	}
	p.digest.Peers = nil
	if d.ContactAge != Never && !s.isOutdated(now, p) {
		s.updateContact(now - d.ContactAge)
	}
	return fresh
}

// Enter records the position of the table of this balancer.
func (s *Set) Enter(position registry.Position) { s.position = position }

// Refute records positions that this balancer had from peers, and that the store, read afterwards,
// has not reached; zero ones say nothing. The memory ends after refutedTime, because the store
// reaches a position that is a little too high.
func (s *Set) Refute(now time.Duration, positions Versions) {
	if now >= s.refutedUntil {
		s.refuted = Versions{}
	}
	s.refutedUntil = now + refutedTime
	if positions.Targets.Revision != 0 {
		s.refuted.Targets = positions.Targets
	}
	if positions.Evacuations.Revision != 0 {
		s.refuted.Evacuations = positions.Evacuations
	}
}

// isRefuted reports whether a peer states a position that the store never had.
func (s *Set) isRefuted(now time.Duration, p *peer) bool {
	reaches := func(stated, refuted registry.Position) bool { return refuted.Revision != 0 && !refuted.After(stated) }
	return now < s.refutedUntil && (reaches(p.digest.Targets, s.refuted.Targets) || reaches(p.digest.Evacuations, s.refuted.Evacuations))
}

// isOutdated reports whether a peer has an earlier table, for example because it has not noticed
// yet that the store was restored, or does not read all that this balancer needs, as those of an
// earlier build, or states what the store has refuted. What it says of the store does not confirm
// what this balancer has. If all peers have an earlier table, this balancer reads the store
// itself: it may have the later one from a peer that made it up.
func (s *Set) isOutdated(now time.Duration, p *peer) bool {
	return s.position.After(p.digest.Targets) || p.digest.Evacuations.Revision == 0 || s.isRefuted(now, p)
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

// interval returns the time between two digests to a peer, which grows with the number of
// peers in its group, so that the rate of digests does not.
func (s *Set) interval(p *peer) time.Duration {
	group := s.remote
	if s.isLocal(p) {
		group = s.local
	}
	return DigestInterval * time.Duration(max(1, (group+groupFanout-1)/groupFanout))
}

// isLocal reports whether a peer is in the own zone.
func (s *Set) isLocal(p *peer) bool { return p.digest.Zone == s.self.Zone }

func (s *Set) live(now time.Duration, p *peer) bool {
	return p.seen && now-p.lastSeen <= timeoutIntervals*s.interval(p)
}

// reads reports whether a peer reads the store with success. A claim is not believed for
// longer than peerTimeout, so that a lost reader is replaced in time.
func (s *Set) reads(now time.Duration, p *peer) bool {
	return p.digest.Reading && !s.isOutdated(now, p) && !p.digest.Leaving && now-p.lastSeen <= peerTimeout
}

// Live returns the peers from which digests arrive, sorted by address.
func (s *Set) Live(now time.Duration) []netip.AddrPort {
	var out []netip.AddrPort
	for address, p := range s.peers {
		if s.live(now, p) {
			out = append(out, address)
		}
	}
	slices.SortFunc(out, netip.AddrPort.Compare)
	return out
}

// Digest returns the state that this balancer sends to its peers. It lists some of them
// in turn.
func (s *Set) Digest(now time.Duration, incarnation uint64, have Versions) Digest {
	return s.digest(now, incarnation, have, maxDigestPeers)
}

// Introduction returns the state that this balancer sends to a new peer, which learns the
// other ones from it.
func (s *Set) Introduction(now time.Duration, incarnation uint64, have Versions) Digest {
	return s.digest(now, incarnation, have, MaxListed)
}

func (s *Set) digest(now time.Duration, incarnation uint64, have Versions, maxListed int) Digest {
	d := Digest{
		Incarnation: incarnation, Routes: have.Routes, Targets: have.Targets, Evacuations: have.Evacuations,
		ContactAge: s.ContactAge(now), Reading: s.reading, Failing: s.failing, Leaving: s.leaving,
		Serving: have.complete(), Zone: s.self.Zone, Capacity: s.self.Capacity,
	}
	live := s.Live(now)
	for range min(len(live), maxListed) {
		s.nextListed = (s.nextListed + 1) % len(live)
		d.Peers = append(d.Peers, live[s.nextListed])
	}
	return d
}

// Due returns the peers that get a digest now. An urgent digest announces
// changed state and does not wait for the interval.
func (s *Set) Due(now time.Duration, urgent bool) []netip.AddrPort {
	s.countGroups()
	if urgent {
		return s.announced(now)
	}
	var due []netip.AddrPort
	for address, p := range s.peers {
		if s.live(now, p) {
			if slot := (now + p.phase) / s.interval(p); slot != p.slot {
				p.slot, p.lastSent = slot, now
				due = append(due, address)
			}
			continue
		}
		if now-p.lastSent < silentInterval {
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

// countGroups counts the peers that have sent a digest.
func (s *Set) countGroups() {
	s.local, s.remote = 0, 0
	for _, p := range s.peers {
		switch {
		case !p.seen:
		case s.isLocal(p):
			s.local++
		default:
			s.remote++
		}
	}
}

// announced returns the peers that get an urgent digest: groupFanout of the own zone and of
// the others, those that have waited longest for a digest. They are no more than that,
// because each peer that it is news to sends an urgent digest of its own.
func (s *Set) announced(now time.Duration) []netip.AddrPort {
	var local, remote []netip.AddrPort
	for _, address := range s.Live(now) {
		if s.isLocal(s.peers[address]) {
			local = append(local, address)
		} else {
			remote = append(remote, address)
		}
	}
	var out []netip.AddrPort
	for _, group := range [][]netip.AddrPort{local, remote} {
		slices.SortStableFunc(group, func(a, b netip.AddrPort) int { return cmp.Compare(s.peers[a].lastSent, s.peers[b].lastSent) })
		out = append(out, group[:min(len(group), groupFanout)]...)
	}
	for _, address := range out {
		s.peers[address].lastSent = now
	}
	return out
}

// Newer returns a live peer that has something newer, if there is one. It prefers those with the
// fewest failed pulls, then readers, then the lowest address.
func (s *Set) Newer(now time.Duration, have Versions) (netip.AddrPort, bool) {
	var best netip.AddrPort
	var bestPeer *peer
	reading := false
	for address, p := range s.peers {
		if !p.digest.newer(have) || !s.live(now, p) || now < p.brokenUntil || s.isRefuted(now, p) {
			continue
		}
		reads := s.reads(now, p)
		if bestPeer != nil {
			order := cmp.Or(cmp.Compare(p.failures, bestPeer.failures), compareBool(reading, reads), address.Compare(best))
			if order >= 0 {
				continue
			}
		}
		best, bestPeer, reading = address, p, reads
	}
	return best, bestPeer != nil
}

// compareBool orders false before true.
func compareBool(a, b bool) int {
	switch {
	case a == b:
		return 0
	case b:
		return -1
	default:
		return 1
	}
}

// Stated returns the versions in the last digest of a peer.
func (s *Set) Stated(from netip.AddrPort) Versions {
	p := s.peers[from]
	if p == nil {
		return Versions{}
	}
	return Versions{Routes: p.digest.Routes, Targets: p.digest.Targets, Evacuations: p.digest.Evacuations}
}

// Pulled records the answer of a peer to a pull: what its digest stated before, and what this
// balancer has now. It reports whether the answer lacked what was stated, so that the peer is not
// asked for brokenTime.
func (s *Set) Pulled(now time.Duration, from netip.AddrPort, stated, have Versions) (broken bool) {
	p := s.peers[from]
	if p == nil {
		return false
	}
	p.failures = 0
	d := Digest{Routes: stated.Routes, Targets: stated.Targets, Evacuations: stated.Evacuations}
	if !d.newer(have) {
		return false
	}
	p.brokenUntil = now + brokenTime
	return true
}

// Retainer returns a live peer in the given epoch that knows what a table read from the store
// lacks, if there is one.
func (s *Set) Retainer(now time.Duration, epoch uint64) (netip.AddrPort, bool) {
	for address, p := range s.peers {
		if p.learned && now-p.learnedAt < learnInterval {
			continue
		}
		if p.digest.Retaining && p.digest.Targets.Epoch == epoch && s.live(now, p) {
			return address, true
		}
	}
	return netip.AddrPort{}, false
}

// Learned records that this balancer has what a peer retains.
func (s *Set) Learned(now time.Duration, from netip.AddrPort) {
	if p := s.peers[from]; p != nil {
		p.digest.Retaining = false
		p.learned, p.learnedAt = true, now
	}
}

// readerRank orders the balancers for reading. The hash spreads the load of
// reading, which the order of addresses would put on the lowest ones.
func readerRank(a netip.AddrPort) uint64 {
	b, _ := a.MarshalBinary()
	return siphash.Hash(0, 0, b)
}

// ShouldRead reports whether this balancer has to read the store now.
func (s *Set) ShouldRead(now time.Duration) bool {
	rank := 0
	for _, p := range s.peers {
		if !s.live(now, p) {
			continue
		}
		if s.leaving {
			return false
		}
		before := p.rank < s.rank
		if before && !p.digest.Leaving && !p.digest.Failing {
			rank++
		}
		// Of several readers, the one that comes first in the order stays.
		if s.reading && before && s.reads(now, p) {
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
	limit := maxContactAge + min(time.Duration(rank)*rankDelay, maxRankDelay)
	if max(s.local, s.remote) > groupFanout {
		// The age takes one more hop to those that the reader sends no digest in each
		// interval.
		limit += DigestInterval
	}
	if s.failing {
		limit += failingDelay
	}
	return s.ContactAge(now) > limit
}

// HasReader reports whether a live peer reads the store with success.
func (s *Set) HasReader(now time.Duration) bool {
	for _, p := range s.peers {
		if p.seen && s.reads(now, p) {
			return true
		}
	}
	return false
}

// PullFailed drops the versions that a peer sent, until its next digest.
func (s *Set) PullFailed(from netip.AddrPort) {
	if p := s.peers[from]; p != nil {
		p.failures++
		p.digest.Routes, p.digest.Targets, p.digest.Evacuations, p.digest.Retaining = 0, registry.Position{}, registry.Position{}, false
	}
}

// Lost returns the peers that became silent since the previous call.
func (s *Set) Lost(now time.Duration) []netip.AddrPort {
	var lost []netip.AddrPort
	for address, p := range s.peers {
		if p.seen && !p.reportedLost && !s.live(now, p) {
			p.reportedLost = true
			lost = append(lost, address)
		}
	}
	return lost
}
