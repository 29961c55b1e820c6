package steering

import (
	"container/heap"
	"net/netip"
	"slices"
	"time"

	"github.com/peridotstall/peridotstall/internal/segment"
)

// stage is how far a search has come.
type stage uint8

const (
	// begun searches have asked nobody.
	begun stage = iota
	// asking searches query agents.
	asking
	// probing searches send the flow's segments to targets.
	probing
)

// search is the state of finding the owner of a flow, or a target for an
// opening that was returned. Agents are queried first; where none can know, for
// example because it was restarted, segments of the flow go to the targets
// themselves, which return what they do not hold.
type search struct {
	stage stage
	// since is the time of the first segment, used that of the last one.
	since, used time.Duration
	// due is the time of the next step; 0 if none is planned.
	due time.Duration
	// rounds counts the queries.
	rounds int
	// lost says that the target on record returned a segment of the flow.
	lost bool
	// asked targets have got a segment and have not returned it; the last ones
	// were added at askedAt.
	asked   []*Target
	askedAt time.Duration
	// refused hosts returned a segment, or their agents denied the flow.
	refused []netip.Addr
}

func (s *search) refusedBy(t *Target) bool { return slices.Contains(s.refused, t.Agent.Addr()) }

// refuse records that the target on a host does not hold the flow.
func (s *search) refuse(from netip.Addr) {
	s.asked = slices.DeleteFunc(s.asked, func(t *Target) bool { return t.on(from) })
	if !slices.Contains(s.refused, from) {
		s.refused = append(s.refused, from)
	}
}

// begin asks the next targets; those that were asked before and are silent stay
// behind them.
func (s *search) begin(now time.Duration, next []*Target) {
	s.asked, s.askedAt = append(next, s.asked...), now
}

// searchOf returns the search of a flow and begins one if needed; nil when there
// are too many.
func (e *Engine) searchOf(now time.Duration, flow segment.Flow) *search {
	s := e.searches[flow]
	if s == nil {
		if len(e.searches) >= maxSearches {
			return nil
		}
		s = &search{since: now}
		e.searches[flow] = s
	}
	s.used = now
	return s
}

// dueFlow is a flow whose search goes on at a time.
type dueFlow struct {
	flow segment.Flow
	at   time.Duration
}

// dueFlows is a heap of flows, the earliest first.
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

// schedule plans the next step of a search.
func (e *Engine) schedule(s *search, flow segment.Flow, at time.Duration) {
	s.due = at
	heap.Push(&e.due, dueFlow{flow, at})
}

// search decides on a segment of a flow without a known owner.
func (e *Engine) search(now time.Duration, flow segment.Flow) Verdict {
	s := e.searchOf(now, flow)
	switch {
	case s == nil:
		return Verdict{Reason: Overfull, Flow: flow}
	case s.stage == begun:
		s.stage, s.rounds = asking, 1
		e.schedule(s, flow, now+queryWait)
		v := Verdict{Action: Query, Reason: Searching, Flow: flow, agents: e.queryTargets(flow, firstQueries)}
		e.spend(now, len(v.agents))
		return v
	case s.stage == probing && (len(s.asked) == 0 || now-s.askedAt >= askInterval):
		return e.probe(now, s, flow)
	case s.stage == asking && s.due == 0:
		return e.step(now, s, flow)
	}
	return Verdict{Action: Hold, Reason: Searching, Flow: flow}
}

// step goes on with a search that no agent has answered: it queries agents, all
// of them and the first candidates by turns, and sends the segment to the
// targets whose agents do not know all of their flows. Agents that do know deny
// the flow, which counts as if the target had returned a segment. In the end all
// targets are probed.
func (e *Engine) step(now time.Duration, s *search, flow segment.Flow) Verdict {
	s.due = 0
	if s.rounds >= maxRounds || s.lost && s.rounds > 1 {
		return e.probe(now, s, flow)
	}
	if !e.maySpend(now) {
		e.schedule(s, flow, now+requeryInterval)
		return Verdict{Action: Hold, Reason: Searching, Flow: flow}
	}
	v := Verdict{Reason: Searching, Flow: flow}
	if s.rounds%2 == 0 {
		v.agents = e.queryTargets(flow, firstQueries)
	} else {
		v.agents, v.deny = e.queryTargets(flow, maxQueries), true
		s.begin(now, e.nextTargets(s, flow, maxFanout))
		v.addAll(s.asked)
	}
	v.Action = Query
	e.spend(now, len(v.agents))
	s.rounds++
	wait := requeryInterval
	if s.lost {
		wait = probeWait - queryWait
	}
	e.schedule(s, flow, now+wait)
	return v
}

// maySpend reports whether queries may be sent now.
func (e *Engine) maySpend(now time.Duration) bool {
	e.spend(now, 0)
	return e.queryRate == 0 || e.credit > 0
}

// spend counts queries against the rate of the balancer. The credit may become
// negative: a round is never cut.
func (e *Engine) spend(now time.Duration, queries int) {
	e.credit = min(e.credit+(now-e.credited).Seconds()*e.queryRate, e.queryRate*queryBurst.Seconds()) - float64(queries)
	e.credited = now
}

// probe sends a segment to targets that may hold its flow.
func (e *Engine) probe(now time.Duration, s *search, flow segment.Flow) Verdict {
	s.stage = probing
	if len(s.asked) == 0 {
		// A new round, because the list of targets may have changed.
		s.refused = s.refused[:0]
	}
	s.begin(now, e.nextTargets(s, flow, maxFanout))
	return ask(flow, s.asked)
}

