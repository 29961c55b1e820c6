package confsync

import (
	"net/netip"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/peridotstall/peridotstall/internal/config"
	"github.com/peridotstall/peridotstall/internal/schema"
)

const (
	// chunkSize is the content of one chunk in bytes; with all headers, a chunk
	// fits into one Ethernet frame.
	chunkSize = 1200
	// chunkLimit is the largest number of chunks in a transfer. It allows 75 MB,
	// six times a configuration of 51,000 targets.
	chunkLimit = 1 << 16
	// windowChunks is the number of chunks sent in response to one pull. The
	// receiver pulls the next window, so the sender keeps no state about lost
	// chunks.
	windowChunks = 32
	// pullTimeout is the time after which a pull is repeated from the first
	// missing chunk. After pullAttempts pulls without progress the source changes.
	pullTimeout  = 300 * time.Millisecond
	pullAttempts = 3
	// chunkTimeout is the time after the last chunk after which a pull is
	// repeated: the rest of the window was lost or withheld by the rate limit of
	// the sender.
	chunkTimeout = 100 * time.Millisecond
)

// transfer is a configuration or host list being pulled.
type transfer struct {
	// content is CONFIG (also for deltas) or HOSTS.
	content schema.ConfigChunk_Content
	active  bool
	source  netip.AddrPort
	// revision is the revision or version that the source reported.
	revision uint64
	// header holds the content kind, revision and count of the chunks in chunks.
	header  *schema.ConfigChunk
	chunks  [][]byte
	missing int
	// next is the first missing chunk, last the end of the requested window.
	next     int
	last     int
	attempts int
	deadline time.Time
}

func (t *transfer) reset() {
	*t = transfer{content: t.content}
}

// pull starts a transfer unless one is running.
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

// request pulls a window of chunks from the source.
func (s *Syncer) request(now time.Time, t *transfer, from int) []Action {
	t.deadline = now.Add(pullTimeout)
	t.last = from + windowChunks - 1
	p := &schema.ConfigPull{Revision: notRequested, HostVersion: notRequested, FromChunk: uint32(from)}
	if t.content == schema.ConfigChunk_HOSTS {
		p.HostVersion = s.hosts.Version()
	} else {
		p.Revision = s.Revision()
	}
	return []Action{Send{To: t.source, Frame: &schema.Frame{Body: &schema.Frame_ConfigPull{ConfigPull: p}}}}
}

// tickTransfer repeats a pull without a response and replaces a source that does
// not respond.
func (s *Syncer) tickTransfer(now time.Time, t *transfer) []Action {
	if !t.active || now.Before(t.deadline) {
		return nil
	}
	t.attempts++
	if t.attempts < pullAttempts {
		return s.request(now, t, t.next)
	}
	if s.join.phase != joinDone {
		s.join.failed[t.source] = true
	}
	t.attempts = 0
	if !s.switchSource(t) {
		t.reset()
		return nil
	}
	return s.request(now, t, t.next)
}

// switchSource selects another peer that reported at least the revision. Chunks
// received so far are kept because every process encodes the content identically.
func (s *Syncer) switchSource(t *transfer) bool {
	failed := t.source
	for i := range s.peerRevisions {
		if s.peerRevisions[i].from == failed {
			s.peerRevisions[i] = peerRevision{}
		}
	}
	for _, i := range s.rng.Perm(len(s.peerRevisions)) {
		c := s.peerRevisions[i]
		reported := c.revision
		if t.content == schema.ConfigChunk_HOSTS {
			reported = c.version
		}
		if reported >= t.revision && c.from != failed {
			t.source = c.from
			return true
		}
	}
	return false
}

// receiveChunk handles a chunk of a transfer, or a host list in one chunk, which
// may also have been pushed along the tree.
func (s *Syncer) receiveChunk(now time.Time, from netip.AddrPort, hops uint32, c *schema.ConfigChunk) []Action {
	if c.GetCount() == 0 || c.GetCount() > chunkLimit || c.GetIndex() >= c.GetCount() {
		return nil
	}
	if c.GetContent() == schema.ConfigChunk_HOSTS && c.GetCount() == 1 {
		s.lastReceived = now
		return s.receiveHosts(now, from, c.GetRevision(), c.GetData(), originOf(hops))
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
		t.attempts = 0
	}
	return s.advance(now, t, from, int(c.GetIndex()))
}

func (t *transfer) matches(c *schema.ConfigChunk) bool {
	return t.header != nil && t.header.GetRevision() == c.GetRevision() && t.header.GetContent() == c.GetContent() && t.header.GetCount() == c.GetCount()
}

func (t *transfer) begin(c *schema.ConfigChunk) {
	t.header = &schema.ConfigChunk{Content: c.GetContent(), Revision: c.GetRevision(), Count: c.GetCount()}
	t.chunks = make([][]byte, c.GetCount())
	t.missing = int(c.GetCount())
	t.next = 0
}

// advance completes the transfer, or pulls the next window at the end of the
// current one. Chunks missing in the current window are pulled after the timeout,
// because datagrams may be reordered on the way.
func (s *Syncer) advance(now time.Time, t *transfer, from netip.AddrPort, index int) []Action {
	t.deadline = now.Add(chunkTimeout)
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

// complete decodes the content and applies it.
func (s *Syncer) complete(now time.Time, t *transfer, from netip.AddrPort) []Action {
	var data []byte
	for _, c := range t.chunks {
		data = append(data, c...)
	}
	got := t.header
	t.reset()
	switch got.GetContent() {
	case schema.ConfigChunk_HOSTS:
		return s.receiveHosts(now, from, got.GetRevision(), data, originPull)
	case schema.ConfigChunk_DELTA:
		d := &schema.ConfigDelta{}
		if err := proto.Unmarshal(data, d); err != nil {
			return s.rejectUndecodable(got, from, err)
		}
		return s.receiveDelta(now, from, hopPull, d)
	default:
		c := &schema.Config{}
		if err := proto.Unmarshal(data, c); err != nil {
			return s.rejectUndecodable(got, from, err)
		}
		return s.offerConfig(now, c, originPull, from)
	}
}

func (s *Syncer) rejectUndecodable(c *schema.ConfigChunk, from netip.AddrPort, err error) []Action {
	if s.join.phase != joinDone {
		s.join.failed[from] = true
	}
	return []Action{Rejected{Revision: c.GetRevision(), Decision: config.Invalid, From: from.String(), Err: err}}
}
