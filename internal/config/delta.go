package config

import (
	"bytes"
	"cmp"
	"maps"
	"slices"

	"github.com/pkg/errors"

	"github.com/peridotstall/peridotstall/internal/schema"
)

// ErrBaseMismatch reports that a delta was made for another base: the revision
// of the base or the digest of the result differs from the one in the delta. The
// full configuration is needed instead.
var ErrBaseMismatch = errors.New("delta does not apply to its base")

// Diff returns the delta that turns the snapshot from into to. The delta shares
// items with to and must not be changed.
func Diff(from, to *Snapshot) *schema.ConfigDelta {
	d := &schema.ConfigDelta{
		FromRevision: from.Revision(),
		ToRevision:   to.Revision(),
		Digest:       to.Digest(),
		HashKey:      to.config.GetHashKey(),
	}
	d.Members, d.RemovedMembers = from.members.diff(to.members)
	d.Services, d.RemovedServices = from.services.diff(to.services)
	d.Targets, d.RemovedTargets = from.targets.diff(to.targets)
	d.Policies, d.RemovedPolicies = from.policies.diff(to.policies)
	return d
}

// Apply applies a delta to its base and returns the new snapshot. The error wraps
// ErrBaseMismatch or is a *ValidationError. Removed keys that the base does not
// have are ignored, since the digest covers the result.
func Apply(base *Snapshot, d *schema.ConfigDelta) (*Snapshot, error) {
	return applyWith(base, d, nil)
}

func applyWith(base *Snapshot, d *schema.ConfigDelta, used *usedIDs) (*Snapshot, error) {
	if base.Revision() != d.GetFromRevision() {
		return nil, errors.Wrapf(ErrBaseMismatch, "base has revision %d, delta starts at revision %d", base.Revision(), d.GetFromRevision())
	}
	b := newBuilder(base)
	b.used = used
	b.fromDelta(d)
	if !bytes.Equal(d.GetDigest(), b.next.digest[:]) {
		return nil, errors.Wrapf(ErrBaseMismatch, "result has digest %x, delta requires %x", b.next.digest, d.GetDigest())
	}
	return b.finish()
}

// composer merges the changes of one kind of items of consecutive deltas.
type composer[K cmp.Ordered, T any] struct {
	put     map[K]T
	removed map[K]bool
}

func newComposer[K cmp.Ordered, T any]() *composer[K, T] {
	return &composer[K, T]{put: map[K]T{}, removed: map[K]bool{}}
}

func (c *composer[K, T]) add(put []T, removed []K, key func(T) K) {
	for _, k := range removed {
		delete(c.put, k)
		c.removed[k] = true
	}
	for _, item := range put {
		delete(c.removed, key(item))
		c.put[key(item)] = item
	}
}

func (c *composer[K, T]) result() (put []T, removed []K) {
	for _, k := range slices.Sorted(maps.Keys(c.put)) {
		put = append(put, c.put[k])
	}
	return put, slices.Sorted(maps.Keys(c.removed))
}

// compose merges consecutive deltas, of which there is at least one, into a
// single delta with the same effect.
func compose(deltas []*schema.ConfigDelta) *schema.ConfigDelta {
	if len(deltas) == 1 {
		return deltas[0]
	}
	members := newComposer[string, *schema.Member]()
	services := newComposer[uint32, *schema.Service]()
	targets := newComposer[uint32, *schema.Target]()
	policies := newComposer[string, *schema.Policy]()
	for _, d := range deltas {
		members.add(d.GetMembers(), d.GetRemovedMembers(), (*schema.Member).GetName)
		services.add(d.GetServices(), d.GetRemovedServices(), (*schema.Service).GetId)
		targets.add(d.GetTargets(), d.GetRemovedTargets(), (*schema.Target).GetId)
		policies.add(d.GetPolicies(), d.GetRemovedPolicies(), (*schema.Policy).GetName)
	}
	last := deltas[len(deltas)-1]
	out := &schema.ConfigDelta{
		FromRevision: deltas[0].GetFromRevision(),
		ToRevision:   last.GetToRevision(),
		Digest:       last.GetDigest(),
		HashKey:      last.GetHashKey(),
	}
	out.Members, out.RemovedMembers = members.result()
	out.Services, out.RemovedServices = services.result()
	out.Targets, out.RemovedTargets = targets.result()
	out.Policies, out.RemovedPolicies = policies.result()
	return out
}

// itemCount returns the number of set items and removed keys in a delta.
func itemCount(d *schema.ConfigDelta) int {
	return len(d.GetMembers()) + len(d.GetServices()) + len(d.GetTargets()) + len(d.GetPolicies()) +
		len(d.GetRemovedMembers()) + len(d.GetRemovedServices()) + len(d.GetRemovedTargets()) + len(d.GetRemovedPolicies())
}
