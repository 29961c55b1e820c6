package config

import (
	"bytes"
	"cmp"
	"fmt"
	"maps"
	"net/netip"
	"slices"

	"google.golang.org/protobuf/proto"

	"github.com/peridotstall/peridotstall/internal/schema"
)

// maxPatched is the number of changed targets up to which the target lists of
// services are patched one by one. Above it, all lists are built anew.
const maxPatched = 64

// change is what leads from one snapshot to the next, per kind of item.
type change[K cmp.Ordered, T any] struct {
	put     []row[K, T]
	removed []K
}

func (c *change[K, T]) any() bool { return len(c.put) > 0 || len(c.removed) > 0 }

// builder builds the snapshot that follows a base. Its work is proportional to
// the change where possible, since at the target size a configuration changes
// 19,000 times a day on every node.
type builder struct {
	faults
	hasher hasher
	base   *Snapshot
	next   *Snapshot
	// used knows the IDs of earlier revisions; nil outside of a store.
	used *usedIDs

	members  change[string, *schema.Member]
	services change[uint32, *schema.Service]
	targets  change[uint32, *schema.Target]
	policies change[string, *schema.Policy]
}

func newBuilder(base *Snapshot) *builder {
	return &builder{base: base, next: &Snapshot{}}
}

// kindOf is what the builder needs to know about one kind of items.
type kindOf[K cmp.Ordered, T any] struct {
	kind  itemKind
	place place
	key   func(T) K
	check func(*faults, place, T)
}

// collect validates the items of one kind by themselves, orders them by key
// and reports keys that occur twice. Items that the base table holds are valid,
// and their digest is known.
func collect[K cmp.Ordered, T proto.Message](b *builder, of kindOf[K, T], base *table[K, T], items []T) []row[K, T] {
	p := of.place
	rows := make([]row[K, T], 0, len(items))
	seen := make(map[K]int, len(items))
	for i, item := range items {
		k := of.key(item)
		if first, twice := seen[k]; twice {
			p.index, p.key = i, ""
			b.at(p, p.label, k, fmt.Sprintf("different from that of %s[%d]", p.list, first))
			of.check(&b.faults, p, item)
			continue
		}
		seen[k] = i
		if at, ok := slices.BinarySearch(base.keys, k); ok && any(base.items[at]) == any(item) {
			rows = append(rows, base.row(at))
			continue
		}
		p.index, p.key = i, k
		of.check(&b.faults, p, item)
		rows = append(rows, row[K, T]{k, item, b.hasher.item(of.kind, item)})
	}
	slices.SortFunc(rows, func(x, y row[K, T]) int { return cmp.Compare(x.key, y.key) })
	return rows
}

var (
	memberPlace  = place{list: "members", label: "name"}
	servicePlace = place{list: "services", label: "id"}
	targetPlace  = place{list: "targets", label: "id"}
	policyPlace  = place{list: "policies", label: "name"}

	memberKind  = kindOf[string, *schema.Member]{kindMember, memberPlace, (*schema.Member).GetName, checkMember}
	serviceKind = kindOf[uint32, *schema.Service]{kindService, servicePlace, (*schema.Service).GetId, checkService}
	targetKind  = kindOf[uint32, *schema.Target]{kindTarget, targetPlace, (*schema.Target).GetId, checkTarget}
	policyKind  = kindOf[string, *schema.Policy]{kindPolicy, policyPlace, (*schema.Policy).GetName, checkPolicy}
)

// items collects the items of a configuration or a delta.
func (b *builder) items(c itemLists) {
	b.members.put = collect(b, memberKind, b.base.members, c.GetMembers())
	b.services.put = collect(b, serviceKind, b.base.services, c.GetServices())
	b.targets.put = collect(b, targetKind, b.base.targets, c.GetTargets())
	b.policies.put = collect(b, policyKind, b.base.policies, c.GetPolicies())
}

// itemLists is what a Config, a Part and a ConfigDelta have in common.
type itemLists interface {
	GetMembers() []*schema.Member
	GetServices() []*schema.Service
	GetTargets() []*schema.Target
	GetPolicies() []*schema.Policy
}

// whole builds the next snapshot from a whole configuration. Items that the
// base already has are taken from the base, which saves their memory.
func (b *builder) whole(c *schema.Config) {
	b.items(c)
	b.members.put, b.members.removed = b.base.members.reduce(b.members.put)
	b.services.put, b.services.removed = b.base.services.reduce(b.services.put)
	b.targets.put, b.targets.removed = b.base.targets.reduce(b.targets.put)
	b.policies.put, b.policies.removed = b.base.policies.reduce(b.policies.put)
	b.apply(c.GetRevision(), c.GetHashKey())
	if declared := c.GetDigest(); len(declared) > 0 && !bytes.Equal(declared, b.next.digest[:]) {
		b.add("digest", figuref("%x", declared), fmt.Sprintf("the digest of the content, %x", b.next.digest))
	}
}