// Overdue returns the flows whose search goes on now because no agent has
// answered. The caller hands the first held segment of each to Continue.
func (e *Engine) Overdue(now time.Duration) []segment.Flow {
	var flows []segment.Flow
	for len(e.due) > 0 && e.due[0].at <= now {
		next := heap.Pop(&e.due).(dueFlow)
		if s := e.searches[next.flow]; s != nil && s.due == next.at {
			s.due = 0
			flows = append(flows, next.flow)
		}
	}
	return flows
}

// NextOverdue returns the time at which the next search goes on; false when
// there is none.
func (e *Engine) NextOverdue() (time.Duration, bool) {
	if len(e.due) == 0 {
		return 0, false
	}
	return e.due[0].at, true
}

// Continue decides on a held segment of a flow whose search is overdue.
func (e *Engine) Continue(now time.Duration, flow segment.Flow) Verdict {
	if r, known := e.records.Get(flow); known && r.target != nil {
		return one(Known, flow, r.target, 0)
	}
	s := e.searchOf(now, flow)
	if s == nil || e.view == nil {
		return Verdict{Reason: Overfull, Flow: flow}
	}
	if s.stage != asking {
		return Verdict{Reason: Searching, Flow: flow}
	}
	return e.step(now, s, flow)
}

// Searching reports whether the owner of a flow is searched.
func (e *Engine) Searching(flow segment.Flow) bool { return e.searches[flow] != nil }

// ask returns the verdict that sends a segment to targets.
func ask(flow segment.Flow, targets []*Target) Verdict {
	v := Verdict{Action: Forward, Reason: Searching, Flow: flow}
	v.addAll(targets)
	if v.count == 0 {
		return Verdict{Reason: NoTarget, Flow: flow}
	}
	return v
}

// flowReturned continues after a target returned a segment of a flow that it
// does not hold: the segment goes to one more target, so that a silent one does
// not hold up the others.
func (e *Engine) flowReturned(now time.Duration, from netip.Addr, flow segment.Flow) Verdict {
	r, known := e.records.Get(flow)
	if known && r.target != nil && !r.target.on(from) {
		if r.previous.on(from) {
			r.previous = nil
			e.records.Put(flow, r)
		}
		// The owner became known meanwhile.
		return one(Known, flow, r.target, 0)
	}
	s := e.searchOf(now, flow)
	if s == nil {
		return Verdict{Reason: Overfull, Flow: flow}
	}
	s.refuse(from)
	if known && r.target.on(from) {
		s.lost = true
		e.records.Put(flow, record{openings: r.openings})
		if r.previous != nil && !s.refusedBy(r.previous) {
			s.begin(now, []*Target{r.previous})
			return ask(flow, s.asked)
		}
	}
	if s.stage == begun {
		return e.search(now, flow)
	}
	if next := e.nextTargets(s, flow, 1); len(next) > 0 {
		s.begin(now, next)
		return ask(flow, next)
	}
	if !e.allRefused(s, flow) {
		// The other targets got their own copy of this segment, or agents may
		// still answer.
		return Verdict{Reason: Searching, Flow: flow}
	}
	return e.ownerless(flow)
}

// Denied decides on a held segment of a flow after an agent that knows all flows
// of its target has denied this one.
func (e *Engine) Denied(from netip.Addr, flow segment.Flow) Verdict {
	s := e.searches[flow]
	if s == nil || s.stage == begun || e.view == nil {
		return Verdict{Reason: Searching, Flow: flow}
	}
	s.refuse(from)
	if !e.allRefused(s, flow) {
		return Verdict{Reason: Searching, Flow: flow}
	}
	v := e.ownerless(flow)
	if v.Action == Reset {
		delete(e.searches, flow)
	}
	return v
}

// allRefused reports whether every target that may hold a flow returned it, or its
// agent denied it.
func (e *Engine) allRefused(s *search, flow segment.Flow) bool {
	for _, name := range e.view.servicesOf(flow.Service) {
		for _, t := range e.view.services[name] {
			if !s.refusedBy(t) {
				return false
			}
		}
	}
	return true
}

// ownerless ends a round in which every target returned a segment of the flow.
// Each is the authority on its flows, so that the flow is lost, and the caller is
// told at once, if the list of targets is the newest one.
func (e *Engine) ownerless(flow segment.Flow) Verdict {
	if e.confirmed && !e.doubted {
		return Verdict{Action: Reset, Reason: Ownerless, Flow: flow}
	}
	return Verdict{Reason: Ownerless, Flow: flow}
}

// Found tells of the search that the word of an agent ended.
type Found struct {
	// Rounds is the number of queries; 0 if there was no search.
	Rounds int
	// Waited is the time since the first segment of the flow.
	Waited time.Duration
}

// Owner records that a target holds a flow, and ends the search for it.
func (e *Engine) Owner(now time.Duration, flow segment.Flow, t *Target) Found {
	r, _ := e.records.Get(flow)
	e.records.Put(flow, record{target: t, openings: r.openings})
	s := e.searches[flow]
	if s == nil {
		return Found{}
	}
	delete(e.searches, flow)
	return Found{Rounds: s.rounds, Waited: now - s.since}
}

// Recall records a flow that this balancer forwarded to a target before it was
// restarted. What it has learned since then is newer.
func (e *Engine) Recall(now time.Duration, flow segment.Flow, t *Target) {
	if r, known := e.records.Get(flow); known && r.target != nil {
		return
	}
	if s := e.searches[flow]; s != nil && s.refusedBy(t) {
		return
	}
	e.Owner(now, flow, t)
}
