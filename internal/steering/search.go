package steering

import (
	"container/heap"
	"net/netip"
	"slices"
	"time"

	"github.com/peridotstall/peridotstall/internal/segment"
)

// stage is the progress of a search.
type stage uint8

const (
	// notStarted searches have queried no agent.
	notStarted stage = iota
	querying
	// probing searches send the flow's segments to targets.
	probing
)

// search is the state of finding the owner of a flow, or a target for an opening that
// was returned. Agents are queried first. If no agent can know the owner, for example
// after a restart of the agents, segments of the flow go to the targets themselves,
// which return those of flows that they do not hold.
type search struct {
	stage stage
	// started is the time of the first segment, lastUsed that of the last one.
	started, lastUsed time.Duration
	// nextStep is the time of the next scheduled step; 0 if none is scheduled.
	nextStep time.Duration
	// rounds counts the queries.
	rounds int
	// returnedByTarget is set if the recorded target returned a segment of the flow.
	returnedByTarget bool
	// probed targets got a segment and have not returned it; the last ones were added
	// at probedAt.
	probed   []*Target
	probedAt time.Duration
	// busyReturns counts the targets that refused an opening because of their load.
	busyReturns int
	// quoted is the target that expects to answer the opening first, of those that refused
	// it because of their load, and quote the time in which it does.
	quoted *Target
	quote  time.Duration
	// mayWait is set once the opening was given leave to wait, until its agent gives up all
	// openings that wait; waited stays set.
	mayWait, waited bool
	// copyAt is the time of the last copy of the opening.
	copyAt time.Duration
	// excluded hosts returned a segment, or their agents sent a negative reply.
	excluded []netip.Addr
}

func (s *search) excludes(t *Target) bool { return slices.Contains(s.excluded, t.Agent.Addr()) }

// exclude records that the target on a host does not hold the flow.
func (s *search) exclude(from netip.Addr) {
	s.probed = slices.DeleteFunc(s.probed, func(t *Target) bool { return t.onHost(from) })
	if !slices.Contains(s.excluded, from) {
		s.excluded = append(s.excluded, from)
	}
}

// readmit makes a target that returned an opening a candidate for it again.
func (s *search) readmit(t *Target) {
	s.excluded = slices.DeleteFunc(s.excluded, t.onHost)
}

// include records that the target got another copy of an opening.
func (s *search) include(t *Target) {
	s.readmit(t)
	s.busyReturns = 0
}

// startProbe puts the next targets in front of those that were probed before and have
// not returned the segment.
func (s *search) startProbe(now time.Duration, next []*Target) {
	s.probed, s.probedAt = append(next, s.probed...), now
}

// searchFor returns the search for a flow and creates it if needed; nil if there are
// too many.
func (e *Engine) searchFor(now time.Duration, flow segment.Flow) *search {
	s := e.searches[flow]
	if s == nil {
		if len(e.searches) >= maxSearches {
			return nil
		}
		s = &search{started: now, copyAt: now}
		e.searches[flow] = s
	}
	s.lastUsed = now
	return s
}

// dueFlow is a flow with the time of the next step of its search.
type dueFlow struct {
	flow segment.Flow
	at   time.Duration
}

// dueFlows is a heap of flows by time, the earliest first.
type dueFlows []dueFlow

func (d dueFlows) Len() int           { return len(d) }
func (d dueFlows) Less(i, j int) bool { return d[i].at < d[j].at }
func (d dueFlows) Swap(i, j int)      { d[i], d[j] = d[j], d[i] }
func (d *dueFlows) Push(x any)        { *d = append(*d, x.(dueFlow)) }
func (d *dueFlows) Pop() any {
	last := (*d)[len(*d)-1]
	*d = (*d)[:len(*d)-1]
	return last
}

// schedule sets the time of the next step of a search.
func (e *Engine) schedule(s *search, flow segment.Flow, at time.Duration) {
	s.nextStep = at
	heap.Push(&e.due, dueFlow{flow, at})
}

// search decides on a segment of a flow without a known owner.
func (e *Engine) search(now time.Duration, flow segment.Flow) Verdict {
	s := e.searchFor(now, flow)
	switch {
	case s == nil:
		return Verdict{Reason: TableFull, Flow: flow}
	case s.stage == notStarted:
		s.stage, s.rounds = querying, 1
		e.schedule(s, flow, now+firstQueryTimeout)
		v := Verdict{Action: Query, Reason: Searching, Flow: flow, agents: e.queryTargets(flow, firstQueryAgents)}
		e.chargeQueries(now, len(v.agents))
		return v
	case s.stage == probing && (len(s.probed) == 0 || now-s.probedAt >= probeTimeout):
		return e.probe(now, s, flow)
	case s.stage == querying && s.nextStep == 0:
		return e.advanceSearch(now, s, flow)
	}
	return Verdict{Action: Hold, Reason: Searching, Flow: flow}
}

