package config

import (
	"cmp"
	"fmt"
	"slices"
	"strings"

	"github.com/peridotstall/peridotstall/internal/schema"
)

// Item names a service or a target. A target is named by its host.
type Item struct {
	ID   uint32 `json:"id"`
	Name string `json:"name"`
}

// Changes lists what happens to the items of one kind, ordered by ID.
type Changes struct {
	Added   []Item `json:"added,omitempty"`
	Removed []Item `json:"removed,omitempty"`
	Changed []Item `json:"changed,omitempty"`
}

// PolicyImpact is the effect of one policy in the new snapshot.
type PolicyImpact struct {
	Name string `json:"name"`
	// Matched lists the services that the selector matches.
	Matched []Item `json:"matched,omitempty"`
	// InForce lists the services for which no policy with a higher priority matches.
	InForce []Item `json:"in_force,omitempty"`
	// Gained and Lost compare InForce with the old snapshot.
	Gained []Item `json:"gained,omitempty"`
	Lost   []Item `json:"lost,omitempty"`
}

// ImpactReport is what the replacement of one snapshot by another changes.
type ImpactReport struct {
	FromRevision uint64  `json:"from_revision"`
	ToRevision   uint64  `json:"to_revision"`
	Services     Changes `json:"services"`
	Targets      Changes `json:"targets"`
	// Retargeted lists the services of both snapshots whose set of targets differs.
	Retargeted []Item `json:"retargeted,omitempty"`
	// Policies lists every policy of either snapshot, ordered by name.
	Policies []PolicyImpact `json:"policies"`
}

// Impact compares two snapshots.
func Impact(from, to *Snapshot) *ImpactReport {
	return &ImpactReport{
		FromRevision: from.Revision(),
		ToRevision:   to.Revision(),
		Services:     changesOf(from.services, to.services, serviceItem),
		Targets:      changesOf(from.targets, to.targets, targetItem),
		Retargeted:   retargeted(from, to),
		Policies:     policyImpacts(from, to),
	}
}

func serviceItem(s *schema.Service) Item { return Item{s.GetId(), s.GetName()} }

func targetItem(t *schema.Target) Item { return Item{t.GetId(), t.GetHost()} }

func changesOf[T any](from, to *table[uint32, T], item func(T) Item) Changes {
	var out Changes
	put, removed := from.difference(to)
	for _, p := range put {
		entry := item(p)
		if _, known := from.find(entry.ID); known {
			out.Changed = append(out.Changed, entry)
			continue
		}
		out.Added = append(out.Added, entry)
	}
	for _, id := range removed {
		old, _ := from.find(id)
		out.Removed = append(out.Removed, item(old))
	}
	return out
}

func retargeted(from, to *Snapshot) []Item {
	var out []Item
	sameID := func(a, b *schema.Target) bool { return a.GetId() == b.GetId() }
	for _, s := range to.Services() {
		_, known := from.Service(s.GetId())
		if known && !slices.EqualFunc(from.Targets(s.GetId()), to.Targets(s.GetId()), sameID) {
			out = append(out, serviceItem(s))
		}
	}
	return out
}

func policyImpacts(from, to *Snapshot) []PolicyImpact {
	before, after := inForce(from), inForce(to)
	names := slices.Concat(from.policies.keys, to.policies.keys)
	slices.Sort(names)
	var out []PolicyImpact
	for _, name := range slices.Compact(names) {
		out = append(out, PolicyImpact{
			Name:    name,
			Matched: matched(to, name),
			InForce: after[name],
			Gained:  without(after[name], before[name]),
			Lost:    without(before[name], after[name]),
		})
	}
	return out
}

// inForce returns the services by the name of their policy. Services without a
// matching policy are left out.
func inForce(s *Snapshot) map[string][]Item {
	out := map[string][]Item{}
	for i, service := range s.Services() {
		if s.resolved[i] != defaultPolicy {
			name := s.resolved[i].GetName()
			out[name] = append(out[name], serviceItem(service))
		}
	}
	return out
}

func matched(s *Snapshot, name string) []Item {
	policy, ok := s.policies.find(name)
	if !ok {
		return nil
	}
	var out []Item
	for _, service := range s.Services() {
		if Matches(policy.GetServices(), service.GetLabels()) {
			out = append(out, serviceItem(service))
		}
	}
	return out
}

// without returns the items of a whose IDs are not in b; both are ordered by ID.
func without(a, b []Item) []Item {
	var out []Item
	for _, item := range a {
		_, found := slices.BinarySearchFunc(b, item.ID, func(x Item, id uint32) int { return cmp.Compare(x.ID, id) })
		if !found {
			out = append(out, item)
		}
	}
	return out
}

// String returns the report as lines of text.
func (m *ImpactReport) String() string {
	var b strings.Builder
	fmt.Fprintf(&b, "revision %d -> %d\n", m.FromRevision, m.ToRevision)
	writeItems(&b, "services added", m.Services.Added)
	writeItems(&b, "services removed", m.Services.Removed)
	writeItems(&b, "services changed", m.Services.Changed)
	writeItems(&b, "services with other targets", m.Retargeted)
	writeItems(&b, "targets added", m.Targets.Added)
	writeItems(&b, "targets removed", m.Targets.Removed)
	writeItems(&b, "targets changed", m.Targets.Changed)
	for _, p := range m.Policies {
		fmt.Fprintf(&b, "policy %s\n", p.Name)
		writeItems(&b, "  matches", p.Matched)
		writeItems(&b, "  in force for", p.InForce)
		writeItems(&b, "  gained", p.Gained)
		writeItems(&b, "  lost", p.Lost)
	}
	return b.String()
}

// maxListed bounds the items that are printed of one list; the JSON form has all.
const maxListed = 20

func writeItems(b *strings.Builder, title string, items []Item) {
	if len(items) == 0 {
		return
	}
	fmt.Fprintf(b, "%s (%d):", title, len(items))
	for _, item := range items[:min(len(items), maxListed)] {
		fmt.Fprintf(b, " %d/%s", item.ID, item.Name)
	}
	if len(items) > maxListed {
		b.WriteString(" ...")
	}
	b.WriteString("\n")
}