// delta builds the next snapshot from a delta.
func (b *builder) delta(d *schema.ConfigDelta) {
	b.items(d)
	b.members.removed = d.GetRemovedMembers()
	b.services.removed = d.GetRemovedServices()
	b.targets.removed = d.GetRemovedTargets()
	b.policies.removed = d.GetRemovedPolicies()
	contradictions(b, "removed_members", &b.members)
	contradictions(b, "removed_services", &b.services)
	contradictions(b, "removed_targets", &b.targets)
	contradictions(b, "removed_policies", &b.policies)
	key := d.GetHashKey()
	if len(key) == 0 {
		key = b.base.config.GetHashKey()
	}
	b.apply(d.GetToRevision(), key)
}

// contradictions reports keys that a delta both sets and removes.
func contradictions[K cmp.Ordered, T any](b *builder, field string, c *change[K, T]) {
	for i, key := range c.removed {
		_, put := slices.BinarySearchFunc(c.put, key, func(r row[K, T], k K) int { return cmp.Compare(r.key, k) })
		if put {
			b.add(fmt.Sprintf("%s[%d]", field, i), key, "absent from the items that the delta sets")
		}
	}
}

// apply merges the changes into the tables and builds the indexes.
func (b *builder) apply(revision uint64, hashKey []byte) {
	n := b.next
	n.digest = b.base.digest
	n.digest.xor(hashKeySum(b.base.config.GetHashKey()))
	n.digest.xor(hashKeySum(hashKey))
	n.members = b.base.members.merge(b.members.removed, b.members.put, &n.digest)
	n.services = b.base.services.merge(b.services.removed, b.services.put, &n.digest)
	n.targets = b.base.targets.merge(b.targets.removed, b.targets.put, &n.digest)
	n.policies = b.base.policies.merge(b.policies.removed, b.policies.put, &n.digest)
	if revision == 0 {
		b.add("revision", revision, "a number of at least 1")
	}
	if len(hashKey) != HashKeySize {
		b.add("hash_key", figuref("%d bytes", len(hashKey)), fmt.Sprintf("%d bytes", HashKeySize))
	}
	n.config = &schema.Config{
		Revision: revision,
		HashKey:  hashKey,
		Digest:   slices.Clone(n.digest[:]),
		Members:  n.members.items,
		Services: n.services.items,
		Targets:  n.targets.items,
		Policies: n.policies.items,
	}
}

// finish checks the references between items, builds the indexes and returns
// the snapshot, or every fault.
func (b *builder) finish() (*Snapshot, error) {
	b.checkMembers()
	b.checkReuse()
	b.indexServices()
	b.indexAgents()
	b.resolvePolicies()
	if err := b.err(); err != nil {
		return nil, err
	}
	b.pickTargets()
	return b.next, nil
}

// checkMembers reports members that are named and do not exist. Unchanged
// items are looked at only when a member was removed.
func (b *builder) checkMembers() {
	services, targets := b.services.put, b.targets.put
	if len(b.members.removed) > 0 {
		services, targets = b.next.services.rows(), b.next.targets.rows()
	}
	const allowed = "the name of a member of the configuration"
	for _, r := range services {
		if _, ok := b.next.members.find(r.item.GetMember()); !ok {
			b.at(keyed(servicePlace, r.key), "member", r.item.GetMember(), allowed)
		}
	}
	for _, r := range targets {
		if _, ok := b.next.members.find(r.item.GetMember()); !ok {
			b.at(keyed(targetPlace, r.key), "member", r.item.GetMember(), allowed)
		}
	}
}

func keyed(p place, key any) place {
	p.key = key
	return p
}

// indexServices builds the address index and reports names and addresses that
// two services have.
func (b *builder) indexServices() {
	n := b.next
	if !b.services.any() && b.base != empty {
		n.byAddress = b.base.byAddress
		return
	}
	n.byAddress = make(map[netip.AddrPort]*schema.Service, len(n.services.items))
	names := make(map[string]uint32, len(n.services.items))
	for _, s := range n.services.items {
		p := keyed(servicePlace, s.GetId())
		if other, taken := names[s.GetName()]; taken {
			b.at(p, "name", s.GetName(), fmt.Sprintf("different from that of services[id=%d]", other))
		}
		names[s.GetName()] = s.GetId()
		addr, ok := parseAddress(s.GetAddress())
		if !ok {
			continue
		}
		if other, taken := n.byAddress[addr]; taken {
			b.at(p, "address", s.GetAddress(), fmt.Sprintf("different from that of services[id=%d]", other.GetId()))
		}
		n.byAddress[addr] = s
	}
}

