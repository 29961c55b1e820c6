package confsync

import (
	"net/netip"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/peridotstall/peridotstall/internal/config"
	"github.com/peridotstall/peridotstall/internal/hostlist"
	"github.com/peridotstall/peridotstall/internal/schema"
)

// origin is the way by which an item reached the process. It determines the
// receivers to which the item is forwarded.
type origin int

const (
	originService origin = iota
	originInjected
	originTree
	originPull
)

// pushLimit is the size in bytes above which an item is not pushed. A pushed item
// fits into one Ethernet frame; for a larger one only the revision note is sent,
// and the receiver pulls what it lacks.
const pushLimit = 1300

// hopPull marks a response to a pull, which is not forwarded along the tree.
const hopPull = 2

func originOf(hops uint32) origin {
	switch hops {
	case HopInjected:
		return originInjected
	case HopTree:
		return originTree
	default:
		return originPull
	}
}

// offerConfig offers a full configuration to the store.
func (s *Syncer) offerConfig(now time.Time, c *schema.Config, src origin, from netip.AddrPort) []Action {
	before := s.Revision()
	decision, err := s.store.Offer(now, c)
	return s.applyDecision(now, decision, err, c.GetRevision(), before, src, from)
}

// receiveDelta offers a delta to the store. A process without a configuration
// ignores deltas, because joining selects the source itself.
func (s *Syncer) receiveDelta(now time.Time, from netip.AddrPort, hops uint32, d *schema.ConfigDelta) []Action {
	s.lastReceived = now
	before := s.Revision()
	if before == 0 || d.GetToRevision() <= before {
		return nil
	}
	decision, err := s.store.OfferDelta(now, d)
	if decision == config.NeedFull {
		return s.pull(now, &s.config, from, d.GetToRevision())
	}
	return s.applyDecision(now, decision, err, d.GetToRevision(), before, originOf(hops), from)
}

// applyDecision acts on the decision of the store about a revision.
func (s *Syncer) applyDecision(now time.Time, decision config.Decision, err error, revision, before uint64, src origin, from netip.AddrPort) []Action {
	switch decision {
	case config.Accepted:
		if s.config.revision <= revision {
			s.config.reset()
		}
		out := []Action{ConfigChanged{}}
		out = append(out, s.distributeConfig(before, src)...)
		if s.join.phase != joinDone && src == originPull && revision >= s.join.best {
			out = append(out, s.completeJoin(now)...)
		}
		return out
	case config.Same:
		return nil
	}
	if s.join.phase != joinDone {
		s.join.failed[from] = true
	}
	name := "configuration service"
	if src != originService {
		name = from.String()
	}
	return []Action{Rejected{Revision: revision, Decision: decision, From: name, Err: err}}
}

// distributeConfig forwards the accepted revision.
func (s *Syncer) distributeConfig(before uint64, src origin) []Action {
	if s.hosts == nil || before == 0 {
		return nil
	}
	frame := s.deltaFrame(before, HopTree)
	if src == originPull && s.readerRank() < 0 {
		frame = nil
	}
	return s.distribute(frame, src)
}

// deltaFrame returns a frame with the delta from a revision to the current one,
// or nil when the store has no such delta or it is too large to be pushed.
func (s *Syncer) deltaFrame(from uint64, hops uint32) *schema.Frame {
	d, ok := s.store.Delta(from)
	if !ok || proto.Size(d) > pushLimit {
		return nil
	}
	return &schema.Frame{Hops: hops, Body: &schema.Frame_ConfigDelta{ConfigDelta: d}}
}

// sendDelta sends a peer the delta from its revision to the local one, or a
// revision note when there is no delta that can be pushed.
func (s *Syncer) sendDelta(to netip.AddrPort, from uint64) []Action {
	frame := s.deltaFrame(from, hopPull)
	if frame == nil {
		return []Action{s.revisionNote(to, false)}
	}
	return []Action{Send{To: to, Frame: frame}}
}

// distribute sends a frame, or a revision note when the frame is nil, to the
// children in the tree. A reader and a process to which the item was injected
// also send to the roots of their zone. A reader and a process that read the item
// from the service also notify the readers of all zones, because the service may
// be stale elsewhere.
func (s *Syncer) distribute(frame *schema.Frame, src origin) []Action {
	tree := s.currentTree()
	to := tree.Children(0)
	reader := s.readerRank() >= 0
	if reader || src == originService || src == originInjected {
		to = append(to, tree.Roots(0)...)
	}
	var out []Action
	sent := map[hostlist.ID]bool{}
	for _, h := range to {
		if sent[h.ID] {
			continue
		}
		sent[h.ID] = true
		out = append(out, s.frameOrNote(h.Addr, frame))
	}
	if reader || src == originService {
		out = append(out, s.notifyReaders(sent)...)
	}
	return out
}

func (s *Syncer) frameOrNote(to netip.AddrPort, frame *schema.Frame) Action {
	if frame == nil {
		return s.revisionNote(to, false)
	}
	return Send{To: to, Frame: frame}
}

// notifyReaders sends a revision note to the readers of the local zone and to the
// reader of the same rank in every other zone.
func (s *Syncer) notifyReaders(sent map[hostlist.ID]bool) []Action {
	var out []Action
	own := -1
	if at := s.hosts.ByID(s.id); at >= 0 {
		own = int(s.hosts.At(at).Zone)
	}
	rank := max(s.readerRank(), 0)
	for zone := range s.hosts.Zones() {
		readers := s.hosts.Readers(zone, s.members.Dead)
		if zone != own && len(readers) > 0 {
			readers = readers[rank%len(readers):][:1]
		}
		for _, h := range readers {
			if h.ID != s.id && !sent[h.ID] {
				out = append(out, s.revisionNote(h.Addr, false))
			}
		}
	}
	return out
}

// currentTree returns the distribution tree of the local zone, built from the hosts
// that are not dead.
func (s *Syncer) currentTree() *hostlist.Tree {
	if s.tree == nil {
		s.tree = hostlist.NewTree(s.hosts, s.id, s.members.Dead)
	}
	return s.tree
}

// MembersChanged discards the distribution tree, which is rebuilt from the
// current failure verdicts.
func (s *Syncer) MembersChanged() { s.tree = nil }

func (s *Syncer) readerRank() int {
	if s.hosts == nil {
		return -1
	}
	return s.currentTree().ReaderRank()
}