// advanceSearch runs the next step of a search that no agent has answered. Queries go
// alternately to all agents and to the first candidates. A query to all agents requests
// negative replies, each of which excludes the target, and the segment also goes to the
// targets whose agents have not seen all of their flows. After the last query all
// targets are probed.
func (e *Engine) advanceSearch(now time.Duration, s *search, flow segment.Flow) Verdict {
	s.nextStep = 0
	if s.rounds >= maxQueryRounds || s.returnedByTarget && s.rounds > 1 {
		return e.probe(now, s, flow)
	}
	if !e.queriesAllowed(now) {
		e.schedule(s, flow, now+requeryInterval)
		return Verdict{Action: Hold, Reason: Searching, Flow: flow}
	}
	v := Verdict{Reason: Searching, Flow: flow}
	if s.rounds%2 == 0 {
		v.agents = e.queryTargets(flow, firstQueryAgents)
	} else {
		v.agents, v.negativeReplies = e.queryTargets(flow, maxQueryAgents), true
		if s.rounds == 1 {
			v.agents = withoutUncovered(v.agents)
		}
		s.startProbe(now, e.nextProbeTargets(s, flow, maxFanout))
		v.addAll(s.probed)
	}
	v.Action = Query
	e.chargeQueries(now, len(v.agents))
	s.rounds++
	delay := requeryInterval
	if s.returnedByTarget {
		delay = lostFlowQueryTimeout - firstQueryTimeout
	}
	e.schedule(s, flow, now+delay)
	return v
}

// withoutUncovered returns the targets of a query but for those beyond the first ones whose
// agents have not seen all of their flows. These cannot reply that their target does not hold
// a flow, and after a restart of all agents they know none: queries to them would only use up
// the rate for other searches. Later queries go to them too.
func withoutUncovered(targets []*Target) []*Target {
	first := min(firstQueryAgents, len(targets))
	return append(targets[:first:first], slices.DeleteFunc(slices.Clone(targets[first:]), func(t *Target) bool { return !t.load.complete.Load() })...)
}

// queriesAllowed reports whether the query rate allows queries now.
func (e *Engine) queriesAllowed(now time.Duration) bool {
	e.chargeQueries(now, 0)
	return e.queryRate == 0 || e.queryCredit > 0
}

// chargeQueries deducts queries from the credit. The credit may become negative,
// because a query goes to all of its agents or to none.
func (e *Engine) chargeQueries(now time.Duration, queries int) {
	e.queryCredit = min(e.queryCredit+(now-e.creditUpdated).Seconds()*e.queryRate, e.queryRate*queryBurstWindow.Seconds()) - float64(queries)
	e.creditUpdated = now
}

// probe sends a segment to targets that may hold its flow.
func (e *Engine) probe(now time.Duration, s *search, flow segment.Flow) Verdict {
	s.stage = probing
	if len(s.probed) == 0 {
		// Starts a new round, because the list of targets may have changed.
		s.excluded = s.excluded[:0]
	}
	s.startProbe(now, e.nextProbeTargets(s, flow, maxFanout))
	return probeVerdict(flow, s.probed)
}

// DueSearches returns the flows whose search has a step due. The caller passes the
// first held segment of each to ContinueSearch.
func (e *Engine) DueSearches(now time.Duration) []segment.Flow {
	var flows []segment.Flow
	for len(e.due) > 0 && e.due[0].at <= now {
		next := heap.Pop(&e.due).(dueFlow)
		if s := e.searches[next.flow]; s != nil && s.nextStep == next.at {
			s.nextStep = 0
			flows = append(flows, next.flow)
		}
	}
	return flows
}

// NextDueSearch returns the time of the next step of any search; false if none is
// scheduled.
func (e *Engine) NextDueSearch() (time.Duration, bool) {
	if len(e.due) == 0 {
		return 0, false
	}
	return e.due[0].at, true
}

// ContinueSearch decides on a held segment of a flow whose search has a step due.
func (e *Engine) ContinueSearch(now time.Duration, flow segment.Flow) Verdict {
	if r, known := e.records.Get(flow); known && r.target != nil {
		return forwardTo(Known, flow, r.target, 0)
	}
	s := e.searchFor(now, flow)
	if s == nil || e.view == nil {
		return Verdict{Reason: TableFull, Flow: flow}
	}
	if s.stage != querying {
		return Verdict{Reason: Searching, Flow: flow}
	}
	return e.advanceSearch(now, s, flow)
}

