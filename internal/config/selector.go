package config

import (
	"slices"

	"github.com/peridotstall/peridotstall/internal/schema"
)

// Matches reports whether labels meet all requirements of the selector. A
// selector without requirements matches all labels. NOT_IN also matches when the
// label is absent.
func Matches(sel *schema.Selector, labels map[string]string) bool {
	for _, r := range sel.GetRequirements() {
		if !meets(r, labels) {
			return false
		}
	}
	return true
}

func meets(r *schema.Requirement, labels map[string]string) bool {
	value, present := labels[r.GetKey()]
	switch r.GetOperator() {
	case schema.Requirement_IN:
		return present && slices.Contains(r.GetValues(), value)
	case schema.Requirement_NOT_IN:
		return !present || !slices.Contains(r.GetValues(), value)
	case schema.Requirement_EXISTS:
		return present
	case schema.Requirement_NOT_EXISTS:
		return !present
	default:
		return false
	}
}

// labelIndex indexes targets by label. Without it, 3,300 selectors over 51,000
// targets take 168 million comparisons per snapshot.
type labelIndex struct {
	all     []*schema.Target
	byKey   map[string][]*schema.Target
	byValue map[labelPair][]*schema.Target
}

type labelPair struct {
	key, value string
}

// newLabelIndex indexes targets, which must be ordered by ID.
func newLabelIndex(targets []*schema.Target) *labelIndex {
	x := &labelIndex{
		all:     targets,
		byKey:   map[string][]*schema.Target{},
		byValue: map[labelPair][]*schema.Target{},
	}
	for _, t := range targets {
		for key, value := range t.GetLabels() {
			pair := labelPair{key, value}
			x.byKey[key] = append(x.byKey[key], t)
			x.byValue[pair] = append(x.byValue[pair], t)
		}
	}
	return x
}

// selectTargets returns the targets that the selector matches, ordered by ID.
func (x *labelIndex) selectTargets(sel *schema.Selector) []*schema.Target {
	best := x.all
	for _, r := range sel.GetRequirements() {
		if list, ok := x.superset(r); ok && len(list) < len(best) {
			best = list
		}
	}
	return filter(best, sel)
}

// superset returns a list, ordered by ID, that includes every target that meets
// the requirement. It returns false when the index has no list for the
// requirement.
func (x *labelIndex) superset(r *schema.Requirement) ([]*schema.Target, bool) {
	switch r.GetOperator() {
	case schema.Requirement_IN:
		if len(r.GetValues()) == 1 {
			return x.byValue[labelPair{r.GetKey(), r.GetValues()[0]}], true
		}
		return x.byKey[r.GetKey()], true
	case schema.Requirement_EXISTS:
		return x.byKey[r.GetKey()], true
	default:
		return nil, false
	}
}

func filter(targets []*schema.Target, sel *schema.Selector) []*schema.Target {
	var out []*schema.Target
	for _, t := range targets {
		if Matches(sel, t.GetLabels()) {
			out = append(out, t)
		}
	}
	return out
}
