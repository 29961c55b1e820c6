package confsync

import (
	"net/netip"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/peridotstall/peridotstall/internal/config"
	"github.com/peridotstall/peridotstall/internal/hostlist"
	"github.com/peridotstall/peridotstall/internal/schema"
)

// source says how an item reached the process; it decides to whom it is passed.
type source int

const (
	sourceService source = iota
	sourceInjected
	sourceTree
	sourcePull
)

// pushLimit is the largest item that is pushed without being asked for, in
// bytes. It fits into one Ethernet frame; of larger items only the note is
// pushed, and the receiver pulls what it lacks.
const pushLimit = 1300

// hopPull marks an answer to a pull, which is not passed on along the tree.
const hopPull = 2

func sourceOf(hops uint32) source {
	switch hops {
	case HopInjected:
		return sourceInjected
	case HopTree:
		return sourceTree
	default:
		return sourcePull
	}
}

// offerConfig hands a whole configuration to the store.
func (s *Syncer) offerConfig(now time.Time, c *schema.Config, src source, from netip.AddrPort) []Action {
	before := s.Revision()
	decision, err := s.store.Offer(now, c)
	return s.decided(now, decision, err, c.GetRevision(), before, src, from)
}

// receiveDelta hands a delta to the store. A process without a configuration
// ignores it, because joining chooses the source itself.
func (s *Syncer) receiveDelta(now time.Time, from netip.AddrPort, hops uint32, d *schema.ConfigDelta) []Action {
	s.lastHeard = now
	before := s.Revision()
	if before == 0 || d.GetToRevision() <= before {
		return nil
	}
	decision, err := s.store.OfferDelta(now, d)
	if decision == config.NeedFull {
		return s.pull(now, &s.config, from, d.GetToRevision())
	}
	return s.decided(now, decision, err, d.GetToRevision(), before, sourceOf(hops), from)
}

// decided acts on the decision of the store.
func (s *Syncer) decided(now time.Time, decision config.Decision, err error, revision, before uint64, src source, from netip.AddrPort) []Action {
	switch decision {
	case config.Accepted:
		if s.config.revision <= revision {
			s.config.reset()
		}
		out := []Action{ConfigChanged{}}
		out = append(out, s.spreadConfig(before, src)...)
		if s.join.phase != joined && src == sourcePull && revision >= s.join.best {
			out = append(out, s.completeJoin(now)...)
		}
		return out
	case config.Same:
		return nil
	}
	if s.join.phase != joined {
		s.join.failed[from] = true
	}
	name := "configuration service"
	if src != sourceService {
		name = from.String()
	}
	return []Action{Rejected{Revision: revision, Decision: decision, From: name, Err: err}}
}

// spreadConfig passes the accepted revision on.
func (s *Syncer) spreadConfig(before uint64, src source) []Action {
	if s.hosts == nil || before == 0 {
		return nil
	}
	frame := s.deltaFrame(before, HopTree)
	if src == sourcePull && s.readerRank() < 0 {
		frame = nil
	}
	return s.spread(frame, src)
}

// deltaFrame returns the delta from a revision to the current one, or nil when
// it is not known or too large to be pushed.
func (s *Syncer) deltaFrame(from uint64, hops uint32) *schema.Frame {
	d, ok := s.store.Delta(from)
	if !ok || proto.Size(d) > pushLimit {
		return nil
	}
	return &schema.Frame{Hops: hops, Body: &schema.Frame_ConfigDelta{ConfigDelta: d}}
}

// offerDelta sends what leads a peer from its revision to the own one.
func (s *Syncer) offerDelta(to netip.AddrPort, from uint64) []Action {
	frame := s.deltaFrame(from, hopPull)
	if frame == nil {
		return []Action{s.note(to, false)}
	}
	return []Action{Send{To: to, Frame: frame}}
}

// spread sends a frame, or the note when the frame is nil, to the children in
// the tree. A reader and a process to which the item was injected also serve
// the roots of their zone, and a process that read it from the service tells
// the readers of all zones, because the service may be stale elsewhere.
func (s *Syncer) spread(frame *schema.Frame, src source) []Action {
	tree := s.currentTree()
	to := tree.Children(0)
	reader := s.readerRank() >= 0
	if reader || src == sourceService || src == sourceInjected {
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
	if reader || src == sourceService {
		out = append(out, s.notifyReaders(sent)...)
	}
	return out
}

func (s *Syncer) frameOrNote(to netip.AddrPort, frame *schema.Frame) Action {
	if frame == nil {
		return s.note(to, false)
	}
	return Send{To: to, Frame: frame}
}

// notifyReaders sends the note to the readers of the own zone and to the
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
				out = append(out, s.note(h.Addr, false))
			}
		}
	}
	return out
}

// currentTree returns the tree of the own zone over the hosts that are not dead.
func (s *Syncer) currentTree() *hostlist.Tree {
	if s.tree == nil {
		s.tree = hostlist.NewTree(s.hosts, s.id, s.members.Dead)
	}
	return s.tree
}

// MembersChanged makes the tree follow a change of the failure verdicts.
func (s *Syncer) MembersChanged() { s.tree = nil }

func (s *Syncer) readerRank() int {
	if s.hosts == nil {
		return -1
	}
	return s.currentTree().ReaderRank()
}
