// Package steering decides for a balancer where each segment goes. A target is
// the only authority on its flows: it returns what it does not hold, and the
// balancer then asks further targets. The package is pure; a caller serialises
// the calls of an Engine and carries out its verdicts.
package steering

import (
	"math"
	"net/netip"
	"time"

	"github.com/peridotstall/peridotstall/internal/generations"
	"github.com/peridotstall/peridotstall/internal/segment"
)

const (
	// maxFanout bounds the targets that get one segment of a flow whose owner
	// is searched.
	maxFanout = 8
	// maxFlows bounds each of the two generations of flow records: 64 times the
	// 16,000 flows of a balancer at the target size.
	maxFlows = 1 << 20
	// firstQueries is the number of agents that are asked for a flow first: its
	// owner is among the first candidates unless those were busy.
	firstQueries = 8
	// maxQueries bounds the agents that are asked for a flow.
	maxQueries = 256
	// queryWait is the time that the first agents have to answer: three round
	// trips to another zone of the region.
	queryWait = 10 * time.Millisecond
	// probeWait is the time from the first query that all agents have to answer
	// when the flow's target returned a segment; after that the targets themselves
	// are probed.
	probeWait = 60 * time.Millisecond
	// requeryInterval is the time between two queries for a flow: half of the
	// shortest interval of retransmissions.
	requeryInterval = 100 * time.Millisecond
	// maxRounds is the number of queries after which all targets are probed for a
	// flow that no agent knows. On a full link that loses half of the datagrams,
	// and so three of four answers, one in a hundred searches gets as far.
	maxRounds = 16
	// queryShare is the share of the host's link that queries for the owners of
	// flows may take, so that they do not crowd out the segments.
	queryShare = 0.1
	// querySize is the size of a query in bytes with the headers below it.
	querySize = 64
	// queryBurst is the time for which the credit for queries is saved.
	queryBurst = 250 * time.Millisecond
	// maxSearches bounds the flows whose owner is searched at the same time.
	maxSearches = 8192
	// searchLife is the time for which the result of a search is kept after the
	// last segment; it spans the longest interval of retransmissions, 1.6 s.
	searchLife = 2500 * time.Millisecond
	// askInterval is the time after which targets that have not returned a
	// segment no longer keep further ones from being asked. It exceeds a round
	// trip to any target and is below the shortest interval of retransmissions.
	askInterval = 100 * time.Millisecond
	// divertSalt separates the choice of diverted flows from that of targets.
	divertSalt = 0x6469766572746564
	// minGeneration is the least time for which an idle flow is remembered.
	minGeneration = 15 * time.Second
	// doubtShare is the share of silent targets above which the balancer doubts
	// its own link instead of the targets.
	doubtShare = 0.5
)

// Action is what happens to a segment.
type Action uint8

// Actions.
const (
	Drop Action = iota
	// Forward sends the segment to the targets of the verdict.
	Forward
	// Hold keeps the segment until the owner of its flow is known.
	Hold
	// Query keeps the segment, asks the agents of the verdict for the flow and
	// sends the segment to the targets of the verdict, if there are any.
	Query
	// Reset answers the caller with a reset.
	Reset
)

// Reason says why a verdict was taken. It appears in logs and metrics.
type Reason uint8

// Reasons.
const (
	// Known flows go to the target that has them.
	Known Reason = iota
	// Opened flows got a target.
	Opened
	// Repeated openings went to another target than the copy before.
	Repeated
	// PassedOn openings were returned by a target and went to the next.
	PassedOn
	// Searching segments went to several targets.
	Searching
	// Unconfigured: nothing is known yet.
	Unconfigured
	// NoRoute: no service has the address.
	NoRoute
	// NoTarget: no target may take the opening.
	NoTarget
	// Refused: every target returned the opening.
	Refused
	// Ownerless: every target returned a segment of the flow.
	Ownerless
	// Overfull: a table is full.
	Overfull
	// Diverted openings would overload the link; the caller tries again and
	// reaches another balancer.
	Diverted
	// Irrelevant segments come from no caller.
	Irrelevant
	reasonCount
)

var reasonNames = [reasonCount]string{
	"known", "opened", "repeated", "passed_on", "searching", "unconfigured", "no_route",
	"no_target", "refused", "ownerless", "overfull", "diverted", "irrelevant",
}

// String returns the name that logs and metrics carry.
func (r Reason) String() string { return reasonNames[r] }

// ReasonNames returns the names of all reasons in their order.
func ReasonNames() []string { return reasonNames[:] }

