// Package confsync brings every process of the fleet to the highest accepted
// configuration revision and host list: joining, reader selection, the
// distribution tree, revision exchange with random peers and transfers. It
// decides where a configuration is taken from; the store decides acceptance.
//
// The package is part of the decision core: events and the time go in, actions
// come out.
package confsync

import (
	"encoding/binary"
	"math/rand/v2"
	"net/netip"
	"time"

	"github.com/peridotstall/peridotstall/internal/config"
	"github.com/peridotstall/peridotstall/internal/hostlist"
	"github.com/peridotstall/peridotstall/internal/schema"
)

const (
	// exchangeEvery is the period of the revision exchange. Two peers a second
	// reach 57,000 processes from one in about 10 periods without the tree, and
	// fill a gap of an eighth of the fleet in 3.
	exchangeEvery = time.Second
	exchangePeers = 2
	// silence is the time without any note after which a process reads from the
	// configuration service itself.
	silence = 10 * time.Second
	// jump is the time between two ticks above which the process was paused.
	// Ticks come every 100 ms; 2 s is below the 6 s of the unsettled window.
	jump = 2 * time.Second
	// HopInjected marks a frame whose receiver passes the item to the roots of
	// its zone; HopTree marks one that came along the tree.
	HopInjected = 0
	HopTree     = 1
	// unwanted as a revision or version in a pull asks for nothing of that kind.
	unwanted = ^uint64(0)
)

// Membership is what the package needs to know of the liveness of hosts.
type Membership interface {
	// Dead reports whether a failure verdict holds for the host.
	Dead(hostlist.ID) bool
	// EventDigest summarizes the hosts whose state differs from the list.
	EventDigest() uint64
}

// Settings of a process.
type Settings struct {
	// Host is the name of the process in the host list.
	Host string
	// Peers are asked for their revision at the start, before a host list is known.
	Peers []netip.AddrPort
}

// Syncer is the state of one process. It is not safe for concurrent use.
type Syncer struct {
	settings Settings
	id       hostlist.ID
	store    Store
	members  Membership
	rng      *rand.Rand

	hosts   *hostlist.Set
	history []hostChange
	tree    *hostlist.Tree

	join    joinState
	config  transfer
	list    transfer
	serving encodings
	reads   reading

	heard        []claim
	lastHeard    time.Time
	lastTick     time.Time
	nextExchange time.Time
	conflict     uint64
}

// claim is what a peer last said about itself.
type claim struct {
	from     netip.AddrPort
	revision uint64
	version  uint64
}

// heardLimit bounds the remembered claims; they name other sources for a
// transfer whose source stopped answering.
const heardLimit = 16

// New returns the state of a process that has just started.
func New(settings Settings, store Store, members Membership, rng *rand.Rand) *Syncer {
	s := &Syncer{
		settings: settings,
		id:       hostlist.IDOf(settings.Host),
		store:    store,
		members:  members,
		rng:      rng,
	}
	s.config.content = schema.ConfigChunk_CONFIG
	s.list.content = schema.ConfigChunk_HOSTS
	return s
}

// Hosts returns the current host list, nil before the first one.
func (s *Syncer) Hosts() *hostlist.Set { return s.hosts }

// Joined reports whether the process has a confirmed revision.
func (s *Syncer) Joined() bool { return s.join.phase == joined }

// Revision returns the accepted revision, zero when there is none.
func (s *Syncer) Revision() uint64 {
	if current := s.store.Current(); current != nil {
		return current.Revision()
	}
	return 0
}

// Tick advances the timers; it is called about every 100 ms.
func (s *Syncer) Tick(now time.Time) []Action {
	var out []Action
	if s.lastTick.IsZero() {
		s.start(now)
	} else if now.Sub(s.lastTick) > jump {
		out = append(out, s.resumed(now)...)
	}
	s.lastTick = now
	out = append(out, s.tickJoin(now)...)
	out = append(out, s.tickTransfer(now, &s.config)...)
	out = append(out, s.tickTransfer(now, &s.list)...)
	out = append(out, s.tickExchange(now)...)
	out = append(out, s.tickReads(now)...)
	s.serving.expire(now)
	return out
}

func (s *Syncer) start(now time.Time) {
	s.lastHeard = now
	s.nextExchange = now.Add(s.jitter(exchangeEvery))
	s.startJoin(now)
	s.startReads(now)
}

// resumed handles a pause of the process: what it knows may be stale, so the
// revision must be confirmed again and transfers in progress start over.
func (s *Syncer) resumed(now time.Time) []Action {
	s.lastHeard = now
	s.nextExchange = now
	s.config.reset()
	s.list.reset()
	if s.join.phase != joined {
		return nil
	}
	s.startJoin(now)
	return []Action{Unconfirmed{}}
}

// Receive handles a frame of a peer. Frames of other kinds are ignored.
func (s *Syncer) Receive(now time.Time, from netip.AddrPort, f *schema.Frame) []Action {
	switch body := f.GetBody().(type) {
	case *schema.Frame_RevisionNote:
		return s.receiveNote(now, from, body.RevisionNote)
	case *schema.Frame_ConfigPull:
		return s.receivePull(now, from, body.ConfigPull)
	case *schema.Frame_ConfigDelta:
		return s.receiveDelta(now, from, f.GetHops(), body.ConfigDelta)
	case *schema.Frame_ConfigChunk:
		return s.receiveChunk(now, from, f.GetHops(), body.ConfigChunk)
	}
	return nil
}

