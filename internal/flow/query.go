package flow

import (
	"bytes"
	"maps"
	"slices"
	"time"

	"github.com/peridotstall/peridotstall/internal/errkind"
	"github.com/peridotstall/peridotstall/internal/placement"
	"github.com/peridotstall/peridotstall/internal/schema"
	"github.com/peridotstall/peridotstall/internal/wire"
)

// maxQueriesPerFlow is the number of targets queried about one flow from which on
// no further candidates that replies name are queried.
const maxQueriesPerFlow = 16

// pendingFlow is a flow for which replies to queries are awaited.
type pendingFlow struct {
	hash    uint64
	key     placement.Key
	packets []Packet
	queries []*query
	// fullWindowReply is set by a reply of an agent that has been running and
	// in contact for a whole window.
	fullWindowReply bool
}

// query is the state of a query to one target.
type query struct {
	target   uint32
	sequence uint64
	attempts int
	deadline time.Time
	replied  bool
}

// handleUnknown processes a packet of a flow that this agent does not own.
func (c *Core) handleUnknown(now time.Time, p Packet) {
	hash := c.hash(p.Key)
	if c.baseline {
		c.open(now, hash, []Packet{p})
		return
	}
	if waiting := c.pending[hash]; waiting != nil {
		c.bufferPacket(waiting, p)
		return
	}
	target, known := c.directory.lookup(hash)
	known = known && !slices.Contains(p.RefusedBy, target)
	if known && !c.view.Dead(target) {
		c.forward(p, target)
		return
	}
	candidates := c.candidates(p.Key.Service, hash)
	position := slices.Index(candidates, c.self)
	if position < 0 {
		c.forwardToCandidate(p, candidates)
		return
	}
	if p.Age > c.limits.MaxOpeningAge {
		c.drop(p, schema.ErrorKind_TOO_OLD, "too old to open a flow")
		return
	}
	owners := c.possibleOwners(now, hash, p, candidates, position)
	if known && !slices.Contains(owners, target) {
		owners = append(owners, target)
	}
	c.openOrQuery(now, hash, p, c.skipDead(p.Key.Service, owners))
}

// skipDead removes dead targets if the service opens flows on a timeout anyway:
// waiting for them would only delay every new flow.
func (c *Core) skipDead(service uint32, targets []uint32) []uint32 {
	if !c.opensOnTimeout(service) {
		return targets
	}
	return slices.DeleteFunc(targets, c.view.Dead)
}

func (c *Core) forwardToCandidate(p Packet, candidates []uint32) {
	for _, id := range candidates {
		if c.view.Usable(id) && !slices.Contains(p.RefusedBy, id) {
			c.forward(p, id)
			return
		}
	}
	c.drop(p, schema.ErrorKind_REFUSED_NO_TARGET, "no usable candidate")
}

func (c *Core) forward(p Packet, target uint32) {
	if p.Hops >= wire.MaxHops {
		c.drop(p, schema.ErrorKind_UNKNOWN_FLOW, "hop limit reached")
		return
	}
	p.Hops++
	c.emit(Forward{Target: target, Packet: p})
}

// possibleOwners returns the targets that may already own the flow. A settled
// first candidate has none to query. A settled later candidate queries those
// before it, except targets that refused the flow. An unsettled agent queries
// all candidates, including those of earlier revisions and those that refused
// the flow: a target that restarted since has lost its promise (model handover,
// TRUST_PASSED).
func (c *Core) possibleOwners(now time.Time, hash uint64, p Packet, candidates []uint32, position int) []uint32 {
	owners := []uint32{}
	if c.settle.unsettled(now, p.Key.Service) {
		owners = c.recentCandidates(now, p.Key.Service, hash)
	} else {
		for _, id := range candidates[:position] {
			if !slices.Contains(p.RefusedBy, id) {
				owners = append(owners, id)
			}
		}
	}
	return slices.DeleteFunc(owners, func(id uint32) bool { return id == c.self })
}

func (c *Core) openOrQuery(now time.Time, hash uint64, p Packet, targets []uint32) {
	if len(targets) == 0 {
		c.stats.OpenedWithoutQuery++
		c.open(now, hash, []Packet{p})
		return
	}
	c.startQueries(now, hash, p, targets)
}

func (c *Core) startQueries(now time.Time, hash uint64, p Packet, targets []uint32) {
	if c.buffered >= c.limits.BufferedTotal {
		c.drop(p, schema.ErrorKind_REFUSED_OVERLOAD, "too many buffered packets")
		return
	}
	waiting := &pendingFlow{hash: hash, key: p.Key}
	c.pending[hash] = waiting
	c.bufferPacket(waiting, p)
	for _, target := range targets {
		c.addQuery(now, waiting, target)
	}
}

