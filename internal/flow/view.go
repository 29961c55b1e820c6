package flow

import (
	"maps"
	"slices"
	"time"

	"github.com/peridotstall/peridotstall/internal/placement"
	"github.com/peridotstall/peridotstall/internal/schema"
)

// maxPastTables is the number of past tables that are kept. At the design size of
// the fleet a service changes a few times per day.
const maxPastTables = 64

// settleState holds the windows in which the agent is unsettled: it must query
// all candidates before it opens a flow.
type settleState struct {
	// until ends the window of all services, services those of single ones.
	until    time.Time
	services map[uint32]time.Time
	// unconfirmed is set from a pause of the process until a peer confirms the
	// revision in force.
	unconfirmed bool
}

func (s *settleState) setAll(until time.Time) {
	s.until = until
}

func (s *settleState) setService(id uint32, until time.Time) {
	if s.services == nil {
		s.services = map[uint32]time.Time{}
	}
	s.services[id] = until
}

// windowOpen reports whether a window that covers a service has not ended.
func (s *settleState) windowOpen(now time.Time, id uint32) bool {
	return now.Before(s.until) || now.Before(s.services[id])
}

// fullWindow reports whether the agent has been running and in contact for a
// whole window. Only then is its negative reply evidence for a restarted agent
// that a flow has no owner.
func (s *settleState) fullWindow(now time.Time) bool {
	return !s.unconfirmed && !now.Before(s.until)
}

func (s *settleState) unsettled(now time.Time, service uint32) bool {
	return s.unconfirmed || s.windowOpen(now, service)
}

// SetView replaces the view. Services whose candidates changed become unsettled.
// If the targets of this agent's services or their usability changed, flows
// whose packets balancers may now send to other targets are registered there at
// once.
func (c *Core) SetView(now time.Time, v View) []Action {
	c.actions = nil
	old := c.view
	c.view = v
	changed := false
	for _, id := range slices.Sorted(maps.Keys(v.Services)) {
		if old.Table == nil || !v.Table.SameTargets(id, old.Table) {
			c.changeService(now, id, old.Table)
			changed = true
		}
	}
	if old.Table != nil && !v.Table.SameKey(old.Table) {
		c.rehash()
	}
	usable := usableTargets(v)
	if old.Table == nil || changed || !maps.Equal(usable, c.usable) {
		c.registerAll(now)
	}
	c.usable = usable
	return c.actions
}

// pastTable is the placement table of one service in an earlier revision.
type pastTable struct {
	service uint32
	table   *placement.Table
	until   time.Time
	// limit is the time after which a dead target no longer keeps the window
	// open, since it may have been removed permanently.
	limit time.Time
}

// changeService opens a window in which the agent also queries the earlier
// candidates of a service. If the service does not open flows on a timeout, the
// window lasts at least its idle timeout, since an owner that does not reply may
// hold a flow for that long.
func (c *Core) changeService(now time.Time, id uint32, old *placement.Table) {
	window := c.limits.Window
	service := c.view.Services[id]
	if old != nil && service.TimeoutAction != schema.TimeoutAction_OPEN_ON_TIMEOUT {
		window = max(window, service.IdleTimeout)
	}
	until := now.Add(window)
	c.settle.setService(id, until)
	c.pastTables = slices.DeleteFunc(c.pastTables, func(p pastTable) bool { return !now.Before(p.until) })
	if old == nil {
		return
	}
	c.pastTables = append(c.pastTables, pastTable{service: id, table: old.SingleService(id), until: until, limit: now.Add(c.limits.DeadTargetTTL)})
	if len(c.pastTables) > maxPastTables {
		c.pastTables = c.pastTables[1:]
	}
}

// extendWindows keeps the window of a service open while one of its targets is
// dead, since that target may own flows that it could not register here (models
// handover and change, TIMED_WINDOW). Services that open flows on a timeout are
// exempt: they prefer availability. A target that dies after the end of the
// window needs no extension: it registered its flows before, and opens none
// without a reply from this agent.
func (c *Core) extendWindows(now time.Time) {
	until := now.Add(c.limits.Window)
	for id := range c.view.Services {
		if c.opensOnTimeout(id) || !c.settle.windowOpen(now, id) || !c.anyDead(now, id) {
			continue
		}
		c.settle.setService(id, until)
		for i := range c.pastTables {
			if p := &c.pastTables[i]; p.service == id && now.Before(p.until) {
				p.until = until
			}
		}
	}
}

