// Package occupancy tracks the state of a target from the segments that its agent
// forwards: which flows wait for an answer, how loaded the target is and whether it
// still responds. It does no I/O and is not safe for concurrent use; times are
// monotonic times since the start of the process and greater than 0.
package occupancy

import (
	"math"
	"time"

	"github.com/peridotstall/peridotstall/internal/generations"
	"github.com/peridotstall/peridotstall/internal/segment"
	"github.com/peridotstall/peridotstall/internal/waitline"
	"github.com/peridotstall/peridotstall/internal/warmup"
)

const (
	// meanWindow is the time constant of the mean of pending requests.
	meanWindow = time.Second
	// unresponsiveTimeout is the time without any segment from the target, after an
	// opening was sent to it, until it counts as unresponsive. A live target answers an
	// opening within a millisecond, but CPU limits may pause its host for 0.1 s.
	unresponsiveTimeout = 150 * time.Millisecond
	// probeInterval is the time between openings that an unresponsive target gets
	// nevertheless, to detect its recovery.
	probeInterval = 300 * time.Millisecond
	// openingTTL is the longest time for which an accepted opening counts as pending before
	// its first request. It is in force while no round trip time is known.
	openingTTL = 300 * time.Millisecond
	// pendingTimeoutFactor is the number of answer timeouts after which a request without
	// an answer no longer counts as pending: its caller has given up, and the target may
	// have lost it.
	pendingTimeoutFactor = 4
	// flowTTL is the minimum time for which an idle flow is kept: the longest
	// time that users keep a flow open.
	flowTTL = 60 * time.Second
	// maxFlows bounds each generation of flows. The connection limits of targets are a
	// few thousand.
	maxFlows = 1 << 16
)

// Refusal is the result of the admission of a segment: Accepted, Waits, or the reason why
// the segment is refused.
type Refusal uint8

// Results of the admission of a segment.
const (
	// Accepted: the segment goes to the target.
	Accepted Refusal = iota
	// WrongService: the segment is meant for another service.
	WrongService
	// Unresponsive: the target does not respond.
	Unresponsive
	// Busy: the answer would come after the latency objective, or would delay requests
	// that can meet theirs.
	Busy
	// Leaving: the agent is shutting down.
	Leaving
	// Evacuated: the zone of the target is evacuated.
	Evacuated
	// WarmingUp: the target is cold and has taken as many requests as it may.
	WarmingUp
	// Waits: the opening waits at the agent until the target has room.
	Waits
)

var refusalNames = [...]string{"accepted", "wrong_service", "unresponsive", "busy", "leaving", "evacuated", "warming_up", "waits"}

// String returns the name used in logs and metrics.
func (r Refusal) String() string { return refusalNames[r] }

// RefusalNames returns the names of all results of admission in numeric order.
func RefusalNames() []string { return refusalNames[:] }

