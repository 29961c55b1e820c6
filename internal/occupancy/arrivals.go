package occupancy

import (
	"math"
	"slices"
	"time"

	"github.com/peridotstall/peridotstall/internal/segment"
)

const (
	// maxArrivals bounds the requests of which a part has arrived.
	maxArrivals = 1 << 14
	// maxHoles bounds the parts of a request that are missing before its last byte that
	// arrived. A caller has at most 16 segments in flight.
	maxHoles = 16
)

// span is a part of a request, from an offset to the one after its last byte.
type span struct{ from, to int32 }

// arrival is a request of known size of which a part has arrived. Segments arrive in any
// order and more than once.
type arrival struct {
	// start is the sequence number of the request's first byte, size its size in bytes.
	start uint32
	size  int32
	// end is the offset after the last byte that has arrived, holes what is missing
	// before it, in order.
	end   int32
	holes []span
	// approximate is set if not all holes are known.
	approximate bool
	// since is the time of the first segment, lastAt that of the last one with new bytes.
	since, lastAt time.Duration
	// queuedAt is the time of the entry in Tracker.arrivalQueue.
	queuedAt time.Duration
}

// whole reports whether all bytes have arrived.
func (a *arrival) whole() bool { return a.end >= a.size && len(a.holes) == 0 }

// add records the data of a segment. It reports whether some of it is new.
func (a *arrival) add(head segment.Head) bool {
	from := max(int32(head.Sequence-a.start), 0)
	to := min(int32(head.DataEnd()-a.start), a.size)
	if from >= to {
		return false
	}
	added := a.fill(from, to)
	if to > a.end {
		if from > a.end {
			if len(a.holes) < maxHoles {
				a.holes = append(a.holes, span{a.end, from})
			} else {
				a.approximate = true
			}
		}
		a.end, added = to, true
	}
	return added
}

// fill removes a part from the holes. It reports whether any of it was missing.
func (a *arrival) fill(from, to int32) bool {
	filled := false
	for i := 0; i < len(a.holes); i++ {
		h := a.holes[i]
		if h.to <= from || h.from >= to {
			continue
		}
		filled = true
		var rest []span
		if h.from < from {
			rest = append(rest, span{h.from, from})
		}
		if h.to > to {
			rest = append(rest, span{to, h.to})
		}
		a.holes = slices.Replace(a.holes, i, i+1, rest...)
		i += len(rest) - 1
	}
	return filled
}

// dataDelivered records a segment with data of the caller.
func (t *Tracker) dataDelivered(now time.Duration, flow segment.Flow, s *flowState, head segment.Head, request []byte) {
	if !t.policy.WholeRequests || head.RequestSize < 0 || head.RequestSize > math.MaxInt32 {
		head.RequestSize = 0
	}
	repeated := s.retransmits(head)
	if !repeated {
		if s.acceptedAt != 0 {
			t.work.observeRoundTrip(now - s.acceptedAt)
			s.acceptedAt = 0
		}
		s.opening = false
		s.dataEnd, s.hasData = head.DataEnd(), true
	}
	a := t.arrivals[flow]
	s.arriving = s.arriving && a != nil
	switch {
	case s.arriving && (request == nil || head.Sequence == a.start):
		if a.add(head) {
			a.lastAt = now
		}
		if a.whole() {
			s.arrivedIn = now - a.since
			t.work.observeArrival(s.arrivedIn)
			t.requestDelivered(now, flow, s)
			s.multiSegment = a.approximate
			t.failures.expectAnswer(flow, now)
		}
	case t.beginsArrival(s, head, repeated):
		t.beginArrival(now, flow, s, head, request, repeated)
	case repeated:
	case request == nil && s.hasRequestEnd && int32(head.DataEnd()-s.requestEnd) <= 0:
		// The rest of a request that the target has answered already.
	default:
		if s.requestedAt == 0 || !s.held {
			t.requestDelivered(now, flow, s)
			s.arrivedIn = 0
		}
		if request != nil {
			s.request = segment.MakeRequestID(request)
			s.hasRequestEnd = false
			t.failures.expectAnswer(flow, now)
		} else {
			s.multiSegment = true
		}
	}
}