func (c *Core) addQuery(now time.Time, waiting *pendingFlow, target uint32) {
	c.sequence++
	q := &query{target: target, sequence: c.sequence}
	waiting.queries = append(waiting.queries, q)
	c.sendQuery(now, waiting, q)
}

func (c *Core) bufferPacket(waiting *pendingFlow, p Packet) {
	if len(waiting.packets) >= c.limits.BufferedPerFlow || c.buffered >= c.limits.BufferedTotal {
		c.drop(p, schema.ErrorKind_REFUSED_OVERLOAD, "too many buffered packets")
		return
	}
	// The payload is only valid during the call of HandlePacket.
	p.Payload = bytes.Clone(p.Payload)
	waiting.packets = append(waiting.packets, p)
	c.buffered++
}

func (c *Core) sendQuery(now time.Time, waiting *pendingFlow, q *query) {
	q.attempts++
	q.deadline = now.Add(c.limits.QueryTimeout)
	c.stats.Queries++
	c.emit(SendQuery{Target: q.target, Ask: &schema.Ask{
		Sequence: q.sequence,
		FlowHash: waiting.hash,
		Asker:    c.self,
		Service:  waiting.key.Service,
	}})
}

// HandleQuery replies to a query. A negative reply is a promise not to open the
// flow; if there is no room to store the promise, no reply is sent.
func (c *Core) HandleQuery(now time.Time, a *schema.Ask) []Action {
	c.actions = nil
	reply := &schema.AskReply{
		Sequence:  a.Sequence,
		FlowHash:  a.FlowHash,
		From:      c.self,
		Remembers: c.settle.fullWindow(now),
	}
	if c.view.Table != nil {
		reply.Also = c.recentCandidates(now, a.Service, a.FlowHash)
	}
	if c.byHash[a.FlowHash] != nil {
		reply.Owned = true
		reply.Owner = c.self
		c.emit(SendReply{Target: a.Asker, Reply: reply})
		return c.actions
	}
	if owner, ok := c.directory.lookup(a.FlowHash); ok && owner != a.Asker {
		reply.Owner = owner
		c.emit(SendReply{Target: a.Asker, Reply: reply})
		return c.actions
	}
	if waiting := c.pending[a.FlowHash]; waiting != nil {
		if c.self < a.Asker {
			// Both targets are about to open the flow. The lower target ID
			// opens it, since IDs compare alike in all views while the order
			// of candidates may differ.
			reply.Owner = c.self
			c.emit(SendReply{Target: a.Asker, Reply: reply})
			return c.actions
		}
		c.forwardBuffered(waiting, a.Asker)
	}
	if !c.directory.promise(now, a.FlowHash, a.Asker) {
		return c.actions
	}
	c.emit(SendReply{Target: a.Asker, Reply: reply})
	return c.actions
}

// HandleReply processes a reply to a query.
func (c *Core) HandleReply(now time.Time, r *schema.AskReply) []Action {
	c.actions = nil
	waiting := c.pending[r.FlowHash]
	if waiting == nil {
		return nil
	}
	q := waiting.find(r)
	if q == nil {
		return nil
	}
	q.replied = true
	waiting.fullWindowReply = waiting.fullWindowReply || r.Remembers
	if r.Owner != 0 && r.Owner != c.self && (r.Owned || !c.view.Dead(r.Owner)) {
		c.directory.register(now, r.FlowHash, r.Owner)
		c.forwardBuffered(waiting, r.Owner)
		return c.actions
	}
	// An owner that the reply names is dead in this agent's view. It is queried itself,
	// like any other target that may own the flow.
	c.queryAlso(now, waiting, r.Also, r.Owner)
	if waiting.complete() {
		c.openAfterReplies(now, waiting)
	}
	return c.actions
}

// queryAlso queries the candidates that a reply adds from the views of the
// replying agent. A new agent has no earlier view, and an agent with an earlier
// revision lacks later candidates. Owner is a target that the reply names as the owner; 0
// if none. It is queried whatever the number of queries, because a flow must not be opened
// while another target may hold it.
func (c *Core) queryAlso(now time.Time, waiting *pendingFlow, also []uint32, owner uint32) {
	if owner != 0 {
		also = append(slices.Clone(also), owner)
	}
	known := func(id uint32) bool {
		return id == c.self || slices.ContainsFunc(waiting.queries, func(q *query) bool { return q.target == id })
	}
	unqueried := slices.DeleteFunc(slices.Clone(also), known)
	for _, id := range c.skipDead(waiting.key.Service, unqueried) {
		if len(waiting.queries) < maxQueriesPerFlow || id == owner {
			c.addQuery(now, waiting, id)
		}
	}
}