// flowState is what the agent has observed of a flow.
type flowState struct {
	// requestedAt is the time at which a request without an answer had arrived; 0 if
	// there is none. A request of unknown size counts from its first data, or from its
	// last while the target is not known to hold the flow.
	requestedAt time.Duration
	// arriving is set while a part of a request has arrived; it is in Tracker.arrivals.
	arriving bool
	// arrivedIn is the time in which the last request arrived; 0 if it had one segment or
	// its size is unknown.
	arrivedIn time.Duration
	// requestEnd is the sequence number after the last request, valid if hasRequestEnd.
	requestEnd    uint32
	hasRequestEnd bool
	// early is set if the last answer began before its request had arrived.
	early bool
	// openedAt is the time of the first copy of the opening; 0 after the first answer.
	openedAt time.Duration
	// countedAt is the time at which the limiter of the warm-up counted the opening; 0 after
	// the first request.
	countedAt time.Duration
	// acceptedAt is the time at which the target accepted the opening.
	acceptedAt time.Duration
	// startedAt is the time at which the target is expected to have started the request;
	// 0 if there is none or it waits for a slot.
	startedAt time.Duration
	// expected is the expected time from the request to its answer, waited the actual
	// one, served the part of it in a slot; 0 if the request is not expected to have
	// started.
	expected, waited, served time.Duration
	// dataEnd is the sequence number after the last data of the caller, valid if
	// hasData.
	dataEnd uint32
	hasData bool
	// request is the identifier of the last request.
	request segment.RequestID
	// countedFailed is set if the current request was counted as failed, multiSegment
	// if it has more than one segment.
	countedFailed, multiSegment bool
	// sender is the number of the balancer that sent the last segment; previousSender
	// is that of the balancer before it.
	sender, previousSender uint8
	// outcomeDue is set between the first segment of an answer and the one that holds its
	// status.
	outcomeDue bool
	// accepted is set if the target accepted an opening; held is set if it holds the
	// flow: it sent a segment of the flow or did not return one.
	accepted, held bool
	// ended is set if the target or the caller closed the flow.
	ended bool
	// ownerWanted is set if a balancer is searching for the owner of the flow.
	ownerWanted bool
	// opening flows count as pending until their first request.
	opening bool
}

// flowAt is a flow with the time of an event.
type flowAt struct {
	flow segment.Flow
	at   time.Duration
}

// flowQueue holds flows in order of time.
type flowQueue []flowAt

// removeOlder removes and returns the flows that were queued at least the given time
// ago.
func (q *flowQueue) removeOlder(now, age time.Duration) []segment.Flow {
	var flows []segment.Flow
	for len(*q) > 0 && now-(*q)[0].at >= age {
		flows = append(flows, (*q)[0].flow)
		*q = (*q)[1:]
	}
	return flows
}

// Tracker tracks the flows of one target.
type Tracker struct {
	policy Policy
	tag    segment.Tag
	flows  *generations.Map[segment.Flow, flowState]
	// overflowedAt is the time at which a flow could not be recorded because the map was
	// full; 0 if no such flow can exist any more.
	overflowedAt time.Duration

	// openings holds accepted openings, begun requests that were sent to the target.
	openings, begun flowQueue
	// arrivals holds the requests of which a part has arrived, arrivalQueue the times at
	// which they were last seen to arrive.
	arrivals     map[segment.Flow]*arrival
	arrivalQueue flowQueue

	pending int
	// open counts the flows that the target holds and that have not ended.
	open    int
	mean    float64
	updated time.Duration

	// unansweredSince is the time of the oldest opening since the target's last
	// segment; 0 if there is none.
	unansweredSince time.Duration
	lastProbe       time.Duration
	leaving         bool
	evacuated       bool

	failures failures
	work     work
	level    level
	warmup   *warmup.Limiter
	// demand is the rate of openings whose first copy comes here first.
	demand rate
	// line holds the openings that wait.
	line *waitline.Line
}

// New returns a tracker for a target of the given service.
func New(service string) *Tracker { return NewWithPolicy(service, DefaultPolicy()) }

// NewWithPolicy returns a tracker with some of its mechanisms switched off.
func NewWithPolicy(service string, policy Policy) *Tracker {
	return &Tracker{
		policy: policy,
		tag:    segment.TagOf(service),
		flows:  generations.New[segment.Flow, flowState](maxFlows),

		arrivals: make(map[segment.Flow]*arrival),
		failures: failures{answerTimeout: defaultAnswerTimeout},
		level:    newLevel(),
		warmup:   warmup.New(0, warmup.Tolerance{}),
		line:     waitline.New(),
	}
}

// Tag returns the tag of the target's service.
func (t *Tracker) Tag() segment.Tag { return t.tag }

// SetSlots sets the number of requests that the target runs concurrently; 0 means
// unknown.
func (t *Tracker) SetSlots(slots int) { t.work.slots = slots }

