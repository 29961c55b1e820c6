// Package steering decides for a balancer where each segment goes. Targets are
// authoritative for their flows: a target returns segments of flows that it does not
// hold, and the engine then tries to find the owner elsewhere. The package does no I/O;
// the caller serializes calls of an Engine and executes its verdicts.
package steering

import (
	"net/netip"
	"time"

	"github.com/peridotstall/peridotstall/internal/generations"
	"github.com/peridotstall/peridotstall/internal/registry"
	"github.com/peridotstall/peridotstall/internal/segment"
)

const (
	// maxFanout bounds the targets that get one segment of a flow during the search for
	// its owner.
	maxFanout = 8
	// maxFlows bounds each of the two generations of flow records: 64 times the 16,000
	// flows of a balancer at the design size.
	maxFlows = 1 << 20
	// firstQueryAgents is the number of agents that the first query goes to: the owner
	// is among the first candidates unless those were busy.
	firstQueryAgents = 8
	// maxQueryAgents bounds the agents that are queried for a flow.
	maxQueryAgents = 256
	// firstQueryTimeout is the timeout of the first query: three round trips to another
	// zone of the region.
	firstQueryTimeout = 10 * time.Millisecond
	// lostFlowQueryTimeout is the time from the first query until the targets are
	// probed if the recorded target has returned a segment of the flow.
	lostFlowQueryTimeout = 60 * time.Millisecond
	// requeryInterval is the time between two queries for a flow: half of the shortest
	// retransmission interval.
	requeryInterval = 100 * time.Millisecond
	// maxQueryRounds is the number of queries after which all targets are probed for a
	// flow. On a congested link that loses half of the datagrams, and so three of four
	// replies, one in a hundred searches gets this far.
	maxQueryRounds = 16
	// queryLinkShare is the share of the host's link that queries may use, so that they
	// do not crowd out segments.
	queryLinkShare = 0.1
	// querySize is the size of a query in bytes, including the headers of lower layers.
	querySize = 64
	// queryBurstWindow is the time over which unused query credit accumulates.
	queryBurstWindow = 250 * time.Millisecond
	// maxSearches bounds the concurrent searches.
	maxSearches = 8192
	// searchTTL is the time for which a search is kept after the last segment. It
	// exceeds the longest retransmission interval, 1.6 s.
	searchTTL = 2500 * time.Millisecond
	// probeTimeout is the time after which targets that have not returned a segment no
	// longer delay probes of further ones. It exceeds the round trip time to any target
	// and is below the shortest retransmission interval.
	probeTimeout = 100 * time.Millisecond
	// divertSalt makes the choice of diverted flows independent of the choice of
	// targets.
	divertSalt = 0x6469766572746564
	// minFlowTTL is the minimum time for which an idle flow is kept.
	minFlowTTL = 15 * time.Second
	// linkDoubtShare is the share of silent targets above which the balancer assumes a
	// fault of its own link rather than of the targets.
	linkDoubtShare = 0.5
	// maxBusyReturns is the number of targets that refuse an opening because of their load
	// before its caller gets a reset: each costs a round trip of the caller's objective.
	maxBusyReturns = 4
	// trustedBusyReturns is the number of such targets after which the reports of the next
	// one are trusted. Reports are some ten milliseconds old, in which slots become free.
	trustedBusyReturns = 2
	// firstReportTimeout is the time after the first view for which openings wait for a
	// report of any target of their service: some round trips to another zone. An agent
	// that has not started yet loses the opening, which costs its caller 200 ms.
	firstReportTimeout = 30 * time.Millisecond
)

// Action is what the balancer does with a segment.
type Action uint8

// Actions.
const (
	Drop Action = iota
	// Forward sends the segment to the targets of the verdict.
	Forward
	// Hold buffers the segment until the owner of its flow is known.
	Hold
	// Query buffers the segment, queries the agents of the verdict for the flow and
	// sends the segment to the targets of the verdict, if any.
	Query
	// Reset answers the caller with a reset.
	Reset
	// Wait buffers the segment and decides again when the view or a report changed.
	Wait
)

