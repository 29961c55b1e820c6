// Package occupancy keeps what an agent knows of its target from the segments
// that pass: which flows wait for an answer, how loaded the target is and
// whether it still responds. It is pure and not safe for concurrent use; times
// are monotonic times since the start of the process and above 0.
package occupancy

import (
	"math"
	"time"

	"github.com/peridotstall/peridotstall/internal/generations"
	"github.com/peridotstall/peridotstall/internal/segment"
)

const (
	// meanWindow is the time constant of the mean of pending requests.
	meanWindow = time.Second
	// unansweredAfter is the time without any segment of the target after an
	// opening was handed to it. A living target answers an opening within a
	// millisecond; the share of a core may pause its host for a tenth of a second.
	unansweredAfter = 150 * time.Millisecond
	// trialInterval is the time between openings that a target which does not
	// respond gets all the same, to find out whether it is back.
	trialInterval = 300 * time.Millisecond
	// passAttempts is the number of times that an opening is passed on because
	// of load; after that the target takes it as long as it can.
	passAttempts = 2
	// queueDepth is the number of waiting requests per slot from which openings
	// are passed on.
	queueDepth = 1.0
	// openingLife is the time for which an accepted opening counts as pending
	// before its first request: a round trip to the caller and some more.
	openingLife = 300 * time.Millisecond
	// generation is the least time for which an idle flow is remembered: the
	// longest that users let a flow live.
	generation = 60 * time.Second
	// maxFlows bounds each generation: the connection limits of targets are
	// some thousands.
	maxFlows = 1 << 16
)

// Refusal says why an opening was not handed to the target.
type Refusal uint8

// Refusals.
const (
	// Accepted openings go to the target.
	Accepted Refusal = iota
	// WrongService segments are meant for another service.
	WrongService
	// Unresponsive targets do not answer.
	Unresponsive
	// Busy targets have all slots taken and requests waiting.
	Busy
	// Leaving agents stop.
	Leaving
)

var refusalNames = [...]string{"accepted", "wrong_service", "unresponsive", "busy", "leaving"}

// String returns the name that logs and metrics carry.
func (r Refusal) String() string { return refusalNames[r] }

// flowState is what the agent knows of a flow.
type flowState struct {
	// asked is the time of the last request data without an answer; 0 if none.
	asked time.Duration
	// opened is the time of the first copy of the opening until the first answer;
	// 0 after it.
	opened time.Duration
	// dataEnd is the place after the last data of the caller, valid if hasData.
	dataEnd uint32
	hasData bool
	// request is the identifier of the last request.
	request segment.RequestID
	// counted says that the present request was counted as failed, several that it
	// has more than one segment.
	counted, several bool
	// sender is the balancer that sent the last segment, former the one before it.
	sender, former uint8
	// accepted says that the target accepted an opening; held that it has the
	// flow: it sent a segment of it or did not return one.
	accepted, held bool
	// ended says that the target or the caller ended the flow.
	ended bool
	// wanted says that the sender asked who holds the flow.
	wanted bool
	// opening flows are counted as pending until their first request.
	opening bool
}

// flowAt is a flow to which something happened at a time.
type flowAt struct {
	flow segment.Flow
	at   time.Duration
}

// flowQueue holds flows in the order of time.
type flowQueue []flowAt

// take removes and returns the flows that have waited for a time.
func (q *flowQueue) take(now, waited time.Duration) []segment.Flow {
	var flows []segment.Flow
	for len(*q) > 0 && now-(*q)[0].at >= waited {
		flows = append(flows, (*q)[0].flow)
		*q = (*q)[1:]
	}
	return flows
}

// Tracker follows the flows of one target.
type Tracker struct {
	tag   segment.Tag
	slots int
	flows *generations.Map[segment.Flow, flowState]
	// overflowed says that a flow found no room.
	overflowed bool

	// openings are the accepted ones.
	openings flowQueue

	pending int
	mean    float64
	updated time.Duration

	// unanswered is the time of the oldest opening since the target's last
	// segment; 0 if there is none.
	unanswered time.Duration
	trial      time.Duration
	leaving    bool

	failures failures
}

// New returns a tracker for the target of a service.
func New(service string) *Tracker {
	return &Tracker{
		tag:   segment.TagOf(service),
		flows: generations.New[segment.Flow, flowState](maxFlows),

		failures: failures{patience: defaultPatience},
	}
}

