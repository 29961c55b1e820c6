package occupancy

import (
	"time"

	"github.com/peridotstall/peridotstall/internal/segment"
)

const (
	// serviceMargin is the number of mean service times that an opening needs besides its
	// wait: service times vary, and an answer after the objective is of little use.
	serviceMargin = 1.5
	// excludedWaitShare is the share of their longest wait up to which openings above the
	// admission level are taken, so that the target does not idle for them.
	excludedWaitShare = 0.25
	// maxQueuePerSlot is the number of waiting requests per slot from which openings
	// without an objective are refused, maxLoadRetries the number of refusals after which
	// a target takes them even if it is busy.
	maxQueuePerSlot = 1.0
	maxLoadRetries  = 2
	// assumedServiceShare is the share of an opening's budget that is assumed as the
	// service time until the first answer.
	assumedServiceShare = 0.2
)

// Policy selects the mechanisms of admission. It exists so that the worth of each can be
// measured; all are in use otherwise.
type Policy struct {
	// ByTime refuses openings whose expected answer is later than their budget. Without
	// it, openings are refused by the number of waiting requests per slot.
	ByTime bool
	// LateToFreeSlots takes openings whose budget is used up only while a slot is free.
	LateToFreeSlots bool
	// Level takes only openings up to an admission level while many requests wait.
	Level bool
	// LearnShed refuses openings when the target is expected to shed them.
	LearnShed bool
	// Wait lets openings that balancers give leave to wait do so within their patience.
	Wait bool
	// WholeRequests counts requests of known size from their last byte. Without it, all
	// requests count from their first segment.
	WholeRequests bool
	// MeasuredOpenings lets unused openings expire after a few measured round trips.
	// Without it, they expire after openingTTL.
	MeasuredOpenings bool
}

// DefaultPolicy returns the policy with all mechanisms.
func DefaultPolicy() Policy {
	return Policy{
		ByTime: true, LateToFreeSlots: true, Level: true, LearnShed: true,
		WholeRequests: true, MeasuredOpenings: true, Wait: true,
	}
}

// busy reports whether an opening is refused because of the load of the target. An
// opening that finds a free slot is always taken.
func (t *Tracker) busy(now time.Duration, mark segment.Mark, caller segment.Endpoint) bool {
	w := &t.work
	switch {
	case w.slots == 0 || t.load() < w.slots:
		return false
	case mark.Late && t.policy.LateToFreeSlots:
		return true
	case t.policy.LearnShed && w.sheds(now, t.load()):
		return true
	case !t.policy.ByTime || mark.Budget == 0:
		return mark.Attempt < maxLoadRetries && float64(t.load()) >= float64(w.slots)*(1+maxQueuePerSlot)
	}
	wait, longest := t.waits(mark.Budget)
	if t.policy.Level && t.level.excludes(mark.Priority, caller) {
		longest = time.Duration(excludedWaitShare * float64(longest))
	}
	return wait > longest
}

// waits returns the expected wait of an opening that arrives now, and the longest one with
// which its answer is expected within its budget.
func (t *Tracker) waits(budget time.Duration) (expected, longest time.Duration) {
	w := t.work
	if w.service == 0 {
		w.service = time.Duration(assumedServiceShare * float64(budget))
	}
	return w.expectedWait(t.load()), budget - 2*w.roundTrip - time.Duration(serviceMargin*float64(w.service))
}

// ExpectedWait returns the expected wait of a request whose opening arrives now.
func (t *Tracker) ExpectedWait() time.Duration { return t.work.expectedWait(t.load()) }

// ServiceTime returns the mean service time of the target; 0 before its first answer.
func (t *Tracker) ServiceTime() time.Duration { return t.work.service }
