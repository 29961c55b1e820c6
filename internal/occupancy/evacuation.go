package occupancy

import "github.com/peridotstall/peridotstall/internal/registry"

// Evacuation is what balancers have said of the evacuation of a zone. The zero value is that of
// an agent that has not heard of any.
type Evacuation struct {
	position  registry.Position
	evacuated bool
}

// Evacuated reports whether the zone is evacuated.
func (e *Evacuation) Evacuated() bool { return e.evacuated }

// Update records what a balancer says as of a position of the store, and reports whether it
// changes anything. Statements as of earlier positions are those of balancers that have an older
// list. At the same position the last one counts: a zone that was retained after a restore
// of the store no longer is, without a change there.
func (e *Evacuation) Update(position registry.Position, evacuated bool) bool {
	if e.position.After(position) {
		return false
	}
	changed := e.evacuated != evacuated
	e.position, e.evacuated = position, evacuated
	return changed
}