// requestDelivered records that a request has arrived: it takes or awaits a slot from now
// on.
func (t *Tracker) requestDelivered(now time.Duration, flow segment.Flow, s *flowState) {
	if s.requestedAt == 0 {
		t.endWithoutOutcome(s)
		t.begun = append(t.begun, flowAt{flow, now})
		t.warmup.Requested(now, s.countedAt)
		s.countedAt = 0
	}
	s.requestedAt, s.arriving = now, false
	s.countedFailed, s.multiSegment, s.outcomeDue, s.early = false, false, false, false
}

// beginsArrival reports whether a segment begins a request of known size that has not
// arrived as a whole. If the segment was overtaken or lost, the request counts as pending
// from the first segment on and its size becomes known only now.
func (t *Tracker) beginsArrival(s *flowState, head segment.Head, repeated bool) bool {
	end := head.Sequence + uint32(head.RequestSize)
	if head.RequestSize == 0 || int32(end-s.dataEnd) <= 0 || len(t.arrivals) >= maxArrivals {
		return false
	}
	return s.arriving || repeated == (s.requestedAt != 0) || !s.held
}

// beginArrival records the first part of a request.
func (t *Tracker) beginArrival(now time.Duration, flow segment.Flow, s *flowState, head segment.Head, request []byte, repeated bool) {
	a := &arrival{
		start: head.Sequence, size: int32(head.RequestSize), end: int32(s.dataEnd - head.Sequence),
		since: now, lastAt: now, queuedAt: now,
	}
	if s.requestedAt != 0 && repeated {
		// Of the segments that came before this one, only the last byte is known.
		a.since, a.approximate = s.requestedAt, a.end > int32(head.DataLength)
	}
	if s.requestedAt == 0 {
		t.endWithoutOutcome(s)
	}
	s.requestedAt, s.arriving, s.early, s.outcomeDue = 0, true, false, false
	s.request = segment.MakeRequestID(request)
	s.requestEnd, s.hasRequestEnd = head.Sequence+uint32(head.RequestSize), true
	t.arrivals[flow] = a
	t.arrivalQueue = append(t.arrivalQueue, flowAt{flow, now})
}

// endArrival ends a request that has not arrived as a whole. It returns the time since its
// first data.
func (t *Tracker) endArrival(now time.Duration, flow segment.Flow, s *flowState) time.Duration {
	s.arriving = false
	if a := t.arrivals[flow]; a != nil {
		return now - a.since
	}
	return 0
}

// expireArrivals ends requests of which no new byte has arrived for the given time. What
// follows of them counts like a request of unknown size.
func (t *Tracker) expireArrivals(now, limit time.Duration) {
	for len(t.arrivalQueue) > 0 && now-t.arrivalQueue[0].at >= limit {
		next := t.arrivalQueue[0]
		t.arrivalQueue = t.arrivalQueue[1:]
		a := t.arrivals[next.flow]
		switch {
		case a == nil || a.queuedAt != next.at:
		case now-a.lastAt < limit:
			a.queuedAt = now
			t.arrivalQueue = append(t.arrivalQueue, flowAt{next.flow, now})
		default:
			if s, known := t.flows.Get(next.flow); known {
				after := s
				after.arriving, after.hasRequestEnd = false, false
				t.update(now, next.flow, s, after)
			}
		}
	}
}

// Arriving returns the number of requests of which a part has arrived.
func (t *Tracker) Arriving() int { return len(t.arrivals) }

// Unfinished returns the number of openings and requests that the target may still
// answer, with those that are arriving.
func (t *Tracker) Unfinished() int { return t.pending + len(t.arrivals) }

// load returns the number of requests that stand before a new one: those that are
// pending, and of those that are arriving as many as the slots cannot serve in the time
// that a request takes to arrive.
func (t *Tracker) load() int {
	return t.pending + max(0, len(t.arrivals)-t.work.servedInArrival())
}