// Tag returns the tag of the target's service.
func (t *Tracker) Tag() segment.Tag { return t.tag }

// SetSlots sets the number of requests that the target runs at a time.
func (t *Tracker) SetSlots(slots int) { t.slots = slots }

// SetPatience sets the time after which a request without an answer counts as
// failed; 0 leaves it as it is.
func (t *Tracker) SetPatience(patience time.Duration) {
	if patience > 0 {
		t.failures.patience = patience
	}
}

// Failing returns the share of the recent requests that failed.
func (t *Tracker) Failing(now time.Duration) float64 { return t.failures.share(now) }

// Leave makes the tracker refuse openings.
func (t *Tracker) Leave() { t.leaving = true }

// Pending returns the requests that run or wait at the target.
func (t *Tracker) Pending() int { return t.pending }

// Mean returns the mean of pending requests over the last second.
func (t *Tracker) Mean(now time.Duration) float64 {
	t.advance(now)
	return t.mean
}

// Flows returns the number of remembered flows.
func (t *Tracker) Flows() int { return t.flows.Len() }

// Unresponsive reports whether the target has stopped to answer.
func (t *Tracker) Unresponsive(now time.Duration) bool {
	return t.unanswered != 0 && now-t.unanswered > unansweredAfter
}

// advance brings the mean up to now.
func (t *Tracker) advance(now time.Duration) {
	elapsed := now - t.updated
	if elapsed <= 0 {
		return
	}
	keep := math.Exp(-float64(elapsed) / float64(meanWindow))
	t.mean = t.mean*keep + float64(t.pending)*(1-keep)
	t.updated = now
}

// counts reports whether the flow is one of the pending ones.
func (s flowState) counts() bool { return s.asked != 0 || s.opening }

// repeats reports whether a segment holds no data beyond what the target got.
func (s flowState) repeats(head segment.Head) bool {
	return s.hasData && int32(head.DataEnd()-s.dataEnd) <= 0
}

// change stores a state and corrects the count of pending requests.
func (t *Tracker) change(now time.Duration, flow segment.Flow, before, after flowState) {
	if before.counts() != after.counts() {
		t.advance(now)
		if after.counts() {
			t.pending++
		} else {
			t.pending--
		}
	}
	if !t.flows.Put(flow, after) {
		t.overflowed = true
	}
}

// Admit decides whether a segment from a balancer goes to the target.
func (t *Tracker) Admit(now time.Duration, head segment.Head, note segment.Note) Refusal {
	if note.Tag != t.tag {
		return WrongService
	}
	if !head.Opening {
		return Accepted
	}
	switch {
	case t.leaving:
		return Leaving
	case t.Unresponsive(now) && now-t.trial < trialInterval:
		return Unresponsive
	case note.Attempt < passAttempts && t.slots > 0 && float64(t.pending) >= float64(t.slots)*(1+queueDepth):
		return Busy
	}
	if t.Unresponsive(now) {
		t.trial = now
	}
	return Accepted
}

// Delivery is what a segment that goes to the target means.
type Delivery struct {
	// Tell says that the balancer asked for the owner and the target holds the flow.
	Tell bool
	// Abandoned says that the caller ended the flow while a request had no
	// answer; Request is its identifier and Waited the time since its last data.
	Abandoned bool
	Request   segment.RequestID
	Waited    time.Duration
}

// Delivered records a segment that goes to the target. Request is the identifier
// of the request that begins in it, nil if none does.
func (t *Tracker) Delivered(now time.Duration, head segment.Head, note segment.Note, sender uint8, request []byte) Delivery {
	flow := head.FromCaller()
	s, known := t.flows.Get(flow)
	before := s
	switch {
	case !known:
		s.former = sender
	case s.sender != sender:
		s.former = s.sender
	}
	s.sender = sender
	var d Delivery
	switch {
	case head.Opening:
		s.ended = false
		if !known || head.Copy == 0 {
			s.opened = now
		}
		if t.unanswered == 0 {
			t.unanswered = now
		}
	case head.Ended || head.Reset:
		if s.asked != 0 {
			d.Abandoned, d.Request, d.Waited = true, s.request, now-s.asked
		}
		s.asked, s.opening, s.ended = 0, false, true
	case head.DataLength > 0 && !s.repeats(head):
		s.opening = false
		s.dataEnd, s.hasData = head.DataEnd(), true
		if s.asked == 0 || !s.held {
			s.asked, s.counted, s.several = now, false, false
		}
		if request != nil {
			s.request = segment.MakeRequestID(request)
			t.failures.expect(flow, now)
		} else {
			s.several = true
		}
	}
	if !head.Opening && s.accepted {
		s.held = true
	}
	s.wanted = s.wanted || note.Search
	d.Tell = s.wanted && s.held
	if d.Tell {
		s.wanted = false
	}
	t.change(now, flow, before, s)
	return d
}

