package warmup

import "time"

// maxDelay is the time by which the ends of one warm-up differ, by entries that take a
// different time to arrive.
const maxDelay = 200 * time.Millisecond

// End is the end of a warm-up of an incarnation, by one of its entries.
type End struct {
	// At is the time from which the incarnation is warm.
	At time.Duration
	// Sequence is the number of the entry; 0 if it is not published.
	Sequence uint64
}

// EndOf returns the end that an entry which arrives now names.
func EndOf(now time.Duration, sequence uint64, left time.Duration) End {
	return End{now + left, sequence}
}

// Updated returns the end after an entry of the same incarnation arrived. A later entry
// replaces an earlier one: a target that had no work for a time may be cold again. Of several
// arrivals of one entry, and of several entries of one warm-up, the earliest end counts,
// because they differ by their delays. Entries without a number cannot be told apart, and each
// is believed.
func (e End) Updated(now time.Duration, sequence uint64, left time.Duration) End {
	next := EndOf(now, sequence, left)
	switch {
	case sequence == 0:
		return next
	case sequence > e.Sequence:
		if next.At > e.At && next.At-e.At <= maxDelay {
			next.At = e.At
		}
		return next
	case sequence == e.Sequence:
		e.At = min(e.At, next.At)
	}
	return e
}
