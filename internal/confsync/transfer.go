package confsync

import (
	"net/netip"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/peridotstall/peridotstall/internal/config"
	"github.com/peridotstall/peridotstall/internal/schema"
)

const (
	// chunkSize is the content of one chunk in bytes; it fits into one Ethernet
	// frame with all headers.
	chunkSize = 1200
	// chunkLimit bounds a transfer to 75 MB, six times a configuration of
	// 51,000 targets.
	chunkLimit = 1 << 16
	// window is the number of chunks sent for one pull. The receiver asks for
	// the next window, so a sender needs no state about lost chunks.
	window = 32
	// pullTimeout repeats a pull from the first missing chunk; pullTries
	// without progress change the source.
	pullTimeout = 300 * time.Millisecond
	pullTries   = 3
	// chunkTimeout after the last chunk repeats a pull sooner: the rest of the
	// window was lost or held back by the allowance of the sender.
	chunkTimeout = 100 * time.Millisecond
)

// transfer is a configuration or host list being pulled.
type transfer struct {
	// content is CONFIG (also for deltas) or HOSTS.
	content schema.ConfigChunk_Content
	active  bool
	source  netip.AddrPort
	// revision is the one that the source claims or delivers.
	revision uint64
	// got and chunks hold what arrived of the transfer got names.
	got     *schema.ConfigChunk
	chunks  [][]byte
	missing int
	// next is the first missing chunk, last the end of the window asked for.
	next  int
	last  int
	tries int
	until time.Time
}

func (t *transfer) reset() {
	*t = transfer{content: t.content}
}

// pull starts a transfer unless one for at least this revision is running.
func (s *Syncer) pull(now time.Time, t *transfer, from netip.AddrPort, revision uint64) []Action {
	if t.active {
		return nil
	}
	t.reset()
	t.active = true
	t.source = from
	t.revision = revision
	return s.request(now, t, 0)
}

// request asks the source for a window.
func (s *Syncer) request(now time.Time, t *transfer, from int) []Action {
	t.until = now.Add(pullTimeout)
	t.last = from + window - 1
	p := &schema.ConfigPull{Revision: unwanted, HostVersion: unwanted, FromChunk: uint32(from)}
	if t.content == schema.ConfigChunk_HOSTS {
		p.HostVersion = s.hosts.Version()
	} else {
		p.Revision = s.Revision()
	}
	return []Action{Send{To: t.source, Frame: &schema.Frame{Body: &schema.Frame_ConfigPull{ConfigPull: p}}}}
}

// tickTransfer repeats a pull without answer and changes a silent source.
func (s *Syncer) tickTransfer(now time.Time, t *transfer) []Action {
	if !t.active || now.Before(t.until) {
		return nil
	}
	t.tries++
	if t.tries < pullTries {
		return s.request(now, t, t.next)
	}
	if s.join.phase != joined {
		s.join.failed[t.source] = true
	}
	t.tries = 0
	if !s.otherSource(t) {
		t.reset()
		return nil
	}
	return s.request(now, t, t.next)
}

// otherSource picks another peer that claims at least the revision. Chunks
// that arrived are kept: the encoding is the same at every process.
func (s *Syncer) otherSource(t *transfer) bool {
	failed := t.source
	for i := range s.heard {
		if s.heard[i].from == failed {
			s.heard[i] = claim{}
		}
	}
	for _, i := range s.rng.Perm(len(s.heard)) {
		c := s.heard[i]
		has := c.revision
		if t.content == schema.ConfigChunk_HOSTS {
			has = c.version
		}
		if has >= t.revision && c.from != failed {
			t.source = c.from
			return true
		}
	}
	return false
}

// receiveChunk handles a chunk of a transfer, or a host list pushed along the tree.
func (s *Syncer) receiveChunk(now time.Time, from netip.AddrPort, hops uint32, c *schema.ConfigChunk) []Action {
	if c.GetCount() == 0 || c.GetCount() > chunkLimit || c.GetIndex() >= c.GetCount() {
		return nil
	}
	if c.GetContent() == schema.ConfigChunk_HOSTS && c.GetCount() == 1 {
		s.lastHeard = now
		return s.receiveHosts(now, from, c.GetRevision(), c.GetData(), sourceOf(hops))
	}
	t := &s.config
	if c.GetContent() == schema.ConfigChunk_HOSTS {
		t = &s.list
	}
	if !t.active || t.source != from || c.GetRevision() < t.revision {
		return nil
	}
	if !t.matches(c) {
		t.begin(c)
	}
	if t.chunks[c.GetIndex()] == nil {
		t.chunks[c.GetIndex()] = c.GetData()
		t.missing--
		t.tries = 0
	}
	return s.advance(now, t, from, int(c.GetIndex()))
}

func (t *transfer) matches(c *schema.ConfigChunk) bool {
	return t.got != nil && t.got.GetRevision() == c.GetRevision() && t.got.GetContent() == c.GetContent() && t.got.GetCount() == c.GetCount()
}

func (t *transfer) begin(c *schema.ConfigChunk) {
	t.got = &schema.ConfigChunk{Content: c.GetContent(), Revision: c.GetRevision(), Count: c.GetCount()}
	t.chunks = make([][]byte, c.GetCount())
	t.missing = int(c.GetCount())
	t.next = 0
}

// advance completes the transfer or asks for the next window at its end.
// Chunks missing before are asked for after the timeout, because datagrams
// change their order on the way.
func (s *Syncer) advance(now time.Time, t *transfer, from netip.AddrPort, index int) []Action {
	t.until = now.Add(chunkTimeout)
	for t.next < len(t.chunks) && t.chunks[t.next] != nil {
		t.next++
	}
	if t.missing == 0 {
		return s.complete(now, t, from)
	}
	if index != t.last {
		return nil
	}
	for i := index + 1; i < len(t.chunks); i++ {
		if t.chunks[i] == nil {
			return s.request(now, t, i)
		}
	}
	return nil
}

// complete decodes the content and hands it to its owner.
func (s *Syncer) complete(now time.Time, t *transfer, from netip.AddrPort) []Action {
	var data []byte
	for _, c := range t.chunks {
		data = append(data, c...)
	}
	got := t.got
	t.reset()
	switch got.GetContent() {
	case schema.ConfigChunk_HOSTS:
		return s.receiveHosts(now, from, got.GetRevision(), data, sourcePull)
	case schema.ConfigChunk_DELTA:
		d := &schema.ConfigDelta{}
		if err := proto.Unmarshal(data, d); err != nil {
			return s.undecodable(got, from, err)
		}
		return s.receiveDelta(now, from, hopPull, d)
	default:
		c := &schema.Config{}
		if err := proto.Unmarshal(data, c); err != nil {
			return s.undecodable(got, from, err)
		}
		return s.offerConfig(now, c, sourcePull, from)
	}
}

func (s *Syncer) undecodable(c *schema.ConfigChunk, from netip.AddrPort, err error) []Action {
	if s.join.phase != joined {
		s.join.failed[from] = true
	}
	return []Action{Rejected{Revision: c.GetRevision(), Decision: config.Invalid, From: from.String(), Err: err}}
}
