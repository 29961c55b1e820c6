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

// maxQueries bounds the targets that are asked about one flow.
const maxQueries = 16

// pending is a flow for which replies are awaited.
type pending struct {
	hash    uint64
	key     placement.Key
	packets []Packet
	asked   []*query
	// remembered is set by a "no" of an agent that remembers.
	remembered bool
}

// query is one question to one target.
type query struct {
	target   uint32
	sequence uint64
	tries    int
	deadline time.Time
	answered bool
}

// handleUnknown decides about a packet of a flow that this agent does not own.
func (c *Core) handleUnknown(now time.Time, p Packet) {
	hash := c.hash(p.Key)
	if c.baseline {
		c.open(now, hash, []Packet{p})
		return
	}
	if waiting := c.pending[hash]; waiting != nil {
		c.hold(waiting, p)
		return
	}
	target, known := c.directory.lookup(hash)
	known = known && !slices.Contains(p.Passed, target)
	if known && !c.view.Dead(target) {
		c.forward(p, target)
		return
	}
	order := c.candidates(p.Key.Service, hash)
	position := slices.Index(order, c.self)
	if position < 0 {
		c.forwardToCandidate(p, order)
		return
	}
	if p.Age > c.limits.MaxAge {
		c.drop(p, schema.ErrorKind_TOO_OLD, "too old to open a flow")
		return
	}
	owners := c.earlierOwners(now, hash, p, order, position)
	if known && !slices.Contains(owners, target) {
		owners = append(owners, target)
	}
	c.openOrAsk(now, hash, p, c.worthAsking(p.Key.Service, owners))
}

// worthAsking leaves out targets that were found dead when the service opens
// flows on a timeout anyway; the wait would only delay every new flow.
func (c *Core) worthAsking(service uint32, owners []uint32) []uint32 {
	if !c.opensOnTimeout(service) {
		return owners
	}
	return slices.DeleteFunc(owners, c.view.Dead)
}

