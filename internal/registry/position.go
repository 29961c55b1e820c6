package registry

import "fmt"

// Position orders the states of the store.
type Position struct {
	// Epoch counts how often the store was restored from an earlier copy; 0 if the store
	// does not say.
	Epoch uint64
	// Revision counts the changes. A restored store gives out revisions again.
	Revision uint64
}

// After reports whether p is later than q. The revisions of two epochs are not comparable.
func (p Position) After(q Position) bool {
	return p.Epoch > q.Epoch || p.Epoch == q.Epoch && p.Revision > q.Revision
}

// String formats a position as epoch and revision.
func (p Position) String() string { return fmt.Sprintf("%d/%d", p.Epoch, p.Revision) }