// indexAgents builds the index of agent addresses and reports those that two
// targets have.
func (b *builder) indexAgents() {
	n := b.next
	if !b.targets.any() && b.base.agents != nil {
		n.agents = b.base.agents
		return
	}
	changed := b.targets.put
	n.agents = maps.Clone(b.base.agents)
	if n.agents == nil {
		n.agents = make(map[netip.AddrPort]uint32, len(n.targets.items))
		changed = n.targets.rows()
	}
	for _, key := range b.changedTargets() {
		if old, ok := b.base.targets.find(key); ok {
			addr, _ := parseAddress(old.GetAgentAddress())
			delete(n.agents, addr)
		}
	}
	for _, r := range changed {
		addr, ok := parseAddress(r.item.GetAgentAddress())
		if !ok {
			continue
		}
		if other, taken := n.agents[addr]; taken {
			b.at(keyed(targetPlace, r.key), "agent_address", r.item.GetAgentAddress(), fmt.Sprintf("different from that of targets[id=%d]", other))
		}
		n.agents[addr] = r.key
	}
}

// changedTargets returns the IDs that were set or removed.
func (b *builder) changedTargets() []uint32 {
	ids := slices.Clone(b.targets.removed)
	for _, r := range b.targets.put {
		ids = append(ids, r.key)
	}
	return ids
}

// resolvePolicies finds the policy of every service whose labels or policies
// may have changed.
func (b *builder) resolvePolicies() {
	n := b.next
	ranked := slices.Clone(n.policies.items)
	slices.SortStableFunc(ranked, func(x, y *schema.Policy) int {
		return cmp.Compare(y.GetPriority(), x.GetPriority())
	})
	n.resolved = make([]*schema.Policy, len(n.services.items))
	for i, s := range n.services.items {
		if at, same := b.unchanged(i); same && !b.policies.any() {
			n.resolved[i] = b.base.resolved[at]
			continue
		}
		n.resolved[i] = b.resolve(ranked, s)
	}
}

// unchanged returns the position in the base of the service at position i, if
// the service is the same.
func (b *builder) unchanged(i int) (int, bool) {
	at, ok := slices.BinarySearch(b.base.services.keys, b.next.services.keys[i])
	return at, ok && b.base.services.items[at] == b.next.services.items[i]
}

// resolve returns the matching policy with the highest priority. Two of the
// same priority are a fault, because nothing would say which one applies.
func (b *builder) resolve(ranked []*schema.Policy, s *schema.Service) *schema.Policy {
	var found *schema.Policy
	for _, p := range ranked {
		if found != nil && p.GetPriority() < found.GetPriority() {
			break
		}
		if !Matches(p.GetServices(), s.GetLabels()) {
			continue
		}
		if found == nil {
			found = p
			continue
		}
		b.at(keyed(policyPlace, p.GetName()), "priority", p.GetPriority(), fmt.Sprintf(
			"different from that of policies[name=%s], since both match services[id=%d]", found.GetName(), s.GetId()))
	}
	if found == nil {
		return defaultPolicy
	}
	return found
}

// pickTargets evaluates the target selectors that the change affects.
func (b *builder) pickTargets() {
	n := b.next
	n.picked = make([][]*schema.Target, len(n.services.items))
	ids := b.changedTargets()
	rebuild := len(ids) > maxPatched || len(b.services.put) > maxPatched || b.base == empty
	var index *labelIndex
	if rebuild {
		index = newLabelIndex(n.targets.items)
	}
	for i, s := range n.services.items {
		at, same := b.unchanged(i)
		switch {
		case rebuild:
			n.picked[i] = index.pick(s.GetTargets())
		case same:
			n.picked[i] = b.patch(s.GetTargets(), b.base.picked[at], ids)
		default:
			n.picked[i] = filter(n.targets.items, s.GetTargets())
		}
	}
}

// patch brings the target list of one service up to date with the changed targets.
func (b *builder) patch(sel *schema.Selector, list []*schema.Target, ids []uint32) []*schema.Target {
	var added []*schema.Target
	affected := false
	for _, id := range ids {
		if t, ok := b.next.targets.find(id); ok && Matches(sel, t.GetLabels()) {
			added = append(added, t)
		}
		if old, ok := b.base.targets.find(id); ok && Matches(sel, old.GetLabels()) {
			affected = true
		}
	}
	if !affected && len(added) == 0 {
		return list
	}
	out := slices.DeleteFunc(slices.Clone(list), func(t *schema.Target) bool { return slices.Contains(ids, t.GetId()) })
	out = append(out, added...)
	slices.SortFunc(out, func(x, y *schema.Target) int { return cmp.Compare(x.GetId(), y.GetId()) })
	return out
}
