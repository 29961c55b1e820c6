// Package fragment transfers a request or an answer in numbered fragments over a
// link that may lose, duplicate and reorder packets. Sender and Receiver are state
// machines that read no clock and open no socket; agents and the caller package
// use both.
package fragment

import (
	"time"

	"github.com/peridotstall/peridotstall/internal/wire"
)

const (
	// MaxMissing limits the missing fragments listed in one acknowledgement. It is
	// twice MaxWindow, so that a full list always reaches past the fragments in
	// flight.
	MaxMissing = 2 * MaxWindow
	// MaxWindow and minWindow limit the window, the number of fragments that can
	// be in flight.
	MaxWindow = 32
	minWindow = 4
	// initialRetransmitTimeout is the time before the first retransmission of a
	// fragment. It is longer than the round trip between regions, so that a delayed
	// packet is not sent twice.
	initialRetransmitTimeout = 200 * time.Millisecond
	maxRetransmitTimeout     = 1600 * time.Millisecond
	// reorderTolerance is the distance in the order of sending to an acknowledged
	// later fragment at which an earlier one counts as lost.
	reorderTolerance = 3
	// MaxSize is the largest request or answer, in bytes.
	MaxSize = wire.MaxFragment * wire.MaxFragments
)

// Count returns the number of fragments of a body of size bytes. An empty body has
// one fragment.
func Count(size int) int {
	return max(1, (size+wire.MaxFragment-1)/wire.MaxFragment)
}

type fragmentState struct {
	sentAt    time.Time
	sendOrder uint64 // position in the order of sending; 0 while not in flight
	acked     bool
}

// Sender sends one body in fragments.
type Sender struct {
	data              []byte
	fragments         []fragmentState
	firstUnacked      int // every fragment before this index is acknowledged
	nextUnsent        int // lowest index that was never sent
	inFlight          int
	unacked           int
	window            int
	retransmitTimeout time.Duration
	lastOrder         uint64
	timeouts          int
}

// NewSender returns a sender of a body of at most MaxSize bytes.
func NewSender(data []byte) *Sender {
	count := Count(len(data))
	return &Sender{
		data:              data,
		fragments:         make([]fragmentState, count),
		unacked:           count,
		window:            MaxWindow,
		retransmitTimeout: initialRetransmitTimeout,
	}
}

// Count returns the number of fragments.
func (s *Sender) Count() uint32 {
	return uint32(len(s.fragments))
}

// Data returns the content of a fragment.
func (s *Sender) Data(index uint32) []byte {
	start := int(index) * wire.MaxFragment
	end := min(start+wire.MaxFragment, len(s.data))
	return s.data[start:end]
}

// Complete reports whether every fragment was acknowledged.
func (s *Sender) Complete() bool {
	return s.unacked == 0
}

// Timeouts returns the number of timeouts since a fragment was last newly
// acknowledged.
func (s *Sender) Timeouts() int {
	return s.timeouts
}

// NextFragments returns the indexes of the fragments to send now and marks them as
// in flight.
func (s *Sender) NextFragments(now time.Time) []uint32 {
	s.expireTimedOut(now)
	var out []uint32
	for i := s.firstUnacked; i < len(s.fragments) && s.inFlight < s.window; i++ {
		f := &s.fragments[i]
		if f.acked || f.sendOrder != 0 {
			continue
		}
		s.lastOrder++
		f.sendOrder = s.lastOrder
		f.sentAt = now
		s.inFlight++
		s.nextUnsent = max(s.nextUnsent, i+1)
		out = append(out, uint32(i))
	}
	return out
}

// expireTimedOut removes fragments that timed out from flight. The timeout doubles
// and the window halves once per call, regardless of how many fragments timed out.
func (s *Sender) expireTimedOut(now time.Time) {
	lost := false
	for i := s.firstUnacked; i < s.nextUnsent; i++ {
		f := &s.fragments[i]
		if f.sendOrder == 0 || now.Sub(f.sentAt) < s.retransmitTimeout {
			continue
		}
		s.removeFromFlight(f)
		lost = true
	}
	if !lost {
		return
	}
	s.timeouts++
	s.retransmitTimeout = min(2*s.retransmitTimeout, maxRetransmitTimeout)
	s.window = max(s.window/2, minWindow)
}

func (s *Sender) removeFromFlight(f *fragmentState) {
	if f.sendOrder == 0 {
		return
	}
	f.sendOrder = 0
	s.inFlight--
}

// NextTimeout returns the time of the next timeout of a fragment in flight, or the
// zero time when nothing is in flight.
func (s *Sender) NextTimeout() time.Time {
	var earliest time.Time
	for i := s.firstUnacked; i < s.nextUnsent; i++ {
		f := &s.fragments[i]
		if f.sendOrder == 0 {
			continue
		}
		if earliest.IsZero() || f.sentAt.Before(earliest) {
			earliest = f.sentAt
		}
	}
	if earliest.IsZero() {
		return earliest
	}
	return earliest.Add(s.retransmitTimeout)
}

// Ack processes an acknowledgement. Fragments that are not in missing were
// received; if missing is full, this applies only up to its last entry.
func (s *Sender) Ack(missing []uint32, complete bool) {
	missingSet := make(map[uint32]bool, len(missing))
	for _, index := range missing {
		missingSet[index] = true
	}
	end := s.nextUnsent
	if len(missing) >= MaxMissing {
		end = min(end, int(missing[len(missing)-1]))
	}
	if !complete && len(missing) == 0 {
		return
	}
	if complete {
		missingSet = nil
		end = len(s.fragments)
	}
	latest, progress := s.markAcked(missingSet, end)
	if progress {
		s.timeouts = 0
		s.retransmitTimeout = initialRetransmitTimeout
		s.window = min(s.window+1, MaxWindow)
	}
	s.markLost(latest)
}

// markAcked marks received fragments as acknowledged. It returns the highest send
// order among them and whether any fragment was newly acknowledged.
func (s *Sender) markAcked(missing map[uint32]bool, end int) (latest uint64, progress bool) {
	for i := s.firstUnacked; i < end; i++ {
		f := &s.fragments[i]
		if f.acked || missing[uint32(i)] {
			continue
		}
		latest = max(latest, f.sendOrder)
		s.removeFromFlight(f)
		f.acked = true
		s.unacked--
		progress = true
	}
	for s.firstUnacked < len(s.fragments) && s.fragments[s.firstUnacked].acked {
		s.firstUnacked++
	}
	return latest, progress
}

// markLost removes fragments from flight that were overtaken by later ones.
func (s *Sender) markLost(latest uint64) {
	for i := s.firstUnacked; i < s.nextUnsent; i++ {
		f := &s.fragments[i]
		if f.sendOrder != 0 && f.sendOrder+reorderTolerance <= latest {
			s.removeFromFlight(f)
		}
	}
}