// Reason is the cause of a verdict. It appears in logs and metrics.
type Reason uint8

// Reasons.
const (
	// Known: the flow has a recorded target.
	Known Reason = iota
	// Opened: a new flow was given a target.
	Opened
	// Repeated: a later copy of the opening was given a target, if possible not that of
	// the copy before.
	Repeated
	// Retried: the opening was returned by a target and is retried on the next one.
	Retried
	// Searching: the owner of the flow is being searched for.
	Searching
	// Unconfigured: no configuration has been received yet.
	Unconfigured
	// NoRoute: no service has the address.
	NoRoute
	// NoTarget: no target can take the segment.
	NoTarget
	// Refused: every target returned the opening.
	Refused
	// NoOwner: no target holds the flow.
	NoOwner
	// TableFull: the table of flows or of searches is full.
	TableFull
	// Diverted: the flow would overload the link; the caller retries through another
	// balancer.
	Diverted
	// NotFromCaller: callers do not send this kind of segment.
	NotFromCaller
	// Unreported: no target of the service has reported yet, shortly after the start of
	// the balancer.
	Unreported
	// Overloaded: several targets refused the opening because of their load.
	Overloaded
	// Expired: the timeout of the route is over before the opening is placed.
	Expired
	// Evacuated: all targets that could take the opening are in evacuated zones.
	Evacuated
	// WarmingUp: the targets that may take the opening are cold, and their warm-up leaves no
	// credit.
	WarmingUp
	// Waiting: the opening waits at an agent, which gets its further copies.
	Waiting
	reasonCount
)

var reasonNames = [reasonCount]string{
	"known", "opened", "repeated", "passed_on", "searching", "unconfigured", "no_route",
	"no_target", "refused", "ownerless", "overfull", "diverted", "irrelevant", "unreported",
	"overloaded", "expired", "evacuated", "warming_up", "waiting",
}

// String returns the name used in logs and metrics.
func (r Reason) String() string { return reasonNames[r] }

// ReasonNames returns the names of all reasons in numeric order.
func ReasonNames() []string { return reasonNames[:] }

// Verdict is the decision on one segment.
type Verdict struct {
	Action Action
	Reason Reason
	Flow   segment.Flow
	// Attempt counts the targets that returned this opening before.
	Attempt uint8
	// Priority, Budget and Late are those of the opening's route; see segment.Mark.
	Priority uint8
	Budget   time.Duration
	Late     bool
	// Patience and MayWait are those of an opening; see segment.Mark.
	Patience time.Duration
	MayWait  bool
	// Withdraw is the target at which the opening waits, if another one takes it; nil
	// otherwise.
	Withdraw        *Target
	targets         [maxFanout]*Target
	count           int
	agents          []*Target
	negativeReplies bool
	// cold is set on an opening that goes to a cold target with a rate.
	cold bool
}

// NegativeReplies reports whether the query requests negative replies from agents whose
// targets do not hold the flow.
func (v *Verdict) NegativeReplies() bool { return v.negativeReplies }

// Agents returns the targets whose agents are queried for the flow.
func (v *Verdict) Agents() []*Target { return v.agents }

// Targets returns the targets that get the segment. The slice is valid until
// the next call of the engine.
func (v *Verdict) Targets() []*Target { return v.targets[:v.count] }

// Mark returns the mark of the copy that goes to a target.
func (v *Verdict) Mark(t *Target) uint64 {
	return segment.Mark{
		Tag: t.Tag, Attempt: v.Attempt, Search: v.Reason == Searching,
		Priority: v.Priority, Budget: v.Budget, Late: v.Late, Patience: v.Patience, MayWait: v.MayWait, Cold: v.cold,
	}.PackOpening()
}

// setUrgency sets the priority, the budget and the patience of an opening.
func (v *Verdict) setUrgency(route *registry.Route, head segment.Head) {
	v.Priority = min(route.Priority, segment.MaxPriority)
	if route.Aim == 0 {
		return
	}
	v.Budget = max(route.Aim-head.Age, 0)
	v.Late = v.Budget == 0
	v.Patience = patience(route, head)
}