// Verdict is the decision on one segment.
type Verdict struct {
	Action  Action
	Reason  Reason
	Flow    segment.Flow
	Attempt uint8
	targets [maxFanout]*Target
	count   int
	agents  []*Target
	deny    bool
}

// Deny reports whether agents are asked to deny the flow if their target does not
// hold it.
func (v *Verdict) Deny() bool { return v.deny }

// Agents returns the targets whose agents are asked for the flow.
func (v *Verdict) Agents() []*Target { return v.agents }

// Targets returns the targets that get the segment. The slice is valid until
// the next call of the engine.
func (v *Verdict) Targets() []*Target { return v.targets[:v.count] }

// Note returns the note for the copy that goes to a target.
func (v *Verdict) Note(t *Target) uint32 {
	return segment.Note{Tag: t.Tag, Attempt: v.Attempt, Search: v.Reason == Searching}.Pack()
}

func (v *Verdict) add(t *Target) {
	v.targets[v.count] = t
	v.count++
}

// addAll adds the first maxFanout targets.
func (v *Verdict) addAll(targets []*Target) {
	for _, t := range targets[:min(len(targets), maxFanout)] {
		v.add(t)
	}
}

// record is what the engine remembers of a flow.
type record struct {
	target *Target
	// previous got an earlier copy of the opening and may hold the flow instead.
	previous *Target
	// openings is one more than the highest copy number of the opening.
	openings uint32
}

// Engine steers the segments of one balancer.
type Engine struct {
	zone string
	view *View
	// records holds a flow until it was not used for a whole generation.
	records  *generations.Map[segment.Flow, record]
	searches map[segment.Flow]*search
	// confirmed says that the store answered a moment ago and no peer is known to
	// have a newer view.
	confirmed bool
	// doubted says that the balancer's own link is in doubt.
	doubted bool
	// relief says that most balancers that get callers' segments have a link much
	// larger than this one's.
	relief bool
	load   linkLoad
	// silent is the number of silent targets at the last tick.
	silent int
	// local, all and scratch are the working space of rank.
	local, all []ranked
	scratch    []*Target
	// due are the flows whose search goes on at a time.
	due dueFlows
	// queryRate is the number of queries that may be sent in a second, 0 if it is
	// not bounded; credit is what may be sent of it at credited.
	queryRate, credit float64
	credited          time.Duration
}

// New returns an engine for a balancer in a zone whose link carries a number of
// bytes a second; 0 stands for a link without a bound.
func New(zone string, linkRate float64) *Engine {
	return &Engine{
		zone:      zone,
		queryRate: linkRate * queryShare / querySize,
		load:      newLinkLoad(linkRate),
		records:   generations.New[segment.Flow, record](maxFlows),
		searches:  make(map[segment.Flow]*search),
	}
}

// SetView replaces the picture of routes and targets.
func (e *Engine) SetView(v *View) { e.view = v }

// View returns the picture in use; nil at first.
func (e *Engine) View() *View { return e.view }

// Flows returns the number of remembered flows.
func (e *Engine) Flows() int { return e.records.Len() }

// Searches returns the number of flows whose owner is searched.
func (e *Engine) Searches() int { return len(e.searches) }

// SetRelief says whether most balancers that get callers' segments have a link
// much larger than this one's.
func (e *Engine) SetRelief(relief bool) { e.relief = relief }

// Doubted reports whether more than half of the targets are silent, so that the
// balancer's own link is the likely cause.
func (e *Engine) Doubted() bool { return e.doubted }

// Silent returns the number of silent targets at the last tick.
func (e *Engine) Silent() int { return e.silent }

// Tick does what depends on time alone, and returns the flows whose search ended
// without a result. Confirmed says whether the view is the newest one: the store
// answered a moment ago and no peer has a newer one.
func (e *Engine) Tick(now time.Duration, confirmed bool) (ended []segment.Flow) {
	e.confirmed = confirmed
	for flow, s := range e.searches {
		if now-s.used > searchLife {
			delete(e.searches, flow)
			ended = append(ended, flow)
		}
	}
	if e.view == nil {
		return ended
	}
	silent, total := 0, 0
	for _, targets := range e.view.services {
		for _, t := range targets {
			total++
			if t.Silent(now) {
				silent++
			}
		}
	}
	e.silent = silent
	e.doubted = float64(silent) > doubtShare*float64(total)
	e.records.Turn(now, max(minGeneration, e.view.IdleTimeout), nil)
	return ended
}

