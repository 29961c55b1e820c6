// Package warmup limits the requests of a cold target: one that has just started, or had no
// work for a time. It does no I/O and is not safe for concurrent use; times are monotonic
// times since the start of the process.
package warmup

import (
	"math"
	"time"
)

// span is the time over which the rate of a target is counted.
const span = time.Second

// Window counts events in a sliding window. At most as many as the limit are taken in any
// closed interval of the length of the period, wherever it begins.
type Window struct {
	// events holds the times of the last events, the oldest one at index oldest. There are
	// more than the limit, so that events which cannot be refused are seen above it.
	events []time.Duration
	oldest int
	limit  int
	period time.Duration
	// since is the time up to which events are assumed: nothing is known of them.
	since time.Duration
}

// newWindow returns a window that starts full: any number of events may have happened up
// to now.
func newWindow(now time.Duration, limit, held int, period time.Duration) Window {
	w := Window{events: make([]time.Duration, max(held, limit)), limit: limit, period: period, since: now}
	for i := range w.events {
		w.events[i] = now
	}
	return w
}

// limitOf returns the number of events in a period that stands for a rate per second. A
// rate below 1 has a period above a second.
func limitOf(rate float64) (limit int, period time.Duration) {
	if rate < 1 {
		return 1, time.Duration(math.Ceil(float64(span) / rate))
	}
	return int(rate), span
}

// at returns the time of the event with an index in order of time.
func (w *Window) at(i int) *time.Duration { return &w.events[(w.oldest+i)%len(w.events)] }

// within reports whether an event and the time now lie in one closed period.
func (w *Window) within(event, now time.Duration) bool { return now-event <= w.period }

// Take records an event if the limit allows it, and reports whether it did.
func (w *Window) Take(now time.Duration) bool {
	if w.within(*w.at(len(w.events) - w.limit), now) {
		return false
	}
	w.Add(now)
	return true
}

// Add records an event that cannot be refused.
func (w *Window) Add(now time.Duration) {
	w.events[w.oldest] = now
	w.oldest = (w.oldest + 1) % len(w.events)
}

// Move records now an event that has been counted at an earlier time. It counts as a
// further one if it is not held any more.
func (w *Window) Move(from, now time.Duration) {
	last := len(w.events) - 1
	for i := last; i >= 0 && *w.at(i) >= from; i-- {
		if *w.at(i) != from {
			continue
		}
		for ; i < last; i++ {
			*w.at(i) = *w.at(i + 1)
		}
		*w.at(last) = now
		return
	}
	w.Add(now)
}

// Left returns the number of events that the limit allows now.
func (w *Window) Left(now time.Duration) int {
	left := w.limit
	for i := len(w.events) - 1; left > 0 && w.within(*w.at(i), now); i-- {
		left--
	}
	return left
}

// Count returns the number of events in the second up to now, at most as many as are held.
// Assumed ones do not count.
func (w *Window) Count(now time.Duration) int {
	count := 0
	for i := len(w.events) - 1; i >= 0 && now-*w.at(i) <= span && *w.at(i) > w.since; i-- {
		count++
	}
	return count
}

// resize changes the limit, the number of events that are held and the period. Events that
// were not held are assumed to be as late as the oldest one that was.
func (w *Window) resize(limit, held int, period time.Duration) {
	resized := newWindow(*w.at(0), limit, held, period)
	resized.since = max(resized.since, w.since)
	known := min(len(resized.events), len(w.events))
	for i := range known {
		resized.events[len(resized.events)-known+i] = *w.at(len(w.events) - known + i)
	}
	if known < len(w.events) {
		resized.since = w.since
	}
	*w = resized
}