// patience returns the time for which the caller of an opening waits for an answer; 0 if an
// answer after the objective of the route is of no use, or the time is unknown.
func patience(route *registry.Route, head segment.Head) time.Duration {
	if route.Aim == 0 || route.Timeout <= route.Aim {
		return 0
	}
	left := route.Timeout - head.Age
	if head.Patience > 0 {
		left = min(left, head.Patience)
	}
	return max(left, 0)
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

// record is the state that the engine keeps of a flow.
type record struct {
	target *Target
	// previous got an earlier copy of the opening and may hold the flow instead.
	previous *Target
	// waits is set if the opening waits at the agent of the target.
	waits bool
	// forgotten is set if a further target got a copy of the opening, did not return it
	// and is no longer recorded.
	forgotten bool
	// openings is one more than the highest copy number of the opening.
	openings uint32
}

// Policy selects the mechanisms of the choice among targets. It exists so that the worth
// of each can be measured.
type Policy struct {
	// MaxBusyReturns is the number of targets that may refuse an opening because of
	// their load before its caller gets a reset.
	MaxBusyReturns int
	// TrustReports ends an opening after trustedBusyReturns refusals if the report of the
	// best remaining candidate says that it refuses the opening too.
	TrustReports bool
	// Wait gives openings that several targets refused leave to wait at one of them.
	Wait bool
	// ByServiceTime compares targets by expected completion. Without it, they are
	// compared by the number of requests per slot.
	ByServiceTime bool
	// DivertOnce does not divert a caller's opening again that comes back to a balancer
	// shortly after it was diverted.
	DivertOnce bool
	// DivertFull diverts openings of heavy routes while the windows of the flows that send
	// fill the link.
	DivertFull bool
}

// DefaultPolicy returns the policy with all mechanisms.
func DefaultPolicy() Policy {
	return Policy{
		MaxBusyReturns: maxBusyReturns, ByServiceTime: true, TrustReports: true,
		DivertOnce: true, DivertFull: true, Wait: true,
	}
}

// Engine steers the segments of one balancer.
type Engine struct {
	policy Policy
	zone   string
	view   *View
	// viewSince is the time of the first view; 0 before it.
	viewSince time.Duration
	// records holds a flow until it has been idle for a whole generation.
	records  *generations.Map[segment.Flow, record]
	searches map[segment.Flow]*search
	// confirmed is set if the store responded recently and no peer is known to have a
	// newer view.
	confirmed bool
	// linkDoubted is set while more than linkDoubtShare of the targets are silent.
	linkDoubted bool
	// divertEnabled is set if most balancers that receive callers' segments have a much
	// larger link than this one.
	divertEnabled bool
	// divertFullEnabled is set if some of them have a larger link.
	divertFullEnabled bool
	load              linkLoad
	period            segment.RankPeriod
	// silent is the number of silent targets at the last tick.
	silent int
	// local, all and scratch are buffers of rank.
	local, all []rankedTarget
	scratch    []*Target
	// due holds the scheduled steps of searches.
	due dueFlows
	// queryRate is the number of queries allowed per second, 0 for no limit;
	// queryCredit is the number allowed at creditUpdated.
	queryRate, queryCredit float64
	creditUpdated          time.Duration
}

// New returns an engine for a balancer in a zone. The link rate is in bytes per second;
// 0 means unlimited.
func New(zone string, linkRate float64) *Engine {
	return NewWithPolicy(zone, linkRate, DefaultPolicy())
}

// NewWithPolicy returns an engine with some of its mechanisms switched off.
func NewWithPolicy(zone string, linkRate float64, policy Policy) *Engine {
	return &Engine{
		policy:    policy,
		zone:      zone,
		queryRate: linkRate * queryLinkShare / querySize,
		load:      newLinkLoad(linkRate),
		records:   generations.New[segment.Flow, record](maxFlows),
		searches:  make(map[segment.Flow]*search),
	}
}

// SetView replaces the view of routes and targets.
func (e *Engine) SetView(now time.Duration, v *View) {
	e.view = v
	if e.viewSince == 0 && e.configured() {
		e.viewSince = now
	}
}

// configured reports whether routes and targets have been received.
func (e *Engine) configured() bool {
	return e.view != nil && e.view.Version != 0 && e.view.Revision != 0
}

// View returns the view in use; nil before the first SetView.
func (e *Engine) View() *View { return e.view }

// Flows returns the number of recorded flows.
func (e *Engine) Flows() int { return e.records.Len() }

// Searches returns the number of searches in progress.
func (e *Engine) Searches() int { return len(e.searches) }

// SetDivert enables diversion of heavy flows. The caller enables it if most balancers
// that receive callers' segments have a much larger link than this one.
func (e *Engine) SetDivert(enabled bool) { e.divertEnabled = enabled }

// SetDivertFull enables diversion of heavy flows while the windows of others fill the link.
// The caller enables it if some balancers that receive callers' segments have a larger link
// than this one.
func (e *Engine) SetDivertFull(enabled bool) { e.divertFullEnabled = enabled }

// SetPeriod sets the period for which callers are ranked.
func (e *Engine) SetPeriod(period segment.RankPeriod) { e.period = period }

// LinkDoubted reports whether more than half of the targets are silent, so that a fault
// of the balancer's own link is the likely cause.
func (e *Engine) LinkDoubted() bool { return e.linkDoubted }

// SilentTargets returns the number of silent targets at the last tick.
func (e *Engine) SilentTargets() int { return e.silent }

// Tick expires state and returns the flows whose search ended without a result.
// Confirmed reports whether the view is the newest one: the store responded recently and
// no peer has a newer one.
func (e *Engine) Tick(now time.Duration, confirmed bool) (ended []segment.Flow) {
	e.confirmed = confirmed
	for flow, s := range e.searches {
		if now-s.lastUsed > searchTTL {
			delete(e.searches, flow)
			ended = append(ended, flow)
		}
	}
	if e.view == nil {
		return ended
	}
	silent, total := e.countSilent(now, true)
	if total == 0 {
		silent, total = e.countSilent(now, false)
	}
	e.silent = silent
	e.linkDoubted = float64(silent) > linkDoubtShare*float64(total)
	e.records.Rotate(now, max(minFlowTTL, e.view.IdleTimeout), nil)
	return ended
}

// countSilent returns the numbers of silent targets and of all. Targets that have never reported
// say something of the own link only if no other one has: their entries may name hosts without
// an agent.
func (e *Engine) countSilent(now time.Duration, reported bool) (silent, total int) {
	for _, targets := range e.view.services {
		for _, t := range targets {
			if t.Disowned() || reported && !t.Reported() {
				continue
			}
			total++
			if t.Silent(now) {
				silent++
			}
		}
	}
	return silent, total
}

// Segment decides on a segment from a caller.
func (e *Engine) Segment(now time.Duration, head segment.Head) Verdict {
	flow := head.FromCaller()
	e.load.add(now, head, flow)
	switch {
	case !e.configured():
		return Verdict{Action: Wait, Reason: Unconfigured, Flow: flow}
	case head.Opening && head.Accepted:
		return Verdict{Reason: NotFromCaller, Flow: flow}
	case head.Opening:
		return e.placeOpening(now, flow, head)
	}
	r, known := e.records.Get(flow)
	if !known || r.target == nil {
		return e.search(now, flow)
	}
	if r.target.replaced.Load() || r.target.Disowned() {
		// The next incarnation at the address may have opened the flow before its entry
		// arrived here; only its agent knows.
		e.records.Put(flow, record{openings: r.openings, forgotten: true})
		return e.search(now, flow)
	}
	return forwardTo(Known, flow, r.target, 0)
}

func forwardTo(reason Reason, flow segment.Flow, t *Target, attempt uint8) Verdict {
	v := Verdict{Action: Forward, Reason: reason, Flow: flow, Attempt: attempt}
	v.add(t)
	return v
}

// Returned decides on a segment that a target or its agent returned. From is the
// agent's host; its target may no longer be in the view.
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
