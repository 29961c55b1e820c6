package flow

import (
	"maps"
	"slices"
	"time"

	"github.com/peridotstall/peridotstall/internal/placement"
	"github.com/peridotstall/peridotstall/internal/schema"
)

// maxHistory bounds the earlier tables that are kept; at the target size a
// service changes a few times a day.
const maxHistory = 64

// settle records until when the agent must ask others before it opens a flow.
type settle struct {
	until    time.Time
	services map[uint32]time.Time
	// unconfirmed is set after a pause until a peer confirmed the revision.
	unconfirmed bool
}

func (s *settle) all(until time.Time) {
	s.until = until
}

func (s *settle) service(id uint32, until time.Time) {
	if s.services == nil {
		s.services = map[uint32]time.Time{}
	}
	s.services[id] = until
}

// pending reports whether a window of a service has not ended.
func (s *settle) pending(now time.Time, id uint32) bool {
	return now.Before(s.until) || now.Before(s.services[id])
}

// remembers reports whether what the agent does not know is worth a "no" to a
// restarted agent: it has been running and in contact for the whole window.
func (s *settle) remembers(now time.Time) bool {
	return !s.unconfirmed && !now.Before(s.until)
}

func (s *settle) unsettled(now time.Time, service uint32) bool {
	return s.unconfirmed || s.pending(now, service)
}

// SetView takes in a new view of the fleet. Services whose candidates changed
// become unsettled. Flows that balancers may now look for elsewhere are
// registered at once when anything changed that concerns this agent's services.
func (c *Core) SetView(now time.Time, v View) []Action {
	c.out = nil
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
	return c.out
}

// retired is the table of one service in an earlier revision.
type retired struct {
	service uint32
	table   *placement.Table
	until   time.Time
	// limit ends the time for which a target out of contact keeps the window
	// open, since it may have been removed for good.
	limit time.Time
}

// changeService makes the agent ask the earlier candidates of a service for a
// while. For work that must not be opened on a guess that is as long as an
// owner that does not answer may still hold the flow.
func (c *Core) changeService(now time.Time, id uint32, old *placement.Table) {
	window := c.limits.Window
	service := c.view.Services[id]
	if old != nil && service.TimeoutAction != schema.TimeoutAction_OPEN_ON_TIMEOUT {
		window = max(window, service.IdleTimeout)
	}
	until := now.Add(window)
	c.settle.service(id, until)
	c.history = slices.DeleteFunc(c.history, func(r retired) bool { return !now.Before(r.until) })
	if old == nil {
		return
	}
	c.history = append(c.history, retired{service: id, table: old.Only(id), until: until, limit: now.Add(c.limits.HoldDead)})
	if len(c.history) > maxHistory {
		c.history = c.history[1:]
	}
}

// extendWindows keeps the window of a service open while one of its targets is
// out of contact, since that target may own flows it could not register here
// (models handover and change, TIMED_WINDOW). Services that open on a timeout
// prefer to go on. A target that is lost after the window has ended changes
// nothing: it registered before, and opens nothing without an answer from here.
func (c *Core) extendWindows(now time.Time) {
	until := now.Add(c.limits.Window)
	for id := range c.view.Services {
		if c.opensOnTimeout(id) || !c.settle.pending(now, id) || !c.anyDead(now, id) {
			continue
		}
		c.settle.service(id, until)
		for i := range c.history {
			if r := &c.history[i]; r.service == id && now.Before(r.until) {
				r.until = until
			}
		}
	}
}

// anyDead reports whether a present or recent target of a service is out of
// contact. One that was removed from the service counts for HoldDead only.
func (c *Core) anyDead(now time.Time, service uint32) bool {
	dead := func(t placement.Weighted) bool { return t.ID != c.self && c.view.Dead(t.ID) }
	if slices.ContainsFunc(c.view.Table.Targets(service), dead) {
		return true
	}
	return slices.ContainsFunc(c.history, func(r retired) bool {
		return r.service == service && now.Before(r.limit) && slices.ContainsFunc(r.table.Targets(service), dead)
	})
}

// recentCandidates returns the candidates of a flow by the present and the
// recent views.
func (c *Core) recentCandidates(now time.Time, service uint32, hash uint64) []uint32 {
	list := slices.Clone(c.candidates(service, hash))
	for _, r := range c.history {
		if r.service != service || !now.Before(r.until) {
			continue
		}
		for _, id := range r.table.Candidates(service, hash, nil) {
			if !slices.Contains(list, id) {
				list = append(list, id)
			}
		}
	}
	return list
}

// usableTargets lists the targets of the agent's services that get new flows.
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
// Entries and queries with old hashes are useless and go.
func (c *Core) rehash() {
	c.byHash = make(map[uint64]*owned, len(c.flows))
	for _, f := range c.flows {
		f.hash = c.hash(f.key)
		c.byHash[f.hash] = f
	}
	c.directory = newDirectory(c.limits)
	for _, waiting := range c.pending {
		c.release(waiting)
	}
}

// ContactLost makes the agent unsettled, since others may have found it dead
// and opened flows in its place.
func (c *Core) ContactLost(now time.Time) {
	c.settle.all(now.Add(c.limits.Window))
}

// Confirmed notes that a peer confirmed the revision in force.
func (c *Core) Confirmed(now time.Time) {
	if c.settle.unconfirmed {
		c.settle.unconfirmed = false
		c.settle.all(now.Add(c.limits.Window))
	}
}

// resumeAfterPause voids what was in progress: held packets are old, and
// replies to queries from before the pause may no longer hold.
func (c *Core) resumeAfterPause(now time.Time) {
	c.stats.Pauses++
	c.settle.unconfirmed = true
	for _, hash := range slices.Sorted(maps.Keys(c.pending)) {
		waiting := c.pending[hash]
		c.release(waiting)
		for _, p := range waiting.packets {
			c.drop(p, schema.ErrorKind_TOO_OLD, "the process was paused")
		}
	}
}

func (c *Core) candidates(service uint32, hash uint64) []uint32 {
	var buf [placement.MaxCandidates]uint32
	return c.view.Table.Candidates(service, hash, buf[:0])
}

// Knowledge is what an agent knows about one flow.
type Knowledge struct {
	Hash       uint64
	Candidates []uint32
	// Owned is set when the agent owns the flow.
	Owned bool
	// Directory is the owner by the directory, 0 when there is none.
	Directory uint32
	// Waiting is set while queries about the flow are in progress.
	Waiting bool
	// Settled is set when the agent needs to ask nobody as first candidate.
	Settled bool
}

// Explain returns what the agent knows about a flow.
func (c *Core) Explain(now time.Time, key placement.Key) Knowledge {
	hash := c.hash(key)
	target, _ := c.directory.lookup(hash)
	return Knowledge{
		Hash:       hash,
		Candidates: slices.Clone(c.candidates(key.Service, hash)),
		Owned:      c.flows[key] != nil,
		Directory:  target,
		Waiting:    c.pending[hash] != nil,
		Settled:    !c.settle.unsettled(now, key.Service),
	}
}
