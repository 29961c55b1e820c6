package flow

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"

	"github.com/peridotstall/peridotstall/internal/schema"
)

// maxRegisterHashes is the number of flow hashes in one registration, so that
// it fits into one datagram.
const maxRegisterHashes = 140

// location says which target owns a flow, until it expires.
type location struct {
	target  uint32
	expires time.Time
}

// directory knows flows of other targets. Registered entries come from their
// owners. Promised entries are flows that this agent promised not to open.
// Both are soft state. They are kept beside each other: an entry goes when its
// owner restarts, and the promise to another target must outlive that (model
// change). Separate bounds keep a flood of unknown flows, which creates
// promises, from displacing registrations.
type directory struct {
	limits     Limits
	registered map[uint64]location
	promised   map[uint64]location
	nextExpiry time.Time
}

func newDirectory(limits Limits) *directory {
	return &directory{
		limits:     limits,
		registered: map[uint64]location{},
		promised:   map[uint64]location{},
	}
}

func (d *directory) lookup(hash uint64) (uint32, bool) {
	for _, entries := range []map[uint64]location{d.registered, d.promised} {
		if l, ok := entries[hash]; ok {
			return l.target, true
		}
	}
	return 0, false
}

// register notes an owner and reports whether there was room.
func (d *directory) register(now time.Time, hash uint64, owner uint32) bool {
	return d.put(d.registered, d.limits.DirectoryEntries, now, hash, owner)
}

// promise notes that another target may open the flow and this one will not.
// It reports whether there was room; without room no promise may be given.
func (d *directory) promise(now time.Time, hash uint64, target uint32) bool {
	return d.put(d.promised, d.limits.Promises, now, hash, target)
}

func (d *directory) put(entries map[uint64]location, limit int, now time.Time, hash uint64, target uint32) bool {
	if _, ok := entries[hash]; !ok && len(entries) >= limit {
		return false
	}
	entries[hash] = location{target: target, expires: now.Add(d.limits.EntryTTL)}
	return true
}

// forgetOwner removes the entry of a flow that its owner closed.
func (d *directory) forgetOwner(hash uint64, owner uint32) {
	if d.registered[hash].target == owner {
		delete(d.registered, hash)
	}
	if d.promised[hash].target == owner {
		delete(d.promised, hash)
	}
}

func (d *directory) forget(hash uint64) {
	delete(d.registered, hash)
	delete(d.promised, hash)
}

// expire removes old entries, once a second since it walks over all of them. An
// entry of a target that is out of contact stays longer: the target cannot
// refresh it but may still own the flow (model change, EXPIRE_UNSEEN).
func (d *directory) expire(now time.Time, dead func(target uint32) bool) {
	if now.Before(d.nextExpiry) {
		return
	}
	d.nextExpiry = now.Add(time.Second)
	for _, entries := range []map[uint64]location{d.registered, d.promised} {
		for hash, l := range entries {
			if now.Before(l.expires) {
				continue
			}
			if !dead(l.target) || !now.Before(l.expires.Add(d.limits.HoldDead)) {
				delete(entries, hash)
			}
		}
	}
}

// HandleRegister takes in what another target owns.
func (c *Core) HandleRegister(now time.Time, r *schema.Register) []Action {
	c.out = nil
	if r.Owner == c.self {
		return nil
	}
	for _, hash := range r.FlowHashes {
		c.handleRegistered(now, r, hash)
	}
	return c.out
}

func (c *Core) handleRegistered(now time.Time, r *schema.Register, hash uint64) {
	if r.Remove {
		c.directory.forgetOwner(hash, r.Owner)
		return
	}
	if f := c.byHash[hash]; f != nil {
		c.resolveConflict(now, f, r)
		return
	}
	c.directory.register(now, hash, r.Owner)
	if p := c.pending[hash]; p != nil {
		c.handOver(p, r.Owner)
	}
}

// resolveConflict decides between two owners of one flow, which a partition can
// create for flows that may be opened on a timeout. The owner that the caller
// used last keeps the flow; when that is equal, the lower target ID does.
func (c *Core) resolveConflict(now time.Time, f *owned, r *schema.Register) {
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

// idleMillis returns the time since the last caller packet plus 1, so that it
// is never 0.
func idleMillis(now time.Time, f *owned) uint32 {
	return uint32(min(now.Sub(f.lastCaller).Milliseconds(), math.MaxUint32-1)) + 1
}

// registerOne registers a flow that balancers may look for elsewhere.
func (c *Core) registerOne(f *owned) {
	for _, target := range c.lookupTargets(f) {
		c.sendRegister(target, f.key.Service, []uint64{f.hash})
	}
}

// registerAll registers every flow that balancers may look for elsewhere.
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

// lookupTargets returns the targets to which balancers may send packets of a
// flow of this agent: the first candidate and the first two usable ones.
func (c *Core) lookupTargets(f *owned) []uint32 {
	order := c.candidates(f.key.Service, f.hash)
	var targets []uint32
	usable := 0
	for i, id := range order {
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