// anyDead reports whether a present or recent target of a service is dead. A
// target that was removed from the service counts for DeadTargetTTL only.
func (c *Core) anyDead(now time.Time, service uint32) bool {
	dead := func(t placement.WeightedTarget) bool { return t.ID != c.self && c.view.Dead(t.ID) }
	if slices.ContainsFunc(c.view.Table.Targets(service), dead) {
		return true
	}
	return slices.ContainsFunc(c.pastTables, func(p pastTable) bool {
		return p.service == service && now.Before(p.limit) && slices.ContainsFunc(p.table.Targets(service), dead)
	})
}

// recentCandidates returns the candidates of a flow by the present table and by
// the past tables whose windows are open.
func (c *Core) recentCandidates(now time.Time, service uint32, hash uint64) []uint32 {
	list := slices.Clone(c.candidates(service, hash))
	for _, p := range c.pastTables {
		if p.service != service || !now.Before(p.until) {
			continue
		}
		for _, id := range p.table.Candidates(service, hash, nil) {
			if !slices.Contains(list, id) {
				list = append(list, id)
			}
		}
	}
	return list
}

// usableTargets maps each target of the agent's services to whether it may get
// new flows.
func usableTargets(v View) map[uint32]bool {
	usable := map[uint32]bool{}
	for id := range v.Services {
		for _, target := range v.Table.Targets(id) {
			usable[target.ID] = v.Usable(target.ID)
		}
	}
	return usable
}

// rehash recomputes the hashes of all flows after a change of the hash key.
// Directory entries and queries with old hashes match nothing and are removed.
func (c *Core) rehash() {
	c.byHash = make(map[uint64]*ownedFlow, len(c.flows))
	for _, f := range c.flows {
		f.hash = c.hash(f.key)
		c.byHash[f.hash] = f
	}
	c.directory = newDirectory(c.limits)
	for _, waiting := range c.pending {
		c.removePending(waiting)
	}
}

// ContactLost makes the agent unsettled, since peers may have declared it dead
// and opened its flows on other targets.
func (c *Core) ContactLost(now time.Time) {
	c.settle.setAll(now.Add(c.limits.Window))
}

// RevisionConfirmed records that a peer confirmed the revision in force. After a
// pause it starts the window at whose end the agent is settled.
func (c *Core) RevisionConfirmed(now time.Time) {
	if c.settle.unconfirmed {
		c.settle.unconfirmed = false
		c.settle.setAll(now.Add(c.limits.Window))
	}
}

// resumeAfterPause makes the agent unsettled after a pause of the process, until
// RevisionConfirmed and the window after it. It drops pending flows: their packets
// are old, and replies to queries sent before the pause may be outdated.
func (c *Core) resumeAfterPause(now time.Time) {
	c.stats.Pauses++
	c.settle.unconfirmed = true
	for _, hash := range slices.Sorted(maps.Keys(c.pending)) {
		waiting := c.pending[hash]
		c.removePending(waiting)
		for _, p := range waiting.packets {
			c.drop(p, schema.ErrorKind_TOO_OLD, "the process was paused")
		}
	}
}

func (c *Core) candidates(service uint32, hash uint64) []uint32 {
	var buf [placement.MaxCandidates]uint32
	return c.view.Table.Candidates(service, hash, buf[:0])
}

// Explanation is an agent's state of one flow, for diagnosis.
type Explanation struct {
	Hash       uint64
	Candidates []uint32
	// Owned is set if the agent owns the flow.
	Owned bool
	// Directory is the target in the directory entry, 0 without an entry.
	Directory uint32
	// Waiting is set while queries about the flow are pending.
	Waiting bool
	// Settled is set if the agent opens flows without a query when its target
	// is the first candidate.
	Settled bool
}

// Explain returns the agent's state of a flow.
func (c *Core) Explain(now time.Time, key placement.Key) Explanation {
	hash := c.hash(key)
	target, _ := c.directory.lookup(hash)
	return Explanation{
		Hash:       hash,
		Candidates: slices.Clone(c.candidates(key.Service, hash)),
		Owned:      c.flows[key] != nil,
		Directory:  target,
		Waiting:    c.pending[hash] != nil,
		Settled:    !c.settle.unsettled(now, key.Service),
	}
}