// Searching reports whether there is a search for a flow.
func (e *Engine) Searching(flow segment.Flow) bool { return e.searches[flow] != nil }

// probeVerdict returns the verdict that sends a segment to targets.
func probeVerdict(flow segment.Flow, targets []*Target) Verdict {
	v := Verdict{Action: Forward, Reason: Searching, Flow: flow}
	v.addAll(targets)
	if v.count == 0 {
		return Verdict{Reason: NoTarget, Flow: flow}
	}
	return v
}

// flowReturned continues the search after a target returned a segment of a flow that it
// does not hold. The segment goes to one more target for each return, so that a silent
// target does not delay the search.
func (e *Engine) flowReturned(now time.Duration, from netip.Addr, flow segment.Flow) Verdict {
	r, known := e.records.Get(flow)
	if known && r.target != nil && !r.target.onHost(from) {
		if r.previous.onHost(from) {
			r.previous = nil
			e.records.Put(flow, r)
		}
		// The owner was found in the meantime.
		return forwardTo(Known, flow, r.target, 0)
	}
	s := e.searchFor(now, flow)
	if s == nil {
		return Verdict{Reason: TableFull, Flow: flow}
	}
	s.exclude(from)
	if known && r.target.onHost(from) {
		s.returnedByTarget = true
		e.records.Put(flow, record{openings: r.openings, forgotten: true})
		if r.previous != nil && !s.excludes(r.previous) {
			s.startProbe(now, []*Target{r.previous})
			return probeVerdict(flow, s.probed)
		}
	}
	if s.stage == notStarted {
		return e.search(now, flow)
	}
	if next := e.nextProbeTargets(s, flow, 1); len(next) > 0 {
		s.startProbe(now, next)
		return probeVerdict(flow, next)
	}
	if !e.allExcluded(s, flow) {
		// The other targets got their own copy of this segment, or replies of
		// agents are outstanding.
		return Verdict{Reason: Searching, Flow: flow}
	}
	return e.noOwnerVerdict(flow)
}

// NegativeReply decides on a held segment of a flow after an agent that has seen all
// flows of its target sent a negative reply.
func (e *Engine) NegativeReply(from netip.Addr, flow segment.Flow) Verdict {
	s := e.searches[flow]
	if s == nil || s.stage == notStarted || e.view == nil {
		return Verdict{Reason: Searching, Flow: flow}
	}
	s.exclude(from)
	if !e.allExcluded(s, flow) {
		return Verdict{Reason: Searching, Flow: flow}
	}
	v := e.noOwnerVerdict(flow)
	if v.Action == Reset {
		delete(e.searches, flow)
	}
	return v
}

// allExcluded reports whether every target that may hold a flow returned a segment of
// it or its agent sent a negative reply.
func (e *Engine) allExcluded(s *search, flow segment.Flow) bool {
	for _, name := range e.view.servicesOf(flow.Service) {
		for _, t := range e.view.services[name] {
			if !t.Disowned() && !s.excludes(t) {
				return false
			}
		}
	}
	return true
}

// noOwnerVerdict ends a round in which every target was excluded. Targets are
// authoritative for their flows, so that the flow is lost if the list of targets is the
// newest one; the caller then gets a reset at once.
func (e *Engine) noOwnerVerdict(flow segment.Flow) Verdict {
	if e.confirmed && !e.linkDoubted {
		return Verdict{Action: Reset, Reason: NoOwner, Flow: flow}
	}
	return Verdict{Reason: NoOwner, Flow: flow}
}

// SearchResult describes a search that ended because an agent reported the owner.
type SearchResult struct {
	// Rounds is the number of queries; 0 if there was no search.
	Rounds int
	// Waited is the time since the first segment of the flow.
	Waited time.Duration
}

// SetOwner records the target that holds a flow and ends the search for it.
func (e *Engine) SetOwner(now time.Duration, flow segment.Flow, t *Target) SearchResult {
	r, _ := e.records.Get(flow)
	e.records.Put(flow, record{target: t, openings: r.openings})
	s := e.searches[flow]
	if s == nil {
		return SearchResult{}
	}
	delete(e.searches, flow)
	return SearchResult{Rounds: s.rounds, Waited: now - s.started}
}

// RestoreFlow records a flow that this balancer forwarded to a target before it
// restarted. State from after the restart takes precedence.
func (e *Engine) RestoreFlow(now time.Duration, flow segment.Flow, t *Target) {
	if r, known := e.records.Get(flow); known && r.target != nil {
		return
	}
	if s := e.searches[flow]; s != nil && s.excludes(t) {
		return
	}
	e.SetOwner(now, flow, t)
}
