// Package fragment transfers one request or answer in numbered pieces over a
// link that loses, duplicates and reorders packets. Both ends are state
// machines without clock or socket; the agent and the caller package share them.
package fragment

import (
	"time"

	"github.com/peridotstall/peridotstall/internal/wire"
)

const (
	// MaxMissing bounds the missing pieces listed in one acknowledgement. It is
	// twice MaxWindow, so that a list always reaches past the pieces in flight.
	MaxMissing = 2 * MaxWindow
	// MaxWindow and minWindow bound the pieces in flight.
	MaxWindow = 32
	minWindow = 4
	// firstTimeout is the wait before the first retransmission. It is above the
	// round trip between regions, so that a delayed packet is not sent twice.
	firstTimeout = 200 * time.Millisecond
	maxTimeout   = 1600 * time.Millisecond
	// reorderTolerance is the number of later pieces that must have arrived
	// before an earlier one counts as lost.
	reorderTolerance = 3
	// MaxSize is the largest request or answer, in bytes.
	MaxSize = wire.MaxFragment * wire.MaxFragments
)

// Count returns the number of pieces of a body; an empty body has one.
func Count(size int) int {
	return max(1, (size+wire.MaxFragment-1)/wire.MaxFragment)
}

type piece struct {
	sent  time.Time
	order uint64 // 0 while the piece is not in flight
	acked bool
}

// Sender transfers one body.
type Sender struct {
	data     []byte
	pieces   []piece
	first    int // all pieces before it are acknowledged
	next     int // first piece that was never sent
	inFlight int
	left     int
	window   int
	timeout  time.Duration
	order    uint64
	rounds   int
}

// NewSender returns a sender of a body of at most MaxSize bytes.
func NewSender(data []byte) *Sender {
	count := Count(len(data))
	return &Sender{
		data:    data,
		pieces:  make([]piece, count),
		left:    count,
		window:  MaxWindow,
		timeout: firstTimeout,
	}
}

// Count returns the number of pieces.
func (s *Sender) Count() uint32 {
	return uint32(len(s.pieces))
}

// Data returns the content of a piece.
func (s *Sender) Data(index uint32) []byte {
	start := int(index) * wire.MaxFragment
	end := min(start+wire.MaxFragment, len(s.data))
	return s.data[start:end]
}

// Whole reports whether every piece was acknowledged.
func (s *Sender) Whole() bool {
	return s.left == 0
}

// Rounds returns the number of timeouts since the last sign of progress.
func (s *Sender) Rounds() int {
	return s.rounds
}

// Take returns the pieces to send now and counts them as sent.
func (s *Sender) Take(now time.Time) []uint32 {
	s.expire(now)
	var out []uint32
	for i := s.first; i < len(s.pieces) && s.inFlight < s.window; i++ {
		p := &s.pieces[i]
		if p.acked || p.order != 0 {
			continue
		}
		s.order++
		p.order = s.order
		p.sent = now
		s.inFlight++
		s.next = max(s.next, i+1)
		out = append(out, uint32(i))
	}
	return out
}

// expire takes timed-out pieces out of flight. The timeout doubles and the
// window halves once per call, however many pieces timed out.
func (s *Sender) expire(now time.Time) {
	lost := false
	for i := s.first; i < s.next; i++ {
		p := &s.pieces[i]
		if p.order == 0 || now.Sub(p.sent) < s.timeout {
			continue
		}
		s.land(p)
		lost = true
	}
	if !lost {
		return
	}
	s.rounds++
	s.timeout = min(2*s.timeout, maxTimeout)
	s.window = max(s.window/2, minWindow)
}

func (s *Sender) land(p *piece) {
	if p.order == 0 {
		return
	}
	p.order = 0
	s.inFlight--
}

// Wake returns when a piece in flight times out; zero when nothing is in flight.
func (s *Sender) Wake() time.Time {
	var earliest time.Time
	for i := s.first; i < s.next; i++ {
		p := &s.pieces[i]
		if p.order == 0 {
			continue
		}
		if earliest.IsZero() || p.sent.Before(earliest) {
			earliest = p.sent
		}
	}
	if earliest.IsZero() {
		return earliest
	}
	return earliest.Add(s.timeout)
}

// Ack takes an acknowledgement. Pieces that are not listed were received, up to
// the last listed one when the list is full.
func (s *Sender) Ack(missing []uint32, whole bool) {
	absent := make(map[uint32]bool, len(missing))
	for _, index := range missing {
		absent[index] = true
	}
	end := s.next
	if len(missing) >= MaxMissing {
		end = min(end, int(missing[len(missing)-1]))
	}
	if !whole && len(missing) == 0 {
		return
	}
	if whole {
		absent = nil
		end = len(s.pieces)
	}
	latest, progress := s.mark(absent, end)
	if progress {
		s.rounds = 0
		s.timeout = firstTimeout
		s.window = min(s.window+1, MaxWindow)
	}
	s.markLost(latest)
}

// mark notes received pieces and returns the send order of the latest of them.
func (s *Sender) mark(absent map[uint32]bool, end int) (latest uint64, progress bool) {
	for i := s.first; i < end; i++ {
		p := &s.pieces[i]
		if p.acked || absent[uint32(i)] {
			continue
		}
		latest = max(latest, p.order)
		s.land(p)
		p.acked = true
		s.left--
		progress = true
	}
	for s.first < len(s.pieces) && s.pieces[s.first].acked {
		s.first++
	}
	return latest, progress
}

// markLost takes pieces out of flight that were overtaken by later ones.
func (s *Sender) markLost(latest uint64) {
	for i := s.first; i < s.next; i++ {
		p := &s.pieces[i]
		if p.order != 0 && p.order+reorderTolerance <= latest {
			s.land(p)
		}
	}
}