// SetAnswerTimeout sets the time after which a request without an answer counts as
// failed; 0 leaves it unchanged.
func (t *Tracker) SetAnswerTimeout(timeout time.Duration) {
	if timeout > 0 {
		t.failures.answerTimeout = timeout
	}
}

// Failing returns the share of recent requests that failed, from 0 to 1.
func (t *Tracker) Failing(now time.Duration) float64 { return t.failures.share(now) }

// RefuseOpenings makes the tracker refuse all openings from now on, because the agent
// is shutting down.
func (t *Tracker) RefuseOpenings() { t.leaving = true }

// Pending returns the number of requests that run or wait at the target, and of those
// that are arriving as many as its slots cannot serve meanwhile.
func (t *Tracker) Pending() int { return t.load() }

// SetEvacuated makes the tracker refuse openings while the zone of the target is evacuated.
func (t *Tracker) SetEvacuated(evacuated bool) { t.evacuated = evacuated }

// Open returns the number of flows that the target holds and that have not ended. A flow whose
// end was not seen counts until it has been idle for flowTTL.
func (t *Tracker) Open() int { return t.open }

// Mean returns the mean number of pending requests over the last second.
func (t *Tracker) Mean(now time.Duration) float64 {
	t.advance(now)
	return t.mean
}

// Flows returns the number of recorded flows.
func (t *Tracker) Flows() int { return t.flows.Len() }

// Unresponsive reports whether the target has stopped responding.
func (t *Tracker) Unresponsive(now time.Duration) bool {
	return t.unansweredSince != 0 && now-t.unansweredSince > unresponsiveTimeout
}

// advance updates the mean to the given time.
func (t *Tracker) advance(now time.Duration) {
	elapsed := now - t.updated
	if elapsed <= 0 {
		return
	}
	decay := math.Exp(-float64(elapsed) / float64(meanWindow))
	t.mean = t.mean*decay + float64(t.pending)*(1-decay)
	t.updated = now
}

// pending reports whether the flow counts as a pending request.
func (s flowState) pending() bool { return s.requestedAt != 0 || s.opening }

// open reports whether the target holds the flow and it has not ended.
func (s flowState) open() bool { return s.held && !s.ended }

// retransmits reports whether a segment has no data beyond what the target already got.
func (s flowState) retransmits(head segment.Head) bool {
	return s.hasData && int32(head.DataEnd()-s.dataEnd) <= 0
}

// update stores a flow's state and adjusts the number of pending requests.
func (t *Tracker) update(now time.Duration, flow segment.Flow, before, after flowState) {
	if before.pending() != after.pending() {
		t.advance(now)
		if after.pending() {
			t.pending++
		} else {
			t.pending--
		}
	}
	begins, ends := before.requestedAt == 0 && after.requestedAt != 0, before.requestedAt != 0 && after.requestedAt == 0
	if begins {
		after.expected = t.work.expectedAnswer()
		after.startedAt = t.work.begin(now, flow)
	}
	if ends {
		after.startedAt = 0
	}
	stored := t.flows.Put(flow, after)
	if !stored {
		t.overflowedAt = now
	} else if before.open() != after.open() {
		if after.open() {
			t.open++
		} else {
			t.open--
		}
	}
	if before.arriving && !after.arriving || !stored {
		delete(t.arrivals, flow)
	}
	if ends && before.startedAt != 0 {
		t.startNext(now)
	}
}

// startNext gives the slot of a request that ended to the longest waiting one.
func (t *Tracker) startNext(now time.Duration) {
	t.work.running--
	for len(t.work.waiting) > 0 {
		next := t.work.waiting[0]
		t.work.waiting = t.work.waiting[1:]
		s, known := t.flows.Get(next.flow)
		if !known || s.requestedAt == 0 || s.startedAt != 0 || s.requestedAt > next.at {
			continue
		}
		s.startedAt = now
		t.work.running++
		t.flows.Put(next.flow, s)
		return
	}
}