// Answer is what a segment of the target means.
type Answer struct {
	// Sender is the balancer that sent the flow's last segment.
	Sender uint8
	// Tell says that the balancer waits for the owner of the flow.
	Tell bool
	// Request is the identifier of the flow's last request.
	Request segment.RequestID
	// First says that this is the first data of an answer.
	First bool
	// Waited is the time from the request's last data to this first data of
	// its answer; 0 for other segments.
	Waited time.Duration
	// SinceOpening is the time since the opening of the flow if this is its first
	// answer, and 0 otherwise.
	SinceOpening time.Duration
}

// Answered records a segment that the target sent to a caller. Failed says that
// it begins an answer that tells of a failure.
func (t *Tracker) Answered(now time.Duration, head segment.Head, failed bool) Answer {
	t.unanswered = 0
	flow := head.FromTarget()
	s, known := t.flows.Get(flow)
	before := s
	a := Answer{Sender: s.sender, Request: s.request}
	switch {
	case head.Accepted:
		if known && !s.opening && s.asked == 0 {
			s.opening = true
			t.openings = append(t.openings, flowAt{flow, now})
		}
		s.accepted = true
	case head.Ended || head.Reset:
		if head.Reset && s.asked != 0 {
			t.failures.record(now, true)
		}
		s.asked, s.opening, s.ended = 0, false, true
	case head.DataLength > 0 && s.asked != 0:
		a.Waited, a.First = now-s.asked, true
		if s.opened != 0 {
			a.SinceOpening = now - s.opened
		}
		s.asked, s.opened = 0, 0
		if !s.counted || !failed {
			t.failures.record(now, failed)
		}
	}
	if !head.Opening && !head.Reset {
		s.held = true
		a.Tell = s.wanted && known
		s.wanted = false
	}
	if head.Reset {
		s.accepted, s.held = false, false
	}
	t.change(now, flow, before, s)
	return a
}

// Holds reports whether the target is known to hold a flow.
func (t *Tracker) Holds(flow segment.Flow) bool {
	s, known := t.flows.Get(flow)
	return known && s.held
}

// Knows reports whether the tracker has seen a flow, or might have forgotten it
// because there were too many.
func (t *Tracker) Knows(flow segment.Flow) bool {
	_, known := t.flows.Get(flow)
	return known || t.overflowed
}

// FlowsOf returns at most limit flows that the target holds and that the balancer
// with the given number sent segments of: the last one, or the one before another
// balancer took the flow over while it was away.
func (t *Tracker) FlowsOf(sender uint8, limit int) []segment.Flow {
	var flows []segment.Flow
	t.flows.All(func(flow segment.Flow, s flowState) bool {
		if s.held && !s.ended && (s.sender == sender || s.former == sender) {
			flows = append(flows, flow)
		}
		return len(flows) < limit
	})
	return flows
}

// Returned records a segment that the target handed back.
func (t *Tracker) Returned(now time.Duration, head segment.Head) {
	t.unanswered = 0
	flow := head.FromCaller()
	s, _ := t.flows.Get(flow)
	t.change(now, flow, s, flowState{})
	t.flows.Delete(flow)
}

// Tick forgets idle flows and openings without a request.
func (t *Tracker) Tick(now time.Duration) {
	for _, flow := range t.openings.take(now, openingLife) {
		if s, known := t.flows.Get(flow); known && s.opening {
			after := s
			after.opening = false
			t.change(now, flow, s, after)
		}
	}
	for _, flow := range t.failures.awaited.take(now, t.failures.patience) {
		// A request of several segments may lack one that the network lost, which
		// says nothing about the target.
		s, known := t.flows.Get(flow)
		if known && s.asked != 0 && !s.counted && !s.several && now-s.asked >= t.failures.patience {
			s.counted = true
			t.flows.Put(flow, s)
			t.failures.record(now, true)
		}
	}
	t.flows.Rotate(now, generation, func(_ segment.Flow, s flowState) {
		if s.counts() {
			t.advance(now)
			t.pending--
		}
	})
}