// find returns the query that a reply belongs to. A reply to an earlier query,
// for example one sent before a pause, matches none.
func (w *pendingFlow) find(r *schema.AskReply) *query {
	for _, q := range w.queries {
		if q.target == r.From && q.sequence == r.Sequence {
			return q
		}
	}
	return nil
}

func (w *pendingFlow) complete() bool {
	for _, q := range w.queries {
		if !q.replied {
			return false
		}
	}
	return true
}

// openAfterReplies opens a flow after all queried targets have promised not to,
// or after a query timeout if the service allows it. A restarted agent needs a
// reply from an agent that has been in contact for a whole window: two agents
// that restarted together have no state of a flow whose owner is unreachable
// (model change, BLANK_NO).
func (c *Core) openAfterReplies(now time.Time, waiting *pendingFlow) {
	c.removePending(waiting)
	if !waiting.fullWindowReply && !c.settle.fullWindow(now) && !c.opensOnTimeout(waiting.key.Service) {
		c.dropAll(waiting, "no target that was asked has been running for long enough")
		return
	}
	c.open(now, waiting.hash, waiting.packets)
}

func (c *Core) opensOnTimeout(service uint32) bool {
	return c.view.Services[service].TimeoutAction == schema.TimeoutAction_OPEN_ON_TIMEOUT
}

func (c *Core) dropAll(waiting *pendingFlow, cause string) {
	for _, p := range waiting.packets {
		c.drop(p, schema.ErrorKind_UNKNOWN_OUTCOME, cause)
	}
}

func (c *Core) removePending(waiting *pendingFlow) {
	delete(c.pending, waiting.hash)
	c.buffered -= len(waiting.packets)
}

// forwardBuffered forwards the buffered packets of a pending flow to its owner.
func (c *Core) forwardBuffered(waiting *pendingFlow, owner uint32) {
	c.removePending(waiting)
	for _, p := range waiting.packets {
		c.forward(p, owner)
	}
}

// retryOnNextTarget forwards a flow that admission refused to the next usable
// candidate and promises not to open it here. Without such a candidate, room for
// the promise or a hop left, it drops the packets with the error of the refusal.
func (c *Core) retryOnNextTarget(now time.Time, hash uint64, packets []Packet, err *errkind.Error) {
	candidates := c.candidates(packets[0].Key.Service, hash)
	refusedBy := append(slices.Clone(packets[0].RefusedBy), c.self)
	for _, id := range candidates {
		if slices.Contains(refusedBy, id) || !c.view.Usable(id) {
			continue
		}
		if packets[0].Hops >= wire.MaxHops || !c.directory.promise(now, hash, id) {
			break
		}
		for _, p := range packets {
			p.RefusedBy = refusedBy
			c.forward(p, id)
		}
		return
	}
	for _, p := range packets {
		c.drop(p, err.Kind, err.Detail)
	}
}

// tickPending repeats queries that timed out and handles those whose last
// attempt timed out.
func (c *Core) tickPending(now time.Time) {
	for _, hash := range slices.Sorted(maps.Keys(c.pending)) {
		waiting := c.pending[hash]
		expired := false
		for _, q := range waiting.queries {
			if q.replied || now.Before(q.deadline) {
				continue
			}
			if q.attempts < c.limits.QueryAttempts {
				c.sendQuery(now, waiting, q)
				continue
			}
			expired = true
		}
		if expired {
			c.handleQueryTimeout(now, waiting)
		}
	}
}

func (c *Core) handleQueryTimeout(now time.Time, waiting *pendingFlow) {
	c.stats.QueryTimeouts++
	open := c.opensOnTimeout(waiting.key.Service)
	c.emit(QueryTimeout{Key: waiting.key, Missing: waiting.missing(), Opened: open})
	if open {
		c.openAfterReplies(now, waiting)
		return
	}
	c.removePending(waiting)
	c.dropAll(waiting, "an earlier candidate did not answer")
}

// missing returns the targets that have not replied.
func (w *pendingFlow) missing() []uint32 {
	var list []uint32
	for _, q := range w.queries {
		if !q.replied {
			list = append(list, q.target)
		}
	}
	return list
}
