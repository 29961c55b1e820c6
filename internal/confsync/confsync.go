// Package confsync brings every process of the fleet to the highest accepted
// configuration revision and host list, through the configuration service, the
// distribution tree and an exchange of revisions with random peers. It decides
// where a configuration comes from; the Store decides whether it is accepted. The
// package does no I/O: callers pass in frames, read results and the time and
// carry out the returned actions.
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
	// exchangeInterval is the time between two revision exchanges, each with
	// exchangePeers random peers. Without the tree, two peers per second reach
	// 57,000 processes from one in about 10 exchanges, and fill a gap of an eighth
	// of the fleet in 3.
	exchangeInterval = time.Second
	exchangePeers    = 2
	// silenceTimeout is the time without any message from a peer after which a
	// process reads from the configuration service itself.
	silenceTimeout = 10 * time.Second
	// pauseThreshold is the time between two ticks above which the process counts
	// as paused. Ticks come every 100 ms; 2 s is below the 6 s of the unsettled
	// window.
	pauseThreshold = 2 * time.Second
	// HopInjected marks a frame whose receiver forwards the item to the roots of
	// its zone, HopTree a frame that is forwarded along the tree.
	HopInjected = 0
	HopTree     = 1
	// notRequested as the revision or host list version in a pull requests nothing
	// of that kind.
	notRequested = ^uint64(0)
)

// Membership provides the liveness of hosts.
type Membership interface {
	// Dead reports whether a failure verdict holds for the host.
	Dead(hostlist.ID) bool
	// EventDigest returns a digest of the hosts whose state differs from the list.
	EventDigest() uint64
}

// Settings configures a Syncer.
type Settings struct {
	// Host is the name of the process in the host list.
	Host string
	// Peers are the processes queried for their revision at the start, before the
	// first host list.
	Peers []netip.AddrPort
}

// Syncer synchronizes the configuration and the host list of one process. It is
// not safe for concurrent use.
type Syncer struct {
	settings Settings
	id       hostlist.ID
	store    Store
	members  Membership
	rng      *rand.Rand

	hosts   *hostlist.Set
	history []hostChange
	tree    *hostlist.Tree

	join     joinState
	config   transfer
	list     transfer
	serving  encodings
	schedule readSchedule

	peerRevisions    []peerRevision
	lastReceived     time.Time
	lastTick         time.Time
	nextExchange     time.Time
	reportedConflict uint64
}

// peerRevision holds the configuration revision and host list version that a peer
// last reported.
type peerRevision struct {
	from     netip.AddrPort
	revision uint64
	version  uint64
}

// peerRevisionLimit bounds the kept peer revisions, which provide other sources
// for a transfer whose source no longer responds.
const peerRevisionLimit = 16

// New returns the Syncer of a process that has just started.
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

// Joined reports whether the process has confirmed its revision.
func (s *Syncer) Joined() bool { return s.join.phase == joinDone }

// Revision returns the accepted revision, 0 before the first acceptance.
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
	} else if now.Sub(s.lastTick) > pauseThreshold {
		out = append(out, s.resumeAfterPause(now)...)
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
	s.lastReceived = now
	s.nextExchange = now.Add(s.jitter(exchangeInterval))
	s.startJoin(now)
	s.startReads(now)
}

// resumeAfterPause handles a pause of the process. Its state may be stale, so the
// revision is confirmed again and running transfers are dropped.
func (s *Syncer) resumeAfterPause(now time.Time) []Action {
	s.lastReceived = now
	s.nextExchange = now
	s.config.reset()
	s.list.reset()
	if s.join.phase != joinDone {
		return nil
	}
	s.startJoin(now)
	return []Action{Unconfirmed{}}
}

// Receive handles a frame of a peer. Frames of other kinds are ignored.
func (s *Syncer) Receive(now time.Time, from netip.AddrPort, f *schema.Frame) []Action {
	switch body := f.GetBody().(type) {
	case *schema.Frame_RevisionNote:
		return s.receiveRevisionNote(now, from, body.RevisionNote)
	case *schema.Frame_ConfigPull:
		return s.receivePull(now, from, body.ConfigPull)
	case *schema.Frame_ConfigDelta:
		return s.receiveDelta(now, from, f.GetHops(), body.ConfigDelta)
	case *schema.Frame_ConfigChunk:
		return s.receiveChunk(now, from, f.GetHops(), body.ConfigChunk)
	}
	return nil
}

// tickExchange sends the local revision to random peers.
func (s *Syncer) tickExchange(now time.Time) []Action {
	if s.join.phase != joinDone || now.Before(s.nextExchange) {
		return nil
	}
	s.nextExchange = s.nextExchange.Add(exchangeInterval)
	if s.nextExchange.Before(now) {
		s.nextExchange = now.Add(exchangeInterval)
	}
	var out []Action
	for _, h := range s.randomPeers(exchangePeers) {
		out = append(out, s.revisionNote(h, true))
	}
	return out
}

// revisionNote returns the action that sends the local revision to a peer. With
// reply set, the peer sends its own in return.
func (s *Syncer) revisionNote(to netip.AddrPort, reply bool) Action {
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

// receiveRevisionNote compares the revision and host list of a peer with the local
// ones.
func (s *Syncer) receiveRevisionNote(now time.Time, from netip.AddrPort, n *schema.RevisionNote) []Action {
	s.lastReceived = now
	s.recordPeerRevision(peerRevision{from: from, revision: n.GetRevision(), version: n.GetHostVersion()})
	var out []Action
	if n.GetReply() {
		out = append(out, s.revisionNote(from, false))
	}
	out = append(out, s.recordJoinReply(now, from, n)...)
	out = append(out, s.compareConfig(now, from, n)...)
	out = append(out, s.compareHosts(now, from, n)...)
	return out
}

func (s *Syncer) compareConfig(now time.Time, from netip.AddrPort, n *schema.RevisionNote) []Action {
	current := s.store.Current()
	if current == nil || s.join.phase != joinDone {
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
		return s.sendDelta(from, n.GetRevision())
	}
	return nil
}

// reportConflict reports, once per revision, a peer with different content for
// the same revision. The local content stays in force.
func (s *Syncer) reportConflict(revision uint64, from string) []Action {
	if s.reportedConflict == revision {
		return nil
	}
	s.reportedConflict = revision
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

func (s *Syncer) recordPeerRevision(c peerRevision) {
	for i := range s.peerRevisions {
		if s.peerRevisions[i].from == c.from {
			s.peerRevisions[i] = c
			return
		}
	}
	if len(s.peerRevisions) < peerRevisionLimit {
		s.peerRevisions = append(s.peerRevisions, c)
		return
	}
	s.peerRevisions[s.rng.IntN(peerRevisionLimit)] = c
}

// randomPeers returns the addresses of up to count different hosts that are not
// dead.
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
