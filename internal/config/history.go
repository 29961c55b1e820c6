package config

import (
	"fmt"

	"github.com/peridotstall/peridotstall/internal/schema"
)

// maxRetired bounds the removed IDs that a store keeps per kind. At 3,200 hosts
// replaced per day with 8 targets each, it covers more than two days, which is
// longer than any flow entry with such an ID exists.
const maxRetired = 65_536

// usedIDs maps the IDs used by accepted revisions to names: the name of a
// service or the host of a target.
type usedIDs struct {
	current  *Snapshot
	services retiredNames
	targets  retiredNames
}

// retiredNames maps removed IDs to their names and evicts the oldest entry when
// it is full.
type retiredNames struct {
	names map[uint32]string
	ring  []uint32 // the IDs in names, in order of removal until it wraps around
	next  int      // index in ring of the oldest ID, once the ring is full
}

func (r *retiredNames) add(id uint32, name string) {
	if r.names == nil {
		r.names = map[uint32]string{}
	}
	if _, known := r.names[id]; known {
		return
	}
	r.names[id] = name
	if len(r.ring) < maxRetired {
		r.ring = append(r.ring, id)
		return
	}
	delete(r.names, r.ring[r.next])
	r.ring[r.next] = id
	r.next = (r.next + 1) % maxRetired
}

func (u *usedIDs) service(id uint32) (string, bool) {
	if s, ok := u.current.services.find(id); ok {
		return s.GetName(), true
	}
	name, ok := u.services.names[id]
	return name, ok
}

func (u *usedIDs) target(id uint32) (string, bool) {
	if t, ok := u.current.targets.find(id); ok {
		return t.GetHost(), true
	}
	name, ok := u.targets.names[id]
	return name, ok
}

// advance makes next the current snapshot and retires the IDs that d, the delta
// to next, removes.
func (u *usedIDs) advance(next *Snapshot, d *schema.ConfigDelta) {
	for _, id := range d.GetRemovedServices() {
		if s, ok := u.current.services.find(id); ok {
			u.services.add(id, s.GetName())
		}
	}
	for _, id := range d.GetRemovedTargets() {
		if t, ok := u.current.targets.find(id); ok {
			u.targets.add(id, t.GetHost())
		}
	}
	u.current = next
}

// checkIDReuse reports IDs that an earlier revision used for another name. Late
// packets and directory entries with a reused ID would reach the wrong service.
func (b *builder) checkIDReuse() {
	if b.used == nil {
		return
	}
	for _, r := range b.services.put {
		if name, ok := b.used.service(r.key); ok && name != r.item.GetName() {
			b.addAt(withKey(servicePath, r.key), "id", r.key, reusedIDAllowed(name, r.item.GetName()))
		}
	}
	for _, r := range b.targets.put {
		if name, ok := b.used.target(r.key); ok && name != r.item.GetHost() {
			b.addAt(withKey(targetPath, r.key), "id", r.key, reusedIDAllowed(name, r.item.GetHost()))
		}
	}
}

func reusedIDAllowed(earlier, name string) string {
	return fmt.Sprintf("an ID that was not used before: an accepted revision used it for %q, this one for %q", earlier, name)
}
