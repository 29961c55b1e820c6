package flow

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"

	"github.com/peridotstall/peridotstall/internal/schema"
)

// maxRegisterHashes is the maximum number of flow hashes in one registration. It
// keeps a registration within one datagram.
const maxRegisterHashes = 140

// entry is the target that owns or may open a flow, with the end of its TTL.
type entry struct {
	target  uint32
	expires time.Time
}

// directory maps flow hashes to other targets. Registered entries come from the
// owners of flows; promised entries are flows that this agent promised another
// target not to open. Both are soft state. They are separate because a
// registration is removed when its owner restarts, and a promise to another
// target must outlive that (model change). Separate limits keep a flood of
// unknown flows, which creates promises, from displacing registrations.
type directory struct {
	limits     Limits
	registered map[uint64]entry
	promised   map[uint64]entry
	nextExpiry time.Time
}

func newDirectory(limits Limits) *directory {
	return &directory{
		limits:     limits,
		registered: map[uint64]entry{},
		promised:   map[uint64]entry{},
	}
}

func (d *directory) lookup(hash uint64) (uint32, bool) {
	for _, entries := range []map[uint64]entry{d.registered, d.promised} {
		if e, ok := entries[hash]; ok {
			return e.target, true
		}
	}
	return 0, false
}

// register records the owner of a flow and reports whether there was room.
func (d *directory) register(now time.Time, hash uint64, owner uint32) bool {
	return d.put(d.registered, d.limits.DirectoryEntries, now, hash, owner)
}

// promise records that another target may open the flow and this one will not.
// It reports whether there was room; without room no promise may be sent.
func (d *directory) promise(now time.Time, hash uint64, target uint32) bool {
	return d.put(d.promised, d.limits.Promises, now, hash, target)
}

func (d *directory) put(entries map[uint64]entry, limit int, now time.Time, hash uint64, target uint32) bool {
	if _, ok := entries[hash]; !ok && len(entries) >= limit {
		return false
	}
	entries[hash] = entry{target: target, expires: now.Add(d.limits.EntryTTL)}
	return true
}

// removeOwned removes the entries of a flow that its owner closed.
func (d *directory) removeOwned(hash uint64, owner uint32) {
	if d.registered[hash].target == owner {
		delete(d.registered, hash)
	}
	if d.promised[hash].target == owner {
		delete(d.promised, hash)
	}
}

func (d *directory) remove(hash uint64) {
	delete(d.registered, hash)
	delete(d.promised, hash)
}

// expire removes expired entries, at most once per second since it iterates
// over all of them. Entries of a dead target stay for DeadTargetTTL longer: the
// target cannot refresh them but may still own the flows (model change,
// EXPIRE_UNSEEN).
func (d *directory) expire(now time.Time, dead func(target uint32) bool) {
	if now.Before(d.nextExpiry) {
		return
	}
	d.nextExpiry = now.Add(time.Second)
	for _, entries := range []map[uint64]entry{d.registered, d.promised} {
		for hash, e := range entries {
			if now.Before(e.expires) {
				continue
			}
			if !dead(e.target) || !now.Before(e.expires.Add(d.limits.DeadTargetTTL)) {
				delete(entries, hash)
			}
		}
	}
}

// HandleRegister processes a registration of flows by their owner.
func (c *Core) HandleRegister(now time.Time, r *schema.Register) []Action {
	c.actions = nil
	if r.Owner == c.self {
		return nil
	}
	for _, hash := range r.FlowHashes {
		c.handleRegistered(now, r, hash)
	}
	return c.actions
}

func (c *Core) handleRegistered(now time.Time, r *schema.Register, hash uint64) {
	if r.Remove {
		c.directory.removeOwned(hash, r.Owner)
		return
	}
	if f := c.byHash[hash]; f != nil {
		c.resolveConflict(now, f, r)
		return
	}
	c.directory.register(now, hash, r.Owner)
	if p := c.pending[hash]; p != nil {
		c.forwardBuffered(p, r.Owner)
	}
}

// resolveConflict decides between two owners of one flow. A network partition
// can cause that for flows that are opened on a timeout. The owner that received
// the last packet of the caller keeps the flow; on a tie, the lower target ID.
func (c *Core) resolveConflict(now time.Time, f *ownedFlow, r *schema.Register) {
	c.stats.Conflicts++
	idle := idleMillis(now, f)
	yield := idle > r.IdleMs || idle == r.IdleMs && r.Owner < c.self
	if r.IdleMs != 0 && yield {
		c.closeFlow(f, CloseConflict)
		c.directory.register(now, f.hash, r.Owner)
		return
	}
	c.emit(SendRegister{Target: r.Owner, Register: &schema.Register{
		Owner:      c.self,
		Service:    f.key.Service,
		FlowHashes: []uint64{f.hash},
		IdleMs:     idle,
	}})
}

// idleMillis returns the milliseconds since the last packet of the caller, plus
// 1 since 0 in Register.IdleMs means that the field is not set.
func idleMillis(now time.Time, f *ownedFlow) uint32 {
	return uint32(min(now.Sub(f.lastCaller).Milliseconds(), math.MaxUint32-1)) + 1
}

// registerOne registers a flow at the other targets to which balancers may send
// its packets.
func (c *Core) registerOne(f *ownedFlow) {
	for _, target := range c.lookupTargets(f) {
		c.sendRegister(target, f.key.Service, []uint64{f.hash})
	}
}

// registerAll registers all flows like registerOne, with one registration per
// target and service for up to maxRegisterHashes flows.
func (c *Core) registerAll(now time.Time) {
	c.lastRefresh = now
	type receiver struct{ target, service uint32 }
	batches := map[receiver][]uint64{}
	for _, f := range c.flows {
		for _, target := range c.lookupTargets(f) {
			r := receiver{target: target, service: f.key.Service}
			batches[r] = append(batches[r], f.hash)
		}
	}
	receivers := slices.SortedFunc(maps.Keys(batches), func(a, b receiver) int {
		return cmp.Or(cmp.Compare(a.target, b.target), cmp.Compare(a.service, b.service))
	})
	for _, r := range receivers {
		slices.Sort(batches[r])
		c.sendRegister(r.target, r.service, batches[r])
	}
}

func (c *Core) sendRegister(target, service uint32, hashes []uint64) {
	for len(hashes) > 0 {
		n := min(len(hashes), maxRegisterHashes)
		c.emit(SendRegister{Target: target, Register: &schema.Register{
			Owner:      c.self,
			Service:    service,
			FlowHashes: hashes[:n],
		}})
		hashes = hashes[n:]
	}
}

// lookupTargets returns the other targets to which balancers may send packets of
// a flow of this agent: the first candidate and the first two usable ones.
func (c *Core) lookupTargets(f *ownedFlow) []uint32 {
	candidates := c.candidates(f.key.Service, f.hash)
	var targets []uint32
	usable := 0
	for i, id := range candidates {
		if id == c.self && i == 0 && c.view.Usable(id) {
			return nil
		}
		ok := c.view.Usable(id)
		if id != c.self && (i == 0 || ok && usable < 2) {
			targets = append(targets, id)
		}
		if ok {
			usable++
		}
	}
	return targets
}