// Segment decides on a segment that a caller sent.
func (e *Engine) Segment(now time.Duration, head segment.Head) Verdict {
	flow := head.FromCaller()
	e.load.received(now, head, flow.Service)
	switch {
	case e.view == nil || e.view.Version == 0:
		return Verdict{Reason: Unconfigured, Flow: flow}
	case head.Opening && head.Accepted:
		return Verdict{Reason: Irrelevant, Flow: flow}
	case head.Opening:
		return e.open(now, flow, head.Copy)
	}
	r, known := e.records.Get(flow)
	if !known || r.target == nil {
		return e.search(now, flow)
	}
	if r.target.replaced.Load() {
		// The next lifetime at the address may have opened the flow before its
		// entry was seen; only its agent knows.
		e.records.Put(flow, record{openings: r.openings})
		return e.search(now, flow)
	}
	return one(Known, flow, r.target, 0)
}

func one(reason Reason, flow segment.Flow, t *Target, attempt uint8) Verdict {
	v := Verdict{Action: Forward, Reason: reason, Flow: flow, Attempt: attempt}
	v.add(t)
	return v
}

// open decides on an opening.
func (e *Engine) open(now time.Duration, flow segment.Flow, copyNumber uint32) Verdict {
	route := e.view.routes[flow.Service]
	if route == nil {
		if !e.confirmed {
			return Verdict{Reason: NoRoute, Flow: flow}
		}
		return Verdict{Action: Reset, Reason: NoRoute, Flow: flow}
	}
	r, known := e.records.Get(flow)
	if known && copyNumber < r.openings && r.target != nil {
		// The network repeated the segment.
		return one(Opened, flow, r.target, 0)
	}
	if !known && copyNumber == 0 && e.relief && e.divert(now, flow) {
		return Verdict{Action: Reset, Reason: Diverted, Flow: flow}
	}
	t := e.choose(now, route.Service(flow.Hash()), flow, func(t *Target) bool { return t == r.target })
	if t == nil {
		t = r.target
	}
	if t == nil {
		return Verdict{Reason: NoTarget, Flow: flow}
	}
	next := record{target: t, openings: copyNumber + 1}
	reason := Opened
	if r.target != nil && r.target != t {
		next.previous = r.target
	}
	if copyNumber > 0 {
		reason = Repeated
	}
	if !e.records.Put(flow, next) {
		return Verdict{Reason: Overfull, Flow: flow}
	}
	t.sent++
	return one(reason, flow, t, 0)
}

// divert reports whether a new flow should go to another balancer. The hash of
// the flow decides which part of the flows does.
func (e *Engine) divert(now time.Duration, flow segment.Flow) bool {
	excess := e.load.excess(now, flow.Service)
	return excess > 0 && float64(mix(flow.Hash()^divertSalt)) < excess*math.MaxUint64
}

// Returned decides on a segment that a target or its agent handed back. From is
// the agent's host; its target may have left the view.
func (e *Engine) Returned(now time.Duration, from netip.Addr, head segment.Head) Verdict {
	flow := head.FromCaller()
	if e.view == nil {
		return Verdict{Reason: Unconfigured, Flow: flow}
	}
	if head.Opening {
		return e.openingReturned(now, from, flow, head)
	}
	return e.flowReturned(now, from, flow)
}

// openingReturned passes an opening on to the next target.
func (e *Engine) openingReturned(now time.Duration, from netip.Addr, flow segment.Flow, head segment.Head) Verdict {
	route := e.view.routes[flow.Service]
	if route == nil {
		return Verdict{Reason: NoRoute, Flow: flow}
	}
	s := e.searchOf(now, flow)
	if s == nil {
		return Verdict{Reason: Overfull, Flow: flow}
	}
	s.refuse(from)
	r, _ := e.records.Get(flow)
	t := e.choose(now, route.Service(flow.Hash()), flow, s.refusedBy)
	if t == nil {
		// Only a first copy without an alternative is certainly not open anywhere.
		if head.Copy == 0 && r.openings <= 1 && r.previous == nil {
			return Verdict{Action: Reset, Reason: Refused, Flow: flow}
		}
		return Verdict{Reason: Refused, Flow: flow}
	}
	if r.target.on(from) {
		r.target = t
	} else {
		r.previous, r.target = r.target, t
	}
	r.openings = max(r.openings, head.Copy+1)
	e.records.Put(flow, r)
	t.sent++
	return one(PassedOn, flow, t, segment.Unpack(head.Note).Attempt+1)
}
