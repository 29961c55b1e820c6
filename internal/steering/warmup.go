package steering

import (
	"sync/atomic"
	"time"

	"github.com/peridotstall/peridotstall/internal/registry"
	"github.com/peridotstall/peridotstall/internal/segment"
	"github.com/peridotstall/peridotstall/internal/warmup"
)

// warmupState is what a balancer knows of the warm-up of a target. The control task writes
// it and the engine reads it.
type warmupState struct {
	// until is the time from which the target is warm, by the entry of the number sequence;
	// known is set once there is one. Only NewView uses known.
	until    atomic.Int64
	sequence atomic.Uint64
	known    bool
	// coldUntilPublished is set if the entry says that the target is cold, without a time.
	coldUntilPublished atomic.Bool
	// rateMilli is the number of requests that a cold target takes in 1,000 seconds; 0 for
	// no limit.
	rateMilli atomic.Uint64
	// exhausted is the number of the report after which the agent refused an opening
	// because of the limit, plus 1. Only the engine uses it.
	exhausted uint32
}

// setWarmup records the warm-up of a target as of its entry and the configuration.
func (t *Target) setWarmup(now time.Duration, info *registry.Target, limit registry.Warmup) {
	left, sequence := info.WarmupLeft, info.Sequence
	if limit.Duration > 0 {
		left = min(left, limit.Duration)
	}
	if info.Born == 0 {
		sequence = 0
	}
	end := warmup.End{At: time.Duration(t.warmup.until.Load()), Sequence: t.warmup.sequence.Load()}
	if t.warmup.known {
		end = end.Updated(now, sequence, left)
	} else {
		end = warmup.EndOf(now, sequence, left)
	}
	t.warmup.known = true
	t.warmup.until.Store(int64(end.At))
	t.warmup.sequence.Store(end.Sequence)
	t.warmup.coldUntilPublished.Store(info.Cold && info.WarmupLeft == 0)
	rate := uint64(limit.Rate * 1000)
	if rate == 0 && limit.Rate > 0 {
		rate = 1
	}
	t.warmup.rateMilli.Store(rate)
}

// Cold reports whether the target is warming up.
func (t *Target) Cold(now time.Duration) bool {
	return t.WarmupLeft(now) > 0 || t.warmup.coldUntilPublished.Load()
}

// WarmupLeft returns the time until the target is warm; 0 if it is, or if the time is not
// known.
func (t *Target) WarmupLeft(now time.Duration) time.Duration {
	return max(time.Duration(t.warmup.until.Load())-now, 0)
}

// WarmupRateMilli returns the number of requests that the target takes in 1,000 seconds
// while it is cold; 0 for no limit.
func (t *Target) WarmupRateMilli() uint64 { return t.warmup.rateMilli.Load() }

// WarmupSequence returns the number of the entry that the time is from; 0 if unknown.
func (t *Target) WarmupSequence() uint64 { return t.warmup.sequence.Load() }

// WarmupUnknown reports whether the target is cold and limited, and its agent has not
// reported that it knows.
func (t *Target) WarmupUnknown(now time.Duration) bool {
	return t.limited(now) && t.load.warmupCredit.Load() == 0
}

// limited reports whether the target takes a limited number of openings.
func (t *Target) limited(now time.Duration) bool {
	return t.WarmupRateMilli() > 0 && t.WarmupLeft(now) > 0
}

// hasCredit reports whether the target may take an opening: it is warm or has no limit, or
// the credit of its last report is not used up. The agent decides in the end: other
// balancers use the same credit, and its window may have more room by now.
func (t *Target) hasCredit(now time.Duration) bool {
	if !t.limited(now) {
		return true
	}
	t.countReports()
	credit := t.load.warmupCredit.Load()
	return t.warmup.exhausted != t.openingsReport+1 && (credit == 0 || t.openingsSent+1 < credit)
}

// countReports begins a new count of the openings sent when a report has arrived.
func (t *Target) countReports() {
	if reports := t.load.reportCount.Load(); reports != t.openingsReport {
		t.openingsReport, t.openingsSent = reports, 0
	}
}

// refusedWarmup records that the agent of a target returned an opening whose target was
// cold, because of its limit.
func (t *Target) refusedWarmup() {
	t.countReports()
	t.warmup.exhausted = t.openingsReport + 1
}

// awaitWarmup decides on an opening that only cold targets without credit may take. The
// first copy waits for credit until the caller sends the next one, for which it is refused:
// an earlier reset would use up the caller's tries within milliseconds.
func (e *Engine) awaitWarmup(now time.Duration, flow segment.Flow, r record, head segment.Head) Verdict {
	if head.Copy == 0 {
		return Verdict{Reason: WarmingUp, Flow: flow}
	}
	return e.refuseOpening(now, flow, r, WarmingUp)
}
