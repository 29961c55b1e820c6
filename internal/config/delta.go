package config

import (
	"bytes"
	"cmp"
	"maps"
	"slices"

	"github.com/pkg/errors"

	"github.com/peridotstall/peridotstall/internal/schema"
)

// ErrBase reports that a delta does not lead from the given base to the
// content that it names. The whole configuration is needed instead.
var ErrBase = errors.New("delta does not fit its base")

// Diff returns the delta that leads from one snapshot to another.
func Diff(from, to *Snapshot) *schema.ConfigDelta {
	d := &schema.ConfigDelta{
		FromRevision: from.Revision(),
		ToRevision:   to.Revision(),
		Digest:       to.Digest(),
		HashKey:      to.config.GetHashKey(),
	}
	d.Members, d.RemovedMembers = from.members.difference(to.members)
	d.Services, d.RemovedServices = from.services.difference(to.services)
	d.Targets, d.RemovedTargets = from.targets.difference(to.targets)
	d.Policies, d.RemovedPolicies = from.policies.difference(to.policies)
	return d
}

// Apply returns the snapshot to which a delta leads from its base. The error is
// ErrBase or a *ValidationError. Keys that are removed and that the base does
// not have are ignored, since the digest covers the result.
func Apply(base *Snapshot, d *schema.ConfigDelta) (*Snapshot, error) {
	return applyWith(base, d, nil)
}

func applyWith(base *Snapshot, d *schema.ConfigDelta, used *usedIDs) (*Snapshot, error) {
	if base.Revision() != d.GetFromRevision() {
		return nil, errors.Wrapf(ErrBase, "base has revision %d, delta starts at %d", base.Revision(), d.GetFromRevision())
	}
	b := newBuilder(base)
	b.used = used
	b.delta(d)
	if !bytes.Equal(d.GetDigest(), b.next.digest[:]) {
		return nil, errors.Wrapf(ErrBase, "result has digest %x, delta names %x", b.next.digest, d.GetDigest())
	}
	return b.finish()
}

// composer merges the changes of one kind of several consecutive deltas.
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

// compose returns one delta that has the effect of consecutive deltas.
func compose(links []*schema.ConfigDelta) *schema.ConfigDelta {
	if len(links) == 1 {
		return links[0]
	}
	members := newComposer[string, *schema.Member]()
	services := newComposer[uint32, *schema.Service]()
	targets := newComposer[uint32, *schema.Target]()
	policies := newComposer[string, *schema.Policy]()
	for _, d := range links {
		members.add(d.GetMembers(), d.GetRemovedMembers(), (*schema.Member).GetName)
		services.add(d.GetServices(), d.GetRemovedServices(), (*schema.Service).GetId)
		targets.add(d.GetTargets(), d.GetRemovedTargets(), (*schema.Target).GetId)
		policies.add(d.GetPolicies(), d.GetRemovedPolicies(), (*schema.Policy).GetName)
	}
	last := links[len(links)-1]
	out := &schema.ConfigDelta{
		FromRevision: links[0].GetFromRevision(),
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

// size returns the number of items and keys in a delta.
func size(d *schema.ConfigDelta) int {
	return len(d.GetMembers()) + len(d.GetServices()) + len(d.GetTargets()) + len(d.GetPolicies()) +
		len(d.GetRemovedMembers()) + len(d.GetRemovedServices()) + len(d.GetRemovedTargets()) + len(d.GetRemovedPolicies())
}
