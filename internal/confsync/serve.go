package confsync

import (
	"net/netip"
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/peridotstall/peridotstall/internal/config"
	"github.com/peridotstall/peridotstall/internal/schema"
)

const (
	// bulkRate, in bytes per second, and bulkBurst, in bytes, bound the chunks
	// that a process sends. A restarted process gets 6 MB in 3 s; averaged over a
	// day with 3,200 restarts this is 4 bytes per second for each of 57,000
	// processes.
	bulkRate  = 2 << 20
	bulkBurst = 256 << 10
	// encodingTTL is how long an encoding or session is kept after its last use.
	encodingTTL = 5 * time.Second
	// sessionLimit bounds the peers that are served at the same time.
	sessionLimit = 64
)

// encoding is content that is sent in chunks.
type encoding struct {
	content  schema.ConfigChunk_Content
	revision uint64
	from     uint64
	data     []byte
	lastUsed time.Time
}

// session ties a peer to the encoding with which its transfer began, so that a
// transfer longer than the time between two revisions completes.
type session struct {
	config   *encoding
	list     *encoding
	lastUsed time.Time
}

// encodings is the sending side of transfers.
type encodings struct {
	cached     []*encoding
	sessions   map[netip.AddrPort]*session
	tokens     float64
	refilledAt time.Time
}

func (e *encodings) expire(now time.Time) {
	e.cached = slices.DeleteFunc(e.cached, func(x *encoding) bool { return now.Sub(x.lastUsed) > encodingTTL })
	for peer, x := range e.sessions {
		if now.Sub(x.lastUsed) > encodingTTL {
			delete(e.sessions, peer)
		}
	}
}

// takeTokens takes size bytes from the rate limit and reports whether they were
// available.
func (e *encodings) takeTokens(now time.Time, size int) bool {
	e.tokens = min(bulkBurst, e.tokens+now.Sub(e.refilledAt).Seconds()*bulkRate)
	e.refilledAt = now
	if e.tokens < float64(size) {
		return false
	}
	e.tokens -= float64(size)
	return true
}

// receivePull sends the peer the requested content that is newer than its own.
func (s *Syncer) receivePull(now time.Time, from netip.AddrPort, p *schema.ConfigPull) []Action {
	s.lastReceived = now
	var out []Action
	if current := s.store.Current(); current != nil && p.GetRevision() < current.Revision() {
		out = append(out, s.serveConfig(now, from, p, current)...)
	}
	if s.hosts != nil && p.GetHostVersion() < s.hosts.Version() {
		out = append(out, s.serveHosts(now, from, p)...)
	}
	return out
}

func (s *Syncer) serveConfig(now time.Time, to netip.AddrPort, p *schema.ConfigPull, current *config.Snapshot) []Action {
	if p.GetFromChunk() == 0 {
		if frame := s.deltaFrame(p.GetRevision(), hopPull); frame != nil {
			return []Action{Send{To: to, Frame: frame}}
		}
	}
	session := s.session(now, to)
	if session == nil {
		return nil
	}
	if p.GetFromChunk() == 0 || session.config == nil {
		session.config = s.encodeConfig(now, p.GetRevision(), current)
	}
	return s.sendWindow(now, to, session.config, p.GetFromChunk())
}

func (s *Syncer) serveHosts(now time.Time, to netip.AddrPort, p *schema.ConfigPull) []Action {
	session := s.session(now, to)
	if session == nil {
		return nil
	}
	if p.GetFromChunk() == 0 || session.list == nil {
		from := p.GetHostVersion()
		if _, ok := s.changesFrom(from); !ok {
			from = 0
		}
		session.list = s.encoding(now, schema.ConfigChunk_HOSTS, s.hosts.Version(), from, func() []byte {
			return s.encodeHosts(from)
		})
	}
	return s.sendWindow(now, to, session.list, p.GetFromChunk())
}

// session returns the session of a peer, or nil when too many peers are served.
func (s *Syncer) session(now time.Time, peer netip.AddrPort) *session {
	e := &s.serving
	peerSession := e.sessions[peer]
	if peerSession == nil {
		if len(e.sessions) >= sessionLimit {
			return nil
		}
		if e.sessions == nil {
			e.sessions = map[netip.AddrPort]*session{}
		}
		peerSession = &session{}
		e.sessions[peer] = peerSession
	}
	peerSession.lastUsed = now
	return peerSession
}

// encodeConfig returns the encoding of the delta from a revision if the store has
// it, otherwise that of the full configuration. A snapshot orders its items, so
// that the chunks of two sources with the same revision fit together.
func (s *Syncer) encodeConfig(now time.Time, from uint64, current *config.Snapshot) *encoding {
	if d, ok := s.store.Delta(from); ok && from > 0 {
		return s.encoding(now, schema.ConfigChunk_DELTA, current.Revision(), from, func() []byte { return marshal(d) })
	}
	return s.encoding(now, schema.ConfigChunk_CONFIG, current.Revision(), 0, func() []byte {
		return marshal(current.Config())
	})
}

func (s *Syncer) encoding(now time.Time, content schema.ConfigChunk_Content, revision, from uint64, encode func() []byte) *encoding {
	for _, x := range s.serving.cached {
		if x.content == content && x.revision == revision && x.from == from {
			x.lastUsed = now
			return x
		}
	}
	x := &encoding{content: content, revision: revision, from: from, data: encode(), lastUsed: now}
	s.serving.cached = append(s.serving.cached, x)
	return x
}

func marshal(m proto.Message) []byte {
	data, err := proto.MarshalOptions{Deterministic: true}.Marshal(m)
	if err != nil {
		return nil
	}
	return data
}

// sendWindow sends up to a window of chunks within the rate limit; the receiver
// pulls the rest again.
func (s *Syncer) sendWindow(now time.Time, to netip.AddrPort, e *encoding, first uint32) []Action {
	count := (len(e.data) + chunkSize - 1) / chunkSize
	e.lastUsed = now
	var out []Action
	for i := int(first); i < count && i < int(first)+windowChunks; i++ {
		data := e.data[i*chunkSize : min((i+1)*chunkSize, len(e.data))]
		if !s.serving.takeTokens(now, len(data)) {
			return out
		}
		chunk := &schema.ConfigChunk{Content: e.content, Revision: e.revision, Index: uint32(i), Count: uint32(count), Data: data}
		out = append(out, Send{To: to, Frame: &schema.Frame{Hops: hopPull, Body: &schema.Frame_ConfigChunk{ConfigChunk: chunk}}})
	}
	return out
}
