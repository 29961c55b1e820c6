package steering

import (
	"math"
	"net/netip"
	"slices"
	"time"

	"github.com/peridotstall/peridotstall/internal/registry"
	"github.com/peridotstall/peridotstall/internal/segment"
)

// placeOpening decides on an opening from a caller.
func (e *Engine) placeOpening(now time.Duration, flow segment.Flow, head segment.Head) Verdict {
	route := e.view.routes[flow.Service]
	if route == nil {
		if !e.confirmed {
			return Verdict{Reason: NoRoute, Flow: flow}
		}
		return Verdict{Action: Reset, Reason: NoRoute, Flow: flow}
	}
	r, known := e.records.Get(flow)
	if known && head.Copy < r.openings && r.target != nil && r.target.acceptsFlows() {
		// The network duplicated the segment, or the caller uses the port again.
		return e.forwardOpening(now, Opened, flow, route, r.target, head)
	}
	if s := e.searches[flow]; s != nil {
		s.copyAt = now
	}
	if !known && head.Copy == 0 && e.shouldDivert(now, flow) {
		return Verdict{Action: Reset, Reason: Diverted, Flow: flow}
	}
	if route.Timeout > 0 && head.Age >= route.Timeout {
		return e.refuseOpening(now, flow, r, Expired)
	}
	service := route.Service(flow.Hash())
	if now-e.viewSince < firstReportTimeout && !e.anyReported(service) {
		return Verdict{Action: Wait, Reason: Unreported, Flow: flow}
	}
	t := e.choose(now, service, flow, func(t *Target) bool { return t == r.target })
	if t == nil && e.allEvacuated(service) {
		if !e.confirmed {
			return Verdict{Reason: Evacuated, Flow: flow}
		}
		return e.refuseOpening(now, flow, r, Evacuated)
	}
	var withdraw *Target
	if r.waits && r.target.holdsWaiting(now) {
		if t == nil || !t.hasFreeSlot() {
			return e.forwardWaiting(now, flow, route, head, r)
		}
		withdraw = r.target
	}
	if t == nil && r.target != nil && !r.target.evacuated.Load() {
		t = r.target
	}
	if t == nil {
		return Verdict{Reason: NoTarget, Flow: flow}
	}
	reason := Opened
	if head.Copy > 0 {
		reason = Repeated
	}
	if r.target != t {
		r.supersede(e.searches[flow], t)
	}
	r.openings = head.Copy + 1
	if !e.records.Put(flow, r) {
		return Verdict{Reason: TableFull, Flow: flow}
	}
	if s := e.searches[flow]; s != nil {
		s.include(t)
	}
	t.openingsSent++
	v := e.forwardOpening(now, reason, flow, route, t, head)
	v.Withdraw = withdraw
	return v
}

// supersede makes t the target of an opening. The earlier target may hold the flow
// unless it returned the opening.
func (r *record) supersede(s *search, t *Target) {
	if r.target != nil && !(s != nil && s.excludes(r.target)) {
		r.forgotten = r.forgotten || r.previous != nil && !(s != nil && s.excludes(r.previous))
		r.previous = r.target
	}
	r.target, r.waits = t, false
}

// forwardOpening returns the verdict that sends an opening to a target.
func (e *Engine) forwardOpening(now time.Duration, reason Reason, flow segment.Flow, route *registry.Route, t *Target, head segment.Head) Verdict {
	v := forwardTo(reason, flow, t, 0)
	v.cold = t.limited(now)
	v.setUrgency(route, head)
	return v
}

// refuseOpening ends an opening that cannot be served. The caller gets a reset, which
// says that its request has not run, unless a target that got a copy of the opening has
// not returned it: that target may have accepted the flow. After an opening has waited, a
// target may also have got the caller's next copy through another balancer. Nothing is kept
// of a flow that is reset, so that a storm of refusals does not fill the tables.
func (e *Engine) refuseOpening(now time.Duration, flow segment.Flow, r record, reason Reason) Verdict {
	s := e.searches[flow]
	outstanding := func(t *Target) bool { return t != nil && !(s != nil && s.excludes(t)) }
	copied := s != nil && s.waited && now-s.copyAt >= resetWindow(max(r.openings, 1)-1)
	if r.forgotten || copied || outstanding(r.target) || outstanding(r.previous) {
		return Verdict{Reason: reason, Flow: flow}
	}
	e.records.Delete(flow)
	delete(e.searches, flow)
	return Verdict{Action: Reset, Reason: reason, Flow: flow}
}

