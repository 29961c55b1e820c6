package occupancy

import (
	"time"

	"github.com/peridotstall/peridotstall/internal/segment"
)

// Delivery describes a segment that goes to the target.
type Delivery struct {
	// ReportOwner is set if a balancer is searching for the owner and the target holds
	// the flow.
	ReportOwner bool
	// Abandoned is set if the caller closed the flow while a request had no answer;
	// Request is the identifier of that request and Waited the time since it had arrived:
	// since its last new byte, or since its first data if its size is unknown. Arriving is
	// set if it had not arrived; Waited is then the time since its first data.
	Abandoned, Arriving bool
	Request             segment.RequestID
	Waited              time.Duration
	// Arrived is the time from the first data of a request to its last, set on the
	// segment with which a request of several segments has arrived; 0 otherwise.
	Arrived time.Duration
}

// Delivered records a segment that goes to the target. Request is the identifier of the
// request that begins in it, or nil; its size is head.RequestSize.
func (t *Tracker) Delivered(now time.Duration, head segment.Head, mark segment.Mark, sender uint8, request []byte) Delivery {
	flow := head.FromCaller()
	s, known := t.flows.Get(flow)
	before := s
	switch {
	case !known:
		s.previousSender = sender
	case s.sender != sender:
		s.previousSender = s.sender
	}
	s.sender = sender
	var d Delivery
	switch {
	case head.Opening:
		if s.ended {
			// The caller uses the port again; what is known is of the flow before.
			s = flowState{sender: sender, previousSender: sender}
		}
		if !known || head.Copy == 0 {
			s.openedAt = now
		}
		if !s.accepted && !s.counted(now) {
			s.countedAt = now
		}
		if t.unansweredSince == 0 {
			t.unansweredSince = now
		}
	case head.Ended || head.Reset:
		if s.requestedAt != 0 {
			d.Abandoned, d.Request, d.Waited = true, s.request, now-s.requestedAt
		}
		if s.arriving {
			d.Abandoned, d.Request, d.Arriving = true, s.request, true
			d.Waited = t.endArrival(now, flow, &s)
		}
		s.requestedAt, s.opening, s.ended = 0, false, true
		t.endWithoutOutcome(&s)
	case head.DataLength > 0:
		t.dataDelivered(now, flow, &s, head, request)
		if before.arriving && s.requestedAt != 0 {
			d.Arrived = s.arrivedIn
		}
	}
	if !head.Opening && s.accepted {
		s.held = true
	}
	s.ownerWanted = s.ownerWanted || mark.Search
	d.ReportOwner = s.ownerWanted && s.held
	if d.ReportOwner {
		s.ownerWanted = false
	}
	t.update(now, flow, before, s)
	return d
}

// Outcome is what a segment says of the answer that it belongs to.
type Outcome uint8

// Outcomes. The segments of an answer arrive in any order, and only one of them holds the
// status.
const (
	NoOutcome Outcome = iota
	Succeeded
	Failed
)

// Answer describes a segment sent by the target.
type Answer struct {
	// Sender is the number of the balancer that sent the flow's last segment.
	Sender uint8
	// ReportOwner is set if that balancer is searching for the owner of the flow.
	ReportOwner bool
	// Request is the identifier of the flow's last request.
	Request segment.RequestID
	// Resolved is set on the segment that says the outcome of the request. The fields
	// below are valid with it.
	Resolved bool
	// Waited is the time from the last new byte of the request to the first segment of
	// its answer. It begins with the request's first data if the size is unknown, or with
	// its last if the target was not known to hold the flow either.
	Waited time.Duration
	// Arrived is the time from the first data of the request to its last new byte; 0 if
	// it had one segment or its size is unknown.
	Arrived time.Duration
	// Expected is the expected value of Waited; 0 if unknown.
	Expected time.Duration
	// SinceOpening is the time since the opening if this is the flow's first answer; 0
	// otherwise.
	SinceOpening time.Duration
}