// tickExchange sends the revision to random peers.
func (s *Syncer) tickExchange(now time.Time) []Action {
	if s.join.phase != joined || now.Before(s.nextExchange) {
		return nil
	}
	s.nextExchange = s.nextExchange.Add(exchangeEvery)
	if s.nextExchange.Before(now) {
		s.nextExchange = now.Add(exchangeEvery)
	}
	var out []Action
	for _, h := range s.randomPeers(exchangePeers) {
		out = append(out, s.note(h, true))
	}
	return out
}

// note states the own revision to a peer.
func (s *Syncer) note(to netip.AddrPort, reply bool) Action {
	n := &schema.RevisionNote{
		From:        s.settings.Host,
		Reply:       reply,
		Serving:     s.Joined(),
		HostVersion: s.hosts.Version(),
	}
	if current := s.store.Current(); current != nil {
		n.Revision = current.Revision()
		n.Digest = current.Digest()
	}
	if s.hosts != nil {
		n.HostDigest = make([]byte, 16)
		binary.BigEndian.PutUint64(n.HostDigest, s.hosts.Digest())
		binary.BigEndian.PutUint64(n.HostDigest[8:], s.members.EventDigest())
	}
	return Send{To: to, Frame: &schema.Frame{Body: &schema.Frame_RevisionNote{RevisionNote: n}}}
}

// receiveNote compares the peer's revision with the own one.
func (s *Syncer) receiveNote(now time.Time, from netip.AddrPort, n *schema.RevisionNote) []Action {
	s.lastHeard = now
	s.remember(claim{from: from, revision: n.GetRevision(), version: n.GetHostVersion()})
	var out []Action
	if n.GetReply() {
		out = append(out, s.note(from, false))
	}
	out = append(out, s.joinAnswer(now, from, n)...)
	out = append(out, s.compareConfig(now, from, n)...)
	out = append(out, s.compareHosts(now, from, n)...)
	return out
}

func (s *Syncer) compareConfig(now time.Time, from netip.AddrPort, n *schema.RevisionNote) []Action {
	current := s.store.Current()
	if current == nil || s.join.phase != joined {
		return nil
	}
	own := current.Revision()
	if n.GetRevision() > own {
		return s.pull(now, &s.config, from, n.GetRevision())
	}
	if n.GetRevision() == own && string(n.GetDigest()) != string(current.Digest()) {
		return s.reportConflict(own, n.GetFrom())
	}
	if n.GetRevision() < own && n.GetRevision() > 0 && !n.GetReply() {
		return s.offerDelta(from, n.GetRevision())
	}
	return nil
}

// reportConflict reports a peer with other content once per revision; the own
// content stays in force.
func (s *Syncer) reportConflict(revision uint64, from string) []Action {
	if s.conflict == revision {
		return nil
	}
	s.conflict = revision
	return []Action{Rejected{Revision: revision, Decision: config.Conflict, From: from}}
}

func (s *Syncer) compareHosts(now time.Time, from netip.AddrPort, n *schema.RevisionNote) []Action {
	if n.GetHostVersion() > s.hosts.Version() {
		return s.pull(now, &s.list, from, n.GetHostVersion())
	}
	if n.GetHostVersion() < s.hosts.Version() || len(n.GetHostDigest()) != 16 || s.hosts == nil {
		return nil
	}
	if binary.BigEndian.Uint64(n.GetHostDigest()) != s.hosts.Digest() {
		return nil
	}
	if binary.BigEndian.Uint64(n.GetHostDigest()[8:]) != s.members.EventDigest() {
		return []Action{SyncEvents{To: from}}
	}
	return nil
}

func (s *Syncer) remember(c claim) {
	for i := range s.heard {
		if s.heard[i].from == c.from {
			s.heard[i] = c
			return
		}
	}
	if len(s.heard) < heardLimit {
		s.heard = append(s.heard, c)
		return
	}
	s.heard[s.rng.IntN(heardLimit)] = c
}

// randomPeers returns up to count different hosts that are not dead.
func (s *Syncer) randomPeers(count int) []netip.AddrPort {
	var out []netip.AddrPort
	n := s.hosts.Len()
	for try := 0; try < 4*count && len(out) < count && n > 1; try++ {
		h := s.hosts.At(s.rng.IntN(n))
		if h.ID == s.id || s.members.Dead(h.ID) || contains(out, h.Addr) {
			continue
		}
		out = append(out, h.Addr)
	}
	return out
}

func contains(list []netip.AddrPort, addr netip.AddrPort) bool {
	for _, a := range list {
		if a == addr {
			return true
		}
	}
	return false
}

// jitter returns a random time below the limit.
func (s *Syncer) jitter(limit time.Duration) time.Duration {
	return time.Duration(s.rng.Int64N(int64(limit)))
}
