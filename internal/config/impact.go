package config

import (
	"cmp"
	"fmt"
	"slices"
	"strings"

	"github.com/peridotstall/peridotstall/internal/schema"
)

// Item identifies a service or a target. The name of a target is its host.
type Item struct {
	ID   uint32 `json:"id"`
	Name string `json:"name"`
}

// Changes lists the added, removed and changed items of one kind, ordered by ID.
type Changes struct {
	Added   []Item `json:"added,omitempty"`
	Removed []Item `json:"removed,omitempty"`
	Changed []Item `json:"changed,omitempty"`
}

// PolicyImpact lists the services that one policy applies to in the new
// snapshot, and how that differs from the old one.
type PolicyImpact struct {
	Name string `json:"name"`
	// Matched lists the services that the selector matches.
	Matched []Item `json:"matched,omitempty"`
	// InForce lists the services for which no policy with a higher priority matches.
	InForce []Item `json:"in_force,omitempty"`
	// Gained and Lost list the differences between InForce and the old snapshot.
	Gained []Item `json:"gained,omitempty"`
	Lost   []Item `json:"lost,omitempty"`
}

// ImpactReport describes the changes when one snapshot replaces another.
type ImpactReport struct {
	FromRevision uint64  `json:"from_revision"`
	ToRevision   uint64  `json:"to_revision"`
	Services     Changes `json:"services"`
	Targets      Changes `json:"targets"`
	// Retargeted lists the services present in both snapshots whose sets of
	// targets differ.
	Retargeted []Item `json:"retargeted,omitempty"`
	// Policies lists every policy of either snapshot, ordered by name.
	Policies []PolicyImpact `json:"policies"`
}

// Impact reports the changes when the snapshot from is replaced by to.
func Impact(from, to *Snapshot) *ImpactReport {
	return &ImpactReport{
		FromRevision: from.Revision(),
		ToRevision:   to.Revision(),
		Services:     diffItems(from.services, to.services, serviceItem),
		Targets:      diffItems(from.targets, to.targets, targetItem),
		Retargeted:   retargeted(from, to),
		Policies:     policyImpacts(from, to),
	}
}

func serviceItem(s *schema.Service) Item { return Item{s.GetId(), s.GetName()} }

func targetItem(t *schema.Target) Item { return Item{t.GetId(), t.GetHost()} }

func diffItems[T any](from, to *table[uint32, T], item func(T) Item) Changes {
	var out Changes
	put, removed := from.diff(to)
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
			Gained:  subtract(after[name], before[name]),
			Lost:    subtract(before[name], after[name]),
		})
	}
	return out
}

// inForce returns the services grouped by the name of their policy, without
// services that no policy matches.
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

// subtract returns the items of a whose IDs are not in b. Both are ordered by ID.
func subtract(a, b []Item) []Item {
	var out []Item
	for _, item := range a {
		_, found := slices.BinarySearchFunc(b, item.ID, func(x Item, id uint32) int { return cmp.Compare(x.ID, id) })
		if !found {
			out = append(out, item)
		}
	}
	return out
}

// String returns the report as multi-line text for operators.
func (r *ImpactReport) String() string {
	var b strings.Builder
	fmt.Fprintf(&b, "revision %d -> %d\n", r.FromRevision, r.ToRevision)
	writeItems(&b, "services added", r.Services.Added)
	writeItems(&b, "services removed", r.Services.Removed)
	writeItems(&b, "services changed", r.Services.Changed)
	writeItems(&b, "services with other targets", r.Retargeted)
	writeItems(&b, "targets added", r.Targets.Added)
	writeItems(&b, "targets removed", r.Targets.Removed)
	writeItems(&b, "targets changed", r.Targets.Changed)
	for _, p := range r.Policies {
		fmt.Fprintf(&b, "policy %s\n", p.Name)
		writeItems(&b, "  matches", p.Matched)
		writeItems(&b, "  in force for", p.InForce)
		writeItems(&b, "  gained", p.Gained)
		writeItems(&b, "  lost", p.Lost)
	}
	return b.String()
}

// maxListed is the number of items that the text form prints per list. The JSON
// form has all items.
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
