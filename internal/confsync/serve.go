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
	// bulkRate and bulkBurst bound what a process sends in chunks, in bytes a
	// second and bytes. A restarted process gets 6 MB in 3 s; over a day of
	// 3,200 restarts this is 4 bytes a second for each of 57,000 processes.
	bulkRate  = 2 << 20
	bulkBurst = 256 << 10
	// encodingTTL is how long an encoding is kept after its last use.
	encodingTTL = 5 * time.Second
	// sessionLimit bounds the peers that are served at the same time.
	sessionLimit = 64
)

// encoding is content being sent in chunks.
type encoding struct {
	content  schema.ConfigChunk_Content
	revision uint64
	from     uint64
	data     []byte
	used     time.Time
}

// session keeps a peer on the encoding with which its transfer began, so that
// a transfer longer than the time between two revisions completes.
type session struct {
	config *encoding
	list   *encoding
	used   time.Time
}

// encodings is the sending side of transfers.
type encodings struct {
	kept     []*encoding
	sessions map[netip.AddrPort]*session
	tokens   float64
	filled   time.Time
}

func (e *encodings) expire(now time.Time) {
	e.kept = slices.DeleteFunc(e.kept, func(x *encoding) bool { return now.Sub(x.used) > encodingTTL })
	for peer, x := range e.sessions {
		if now.Sub(x.used) > encodingTTL {
			delete(e.sessions, peer)
		}
	}
}

// take withdraws bytes from the bulk allowance.
func (e *encodings) take(now time.Time, size int) bool {
	e.tokens = min(bulkBurst, e.tokens+now.Sub(e.filled).Seconds()*bulkRate)
	e.filled = now
	if e.tokens < float64(size) {
		return false
	}
	e.tokens -= float64(size)
	return true
}

// receivePull answers with what the peer lacks.
func (s *Syncer) receivePull(now time.Time, from netip.AddrPort, p *schema.ConfigPull) []Action {
	s.lastHeard = now
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
	open := s.session(now, to)
	if open == nil {
		return nil
	}
	if p.GetFromChunk() == 0 || open.config == nil {
		open.config = s.encodeConfig(now, p.GetRevision(), current)
	}
	return s.sendWindow(now, to, open.config, p.GetFromChunk())
}

func (s *Syncer) serveHosts(now time.Time, to netip.AddrPort, p *schema.ConfigPull) []Action {
	open := s.session(now, to)
	if open == nil {
		return nil
	}
	if p.GetFromChunk() == 0 || open.list == nil {
		from := p.GetHostVersion()
		if _, ok := s.changesFrom(from); !ok {
			from = 0
		}
		open.list = s.encoding(now, schema.ConfigChunk_HOSTS, s.hosts.Version(), from, func() []byte {
			return s.encodeHosts(from)
		})
	}
	return s.sendWindow(now, to, open.list, p.GetFromChunk())
}

// session returns the state of a peer, or nil when too many are served.
func (s *Syncer) session(now time.Time, peer netip.AddrPort) *session {
	e := &s.serving
	open := e.sessions[peer]
	if open == nil {
		if len(e.sessions) >= sessionLimit {
			return nil
		}
		if e.sessions == nil {
			e.sessions = map[netip.AddrPort]*session{}
		}
		open = &session{}
		e.sessions[peer] = open
	}
	open.used = now
	return open
}

// encodeConfig returns the delta from a revision when it is known, otherwise
// the whole configuration. A snapshot orders its items, so that the chunks of
// two sources with the same revision fit together.
func (s *Syncer) encodeConfig(now time.Time, from uint64, current *config.Snapshot) *encoding {
	if d, ok := s.store.Delta(from); ok && from > 0 {
		return s.encoding(now, schema.ConfigChunk_DELTA, current.Revision(), from, func() []byte { return marshal(d) })
	}
	return s.encoding(now, schema.ConfigChunk_CONFIG, current.Revision(), 0, func() []byte {
		return marshal(current.Config())
	})
}

func (s *Syncer) encoding(now time.Time, content schema.ConfigChunk_Content, revision, from uint64, encode func() []byte) *encoding {
	for _, x := range s.serving.kept {
		if x.content == content && x.revision == revision && x.from == from {
			x.used = now
			return x
		}
	}
	x := &encoding{content: content, revision: revision, from: from, data: encode(), used: now}
	s.serving.kept = append(s.serving.kept, x)
	return x
}

func marshal(m proto.Message) []byte {
	data, err := proto.MarshalOptions{Deterministic: true}.Marshal(m)
	if err != nil {
		return nil
	}
	return data
}

// sendWindow sends up to a window of chunks, as far as the allowance permits;
// the receiver asks again for the rest.
func (s *Syncer) sendWindow(now time.Time, to netip.AddrPort, e *encoding, first uint32) []Action {
	count := (len(e.data) + chunkSize - 1) / chunkSize
	e.used = now
	var out []Action
	for i := int(first); i < count && i < int(first)+window; i++ {
		data := e.data[i*chunkSize : min((i+1)*chunkSize, len(e.data))]
		if !s.serving.take(now, len(data)) {
			return out
		}
		chunk := &schema.ConfigChunk{Content: e.content, Revision: e.revision, Index: uint32(i), Count: uint32(count), Data: data}
		out = append(out, Send{To: to, Frame: &schema.Frame{Hops: hopPull, Body: &schema.Frame_ConfigChunk{ConfigChunk: chunk}}})
	}
	return out
}
