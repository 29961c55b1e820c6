package steering

import (
	"time"

	"github.com/peridotstall/peridotstall/internal/registry"
	"github.com/peridotstall/peridotstall/internal/segment"
)

const (
	// maxWaitingReportAge is the age of the last report above which a waiting opening is
	// taken for lost with its agent: two intervals of reports, and a late one.
	maxWaitingReportAge = 450 * time.Millisecond
	// copyInterval is the time after which a caller sends the first retransmission of an
	// opening. Each further one takes twice as long, up to maxDoublings times.
	copyInterval = 200 * time.Millisecond
	maxDoublings = 3
	// copyMargin bounds the delays of links between a caller and a target.
	copyMargin = 50 * time.Millisecond
)

// resetWindow returns the time after a copy of an opening in which no target has got the next
// one.
func resetWindow(copyNumber uint32) time.Duration {
	return copyInterval<<min(copyNumber, maxDoublings) - copyMargin
}

// addQuote records the time in which a target that refused an opening expects to answer it;
// 0 is none.
func (s *search) addQuote(t *Target, quote time.Duration) {
	if t == nil || quote == 0 || s.quoted != nil && s.quote <= quote {
		return
	}
	s.quoted, s.quote = t, quote
}

// letWait sends an opening that several targets refused because of their load once more to
// the one that expects to answer it first, with leave to wait there. It ends the opening if
// none can answer it within its patience.
func (e *Engine) letWait(now time.Duration, flow segment.Flow, route *registry.Route, head segment.Head, s *search, r record, reason Reason) Verdict {
	t := s.quoted
	if !e.policy.Wait || s.mayWait || t == nil || !t.acceptsFlows() || e.shouldAvoid(now, t) || s.quote > patience(route, head) {
		return e.refuseOpening(now, flow, r, reason)
	}
	s.mayWait, s.waited, s.quoted = true, true, nil
	s.readmit(t)
	v := e.forwardOpening(now, Retried, flow, route, t, head)
	v.MayWait = true
	return e.retryOpening(v, flow, head, s, r, t)
}

// forwardWaiting sends a copy of a waiting opening to the agent at which it waits. The agent
// knows whether it still does; the acceptance may be lost.
func (e *Engine) forwardWaiting(now time.Duration, flow segment.Flow, route *registry.Route, head segment.Head, r record) Verdict {
	r.openings = max(r.openings, head.Copy+1)
	e.records.Put(flow, r)
	if s := e.searches[flow]; s != nil {
		s.include(r.target)
	}
	v := e.forwardOpening(now, Waiting, flow, route, r.target, head)
	v.MayWait = true
	return v
}

// SetWaiting records that an opening waits at the agent of a target.
func (e *Engine) SetWaiting(flow segment.Flow, t *Target) {
	if r, known := e.records.Get(flow); known && r.target == t {
		r.waits = true
		e.records.Put(flow, r)
	}
}

// holdsWaiting reports whether an opening that waits at the agent of the target is still
// there, as far as reports say.
func (t *Target) holdsWaiting(now time.Duration) bool {
	return t.acceptsFlows() && t.load.waiting.Load() > 0 && t.ReportAge(now) <= maxWaitingReportAge && !t.load.leaving.Load()
}

// hasFreeSlot reports whether the last report and the openings sent since leave a slot free.
func (t *Target) hasFreeSlot() bool {
	return t.Reported() && float64(t.load.pending.Load()+t.openingsSent) < t.slots()
}