func (c *Core) forwardToCandidate(p Packet, order []uint32) {
	for _, id := range order {
		if c.view.Usable(id) && !slices.Contains(p.Passed, id) {
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

// earlierOwners returns the targets that may own the flow already. A settled
// first candidate need not ask anybody. A later candidate asks those before it,
// except the ones that passed the flow on. An unsettled agent asks all candidates,
// also those of earlier revisions and those that passed the flow on: their
// promise may be from before its own restart (model handover, TRUST_PASSED).
func (c *Core) earlierOwners(now time.Time, hash uint64, p Packet, order []uint32, position int) []uint32 {
	ask := []uint32{}
	if c.settle.unsettled(now, p.Key.Service) {
		ask = c.recentCandidates(now, p.Key.Service, hash)
	} else {
		for _, id := range order[:position] {
			if !slices.Contains(p.Passed, id) {
				ask = append(ask, id)
			}
		}
	}
	return slices.DeleteFunc(ask, func(id uint32) bool { return id == c.self })
}

func (c *Core) openOrAsk(now time.Time, hash uint64, p Packet, ask []uint32) {
	if len(ask) == 0 {
		c.stats.OpenedAlone++
		c.open(now, hash, []Packet{p})
		return
	}
	c.ask(now, hash, p, ask)
}

func (c *Core) ask(now time.Time, hash uint64, p Packet, targets []uint32) {
	if c.held >= c.limits.HeldTotal {
		c.drop(p, schema.ErrorKind_REFUSED_OVERLOAD, "too many buffered packets")
		return
	}
	waiting := &pending{hash: hash, key: p.Key}
	c.pending[hash] = waiting
	c.hold(waiting, p)
	for _, target := range targets {
		c.addQuery(now, waiting, target)
	}
}

func (c *Core) addQuery(now time.Time, waiting *pending, target uint32) {
	c.sequence++
	q := &query{target: target, sequence: c.sequence}
	waiting.asked = append(waiting.asked, q)
	c.sendAsk(now, waiting, q)
}

func (c *Core) hold(waiting *pending, p Packet) {
	if len(waiting.packets) >= c.limits.HeldPerFlow || c.held >= c.limits.HeldTotal {
		c.drop(p, schema.ErrorKind_REFUSED_OVERLOAD, "too many buffered packets")
		return
	}
	// The payload is valid during the call only.
	p.Payload = bytes.Clone(p.Payload)
	waiting.packets = append(waiting.packets, p)
	c.held++
}

func (c *Core) sendAsk(now time.Time, waiting *pending, q *query) {
	q.tries++
	q.deadline = now.Add(c.limits.AskTimeout)
	c.stats.Asks++
	c.emit(SendAsk{Target: q.target, Ask: &schema.Ask{
		Sequence: q.sequence,
		FlowHash: waiting.hash,
		Asker:    c.self,
		Service:  waiting.key.Service,
	}})
}

// HandleAsk answers whether this agent owns a flow. A "no" is a promise not to
// open it; without room to remember the promise no reply is sent.
func (c *Core) HandleAsk(now time.Time, a *schema.Ask) []Action {
	c.out = nil
	reply := &schema.AskReply{
		Sequence:  a.Sequence,
		FlowHash:  a.FlowHash,
		From:      c.self,
		Remembers: c.settle.remembers(now),
	}
	if c.view.Table != nil {
		reply.Also = c.recentCandidates(now, a.Service, a.FlowHash)
	}
	if c.byHash[a.FlowHash] != nil {
		reply.Owned = true
		reply.Owner = c.self
		c.emit(SendReply{Target: a.Asker, Reply: reply})
		return c.out
	}
	if owner, ok := c.directory.lookup(a.FlowHash); ok && owner != a.Asker {
		reply.Owner = owner
		c.emit(SendReply{Target: a.Asker, Reply: reply})
		return c.out
	}
	if waiting := c.pending[a.FlowHash]; waiting != nil {
		if c.self < a.Asker {
			// Both are about to open the flow. The lower target ID does, which
			// is the same in all views; the order of candidates is not.
			reply.Owner = c.self
			c.emit(SendReply{Target: a.Asker, Reply: reply})
			return c.out
		}
		c.handOver(waiting, a.Asker)
	}
	if !c.directory.promise(now, a.FlowHash, a.Asker) {
		return c.out
	}
	c.emit(SendReply{Target: a.Asker, Reply: reply})
	return c.out
}

// HandleReply takes in the answer to a query.
func (c *Core) HandleReply(now time.Time, r *schema.AskReply) []Action {
	c.out = nil
	waiting := c.pending[r.FlowHash]
	if waiting == nil {
		return nil
	}
	q := waiting.find(r)
	if q == nil {
		return nil
	}
	q.answered = true
	waiting.remembered = waiting.remembered || r.Remembers
	if r.Owner != 0 && r.Owner != c.self && (r.Owned || !c.view.Dead(r.Owner)) {
		c.directory.register(now, r.FlowHash, r.Owner)
		c.handOver(waiting, r.Owner)
		return c.out
	}
	also := r.Also
	if r.Owner != 0 {
		// The replying agent knows an owner that looks dead from here. It is
		// asked itself, like any other target that may own the flow.
		also = append(slices.Clone(also), r.Owner)
	}
	c.askAlso(now, waiting, also)
	if waiting.complete() {
		c.finish(now, waiting)
	}
	return c.out
}

// askAlso asks the candidates that another agent knows from its own views. A
// new agent has no earlier view, and an agent with an earlier revision does not
// know the later candidates.
func (c *Core) askAlso(now time.Time, waiting *pending, also []uint32) {
	known := func(id uint32) bool {
		return id == c.self || slices.ContainsFunc(waiting.asked, func(q *query) bool { return q.target == id })
	}
	fresh := slices.DeleteFunc(slices.Clone(also), known)
	for _, id := range c.worthAsking(waiting.key.Service, fresh) {
		if len(waiting.asked) < maxQueries {
			c.addQuery(now, waiting, id)
		}
	}
}

// find returns the query that a reply belongs to. Replies to queries of an
// earlier attempt, for example from before a pause, match none.
func (w *pending) find(r *schema.AskReply) *query {
	for _, q := range w.asked {
		if q.target == r.From && q.sequence == r.Sequence {
			return q
		}
	}
	return nil
}

func (w *pending) complete() bool {
	for _, q := range w.asked {
		if !q.answered {
			return false
		}
	}
	return true
}

// finish opens a flow after all others have promised not to. A restarted agent
// needs the word of one that remembers: two agents that restarted together know
// nothing of a flow whose owner is out of contact (model change, BLANK_NO).
func (c *Core) finish(now time.Time, waiting *pending) {
	c.release(waiting)
	if !waiting.remembered && !c.settle.remembers(now) && !c.opensOnTimeout(waiting.key.Service) {
		c.dropAll(waiting, "no target that was asked has been running for long enough")
		return
	}
	c.open(now, waiting.hash, waiting.packets)
}

func (c *Core) opensOnTimeout(service uint32) bool {
	return c.view.Services[service].TimeoutAction == schema.TimeoutAction_OPEN_ON_TIMEOUT
}

func (c *Core) dropAll(waiting *pending, cause string) {
	for _, p := range waiting.packets {
		c.drop(p, schema.ErrorKind_UNKNOWN_OUTCOME, cause)
	}
}

func (c *Core) release(waiting *pending) {
	delete(c.pending, waiting.hash)
	c.held -= len(waiting.packets)
}

// handOver sends the held packets of a flow to its owner.
func (c *Core) handOver(waiting *pending, owner uint32) {
	c.release(waiting)
	for _, p := range waiting.packets {
		c.forward(p, owner)
	}
}

// passOn sends a flow for which there is no room to the next candidate and
// promises not to open it here.
func (c *Core) passOn(now time.Time, hash uint64, packets []Packet, err *errkind.Error) {
	order := c.candidates(packets[0].Key.Service, hash)
	passed := append(slices.Clone(packets[0].Passed), c.self)
	for _, id := range order {
		if slices.Contains(passed, id) || !c.view.Usable(id) {
			continue
		}
		if packets[0].Hops >= wire.MaxHops || !c.directory.promise(now, hash, id) {
			break
		}
		for _, p := range packets {
			p.Passed = passed
			c.forward(p, id)
		}
		return
	}
	for _, p := range packets {
		c.drop(p, err.Kind, err.Detail)
	}
}

// tickPending repeats queries and decides when the last try was not answered.
func (c *Core) tickPending(now time.Time) {
	for _, hash := range slices.Sorted(maps.Keys(c.pending)) {
		waiting := c.pending[hash]
		expired := false
		for _, q := range waiting.asked {
			if q.answered || now.Before(q.deadline) {
				continue
			}
			if q.tries < c.limits.AskTries {
				c.sendAsk(now, waiting, q)
				continue
			}
			expired = true
		}
		if expired {
			c.decideUnanswered(now, waiting)
		}
	}
}

func (c *Core) decideUnanswered(now time.Time, waiting *pending) {
	c.stats.AskTimeouts++
	open := c.opensOnTimeout(waiting.key.Service)
	c.emit(AskTimeout{Key: waiting.key, Missing: waiting.missing(), Opened: open})
	if open {
		c.finish(now, waiting)
		return
	}
	c.release(waiting)
	c.dropAll(waiting, "an earlier candidate did not answer")
}

// missing returns the targets that have not answered.
func (w *pending) missing() []uint32 {
	var list []uint32
	for _, q := range w.asked {
		if !q.answered {
			list = append(list, q.target)
		}
	}
	return list
}