// Admit decides whether a segment from a balancer goes to the target.
func (t *Tracker) Admit(now time.Duration, head segment.Head, mark segment.Mark) Refusal {
	if mark.Tag != t.tag {
		return WrongService
	}
	if !head.Opening {
		return Accepted
	}
	if s, known := t.flows.Get(head.FromCaller()); known && !s.ended && (s.accepted || s.counted(now) && !t.Unresponsive(now)) {
		// A refusal says that the target does not hold the flow, but it may be about to
		// accept an earlier copy.
		return Accepted
	}
	t.expireOpenings(now)
	t.observeDemand(now, mark)
	if head.Copy == 0 && mark.Attempt == 0 {
		t.demand.add(now)
	}
	switch {
	case t.leaving:
		return Leaving
	case t.evacuated:
		return Evacuated
	case t.Unresponsive(now) && now-t.lastProbe < probeInterval:
		return Unresponsive
	case t.busy(now, mark, head.Source):
		if t.line.Contains(head.FromCaller()) || t.mayWait(now, mark) {
			return Waits
		}
		return Busy
	case !t.admitWarmup(now, head, mark):
		return WarmingUp
	}
	t.line.Remove(head.FromCaller())
	if t.Unresponsive(now) {
		t.lastProbe = now
	}
	return Accepted
}

// Holds reports whether the target is known to hold a flow.
func (t *Tracker) Holds(flow segment.Flow) bool {
	s, known := t.flows.Get(flow)
	return known && s.held
}

// Knows reports whether the tracker has recorded a flow, or could not record all flows
// lately because the map was full.
func (t *Tracker) Knows(flow segment.Flow) bool {
	_, known := t.flows.Get(flow)
	return known || t.overflowedAt != 0
}

// FlowsOf returns at most limit flows that the target holds and that the balancer with
// the given number was the last, or the last but one, to forward: another balancer may
// have forwarded its flows while it restarted.
func (t *Tracker) FlowsOf(sender uint8, limit int) []segment.Flow {
	var flows []segment.Flow
	t.flows.All(func(flow segment.Flow, s flowState) bool {
		if s.held && !s.ended && (s.sender == sender || s.previousSender == sender) {
			flows = append(flows, flow)
		}
		return len(flows) < limit
	})
	return flows
}

// Tick expires openings without a request and idle flows, and counts requests without
// an answer as failed after the answer timeout.
func (t *Tracker) Tick(now time.Duration) {
	t.expireOpenings(now)
	for _, flow := range t.failures.awaited.removeOlder(now, t.failures.answerTimeout) {
		// The network may have lost a segment of a multi-segment request, so that
		// a missing answer is no evidence against the target.
		s, known := t.flows.Get(flow)
		if known && s.requestedAt != 0 && !s.countedFailed && !s.multiSegment && now-s.requestedAt >= t.failures.answerTimeout {
			s.countedFailed = true
			t.flows.Put(flow, s)
			t.failures.record(now, true)
		}
	}
	if now-t.overflowedAt >= flowTTL {
		t.overflowedAt = 0
	}
	limit := pendingTimeoutFactor * t.failures.answerTimeout
	for _, flow := range t.begun.removeOlder(now, limit) {
		if s, known := t.flows.Get(flow); known && s.requestedAt != 0 && now-s.requestedAt >= limit {
			after := s
			after.requestedAt, after.outcomeDue, after.waited, after.served = 0, true, limit, limit
			t.update(now, flow, s, after)
		}
	}
	t.expireArrivals(now, limit)
	t.flows.Rotate(now, flowTTL, func(flow segment.Flow, s flowState) {
		if s.arriving {
			delete(t.arrivals, flow)
		}
		if s.pending() {
			t.advance(now)
			t.pending--
		}
		if s.open() {
			t.open--
		}
		if s.startedAt != 0 {
			t.startNext(now)
		}
	})
}