// Answered records a segment that the target sent to a caller.
func (t *Tracker) Answered(now time.Duration, head segment.Head, outcome Outcome) Answer {
	if t.Unresponsive(now) {
		t.warmup.Suspect(now)
	}
	t.unansweredSince = 0
	flow := head.FromTarget()
	s, known := t.flows.Get(flow)
	before := s
	a := Answer{Sender: s.sender, Request: s.request}
	switch {
	case head.Accepted:
		if known && !s.opening && !s.arriving && s.requestedAt == 0 {
			s.opening = true
			t.openings = append(t.openings, flowAt{flow, now})
		}
		s.accepted, s.acceptedAt = true, now
	case head.Reset:
		if s.requestedAt != 0 || s.arriving {
			t.failures.record(now, true)
		}
		s.requestedAt, s.arriving, s.opening, s.ended = 0, false, false, true
	case head.Ended || head.DataLength > 0:
		t.answerSegment(now, &s, head, outcome, &a)
	}
	if !head.Opening && !head.Reset {
		s.held = true
		a.ReportOwner = s.ownerWanted && known
		s.ownerWanted = false
	}
	if head.Reset {
		s.accepted, s.held = false, false
	}
	t.update(now, flow, before, s)
	return a
}

// answerSegment records a segment of an answer. The first one ends the request; the end
// of the flow may arrive before the data.
func (t *Tracker) answerSegment(now time.Duration, s *flowState, head segment.Head, outcome Outcome, a *Answer) {
	if s.requestedAt != 0 {
		s.waited, s.served, s.outcomeDue = now-s.requestedAt, 0, true
		if s.startedAt != 0 {
			s.served = now - s.startedAt
		}
		s.requestedAt = 0
	}
	if s.arriving {
		s.waited, s.served, s.arrivedIn, s.expected = t.endArrival(now, head.FromTarget(), s), 0, 0, 0
		s.outcomeDue, s.early = true, true
	}
	if s.outcomeDue && outcome != NoOutcome {
		s.outcomeDue = false
		a.Resolved, a.Waited, a.Arrived, a.Expected = true, s.waited, s.arrivedIn, s.expected
		if s.openedAt != 0 {
			a.SinceOpening = now - s.openedAt
			s.openedAt = 0
		}
		t.resolve(now, s, outcome == Failed)
	}
	if head.Ended {
		s.opening, s.ended = false, true
	}
}

// expireOpenings ends accepted openings whose callers have had the time to send a request:
// they have opened their flows at other targets.
func (t *Tracker) expireOpenings(now time.Duration) {
	age := openingTTL
	if t.policy.MeasuredOpenings {
		age = t.work.openingTTL()
	}
	for _, flow := range t.openings.removeOlder(now, age) {
		if s, known := t.flows.Get(flow); known && s.opening {
			after := s
			after.opening = false
			t.update(now, flow, s, after)
		}
	}
}

// endWithoutOutcome ends a request whose answer came without a status. Its service time
// counts, because not all protocols have a status.
func (t *Tracker) endWithoutOutcome(s *flowState) {
	if s.outcomeDue && s.served != 0 {
		t.work.observe(s.served)
	}
	s.outcomeDue = false
}

// resolve records the outcome of a request.
func (t *Tracker) resolve(now time.Duration, s *flowState, failed bool) {
	if !s.countedFailed || !failed {
		t.failures.record(now, failed)
	}
	switch {
	case failed && s.served == 0 && !s.early:
		t.work.observeShed(now, t.pending)
	case !failed && s.served != 0:
		t.work.observe(s.served)
	}
}

// Returned records a segment that the target returned.
func (t *Tracker) Returned(now time.Duration, head segment.Head) {
	flow := head.FromCaller()
	s, _ := t.flows.Get(flow)
	if t.Unresponsive(now) || s.open() {
		t.warmup.Suspect(now)
	}
	t.unansweredSince = 0
	t.update(now, flow, s, flowState{})
	t.flows.Delete(flow)
}