// anyReported reports whether any target of a service outside the evacuated zones has reported,
// or there is none.
func (e *Engine) anyReported(service string) bool {
	none := true
	for _, t := range e.view.services[service] {
		if t.evacuated.Load() {
			continue
		}
		if t.Reported() {
			return true
		}
		none = false
	}
	return none
}

// allEvacuated reports whether a service has usable targets, and all of them are in evacuated
// zones.
func (e *Engine) allEvacuated(service string) bool {
	targets := e.view.services[service]
	return slices.ContainsFunc(targets, (*Target).usable) && !slices.ContainsFunc(targets, (*Target).acceptsFlows)
}

// shouldDivert reports whether a new flow should go to another balancer. The hash of
// the flow selects the diverted share. A caller has few tries, so that one that comes back
// after it was diverted is not diverted again.
func (e *Engine) shouldDivert(now time.Duration, flow segment.Flow) bool {
	divert := e.exceedsRate(now, flow) || e.policy.DivertFull && e.divertFullEnabled && e.load.full(now, flow.Service)
	if divert && e.policy.DivertOnce {
		divert = e.load.firstTry(now, flow)
	}
	if !divert {
		e.load.begin(now, flow)
	}
	return divert
}

// exceedsRate reports whether a flow is among the share of heavy flows above the mean load
// that the link may have.
func (e *Engine) exceedsRate(now time.Duration, flow segment.Flow) bool {
	if !e.divertEnabled {
		return false
	}
	excess := e.load.excess(now, flow.Service)
	return excess > 0 && float64(mix(flow.Hash()^divertSalt)) < excess*math.MaxUint64
}

// openingReturned retries an opening on the next target.
func (e *Engine) openingReturned(now time.Duration, from netip.Addr, flow segment.Flow, head segment.Head) Verdict {
	route := e.view.routes[flow.Service]
	if route == nil {
		return Verdict{Reason: NoRoute, Flow: flow}
	}
	s := e.searchFor(now, flow)
	if s == nil {
		return Verdict{Reason: TableFull, Flow: flow}
	}
	s.exclude(from)
	mark := segment.Unpack(head.Mark)
	if mark.Busy {
		s.busyReturns++
		s.addQuote(e.view.TargetOn(from), mark.Budget)
	} else {
		if t := e.view.TargetOn(from); t != nil && t.limited(now) {
			t.refusedWarmup()
		}
		if s.mayWait {
			// Its agent gave up all openings that waited.
			s.mayWait, s.busyReturns = false, 0
		}
	}
	r, known := e.records.Get(flow)
	if !known {
		// It was sent before this balancer started.
		r.forgotten = true
	}
	if head.Copy+1 < r.openings && r.target.onHost(from) {
		// The target has a later copy too and decides on that one.
		s.include(r.target)
		return Verdict{Reason: Retried, Flow: flow}
	}
	if r.waits && r.target.onHost(from) {
		r.waits = false
		e.records.Put(flow, r)
	}
	if s.busyReturns >= e.policy.MaxBusyReturns {
		return e.letWait(now, flow, route, head, s, r, Overloaded)
	}
	t := e.choose(now, route.Service(flow.Hash()), flow, s.excludes)
	if t == nil {
		return e.letWait(now, flow, route, head, s, r, Refused)
	}
	if !t.hasCredit(now) {
		return e.awaitWarmup(now, flow, r, head)
	}
	v := e.forwardOpening(now, Retried, flow, route, t, head)
	if s.busyReturns >= trustedBusyReturns && e.policy.TrustReports && e.expectsRefusal(now, t, &v) {
		return e.letWait(now, flow, route, head, s, r, Overloaded)
	}
	return e.retryOpening(v, flow, head, s, r, t)
}

// retryOpening records that an opening that was returned goes to another target.
func (e *Engine) retryOpening(v Verdict, flow segment.Flow, head segment.Head, s *search, r record, t *Target) Verdict {
	r.supersede(s, t)
	r.openings = max(r.openings, head.Copy+1)
	e.records.Put(flow, r)
	t.openingsSent++
	v.Attempt = segment.Unpack(head.Mark).Attempt + 1
	return v
}
