package registry

import "slices"

// Evacuations lists the availability zones that the operator has evacuated: their targets
// get no new flows.
type Evacuations struct {
	// Epoch and Revision are the position of the store up to which the list is complete.
	// Revision 0 means that no list has been received.
	Epoch, Revision uint64
	// Zones is sorted.
	Zones []string
}

// Position returns the position of the store up to which the list is complete.
func (e Evacuations) Position() Position { return Position{e.Epoch, e.Revision} }

// Contains reports whether a zone is evacuated.
func (e Evacuations) Contains(zone string) bool {
	_, found := slices.BinarySearch(e.Zones, zone)
	return found
}
