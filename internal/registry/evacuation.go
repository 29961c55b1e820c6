package registry

import (
	"maps"
	"slices"
	"time"

	"github.com/pkg/errors"
)

// Evacuations lists the availability zones that the operator has evacuated: their targets
// get no new flows.
type Evacuations struct {
	// Epoch and Revision are the position of the store up to which the list is complete.
	// Revision 0 means that no list has been received.
	Epoch, Revision uint64
	// Zones lists the zones that the store names, sorted.
	Zones []string
	// Retained lists further zones, sorted, that were evacuated before a restore of the
	// store. RetainedLeft is the time until they no longer are, when the list was sent.
	Retained     []string
	RetainedLeft time.Duration
	// Ended lists zones of which the store has said that they no longer are evacuated, so
	// that they are not retained.
	Ended []string
}

// Position returns the position of the store up to which the list is complete.
func (e Evacuations) Position() Position { return Position{e.Epoch, e.Revision} }

// Contains reports whether a zone is evacuated.
func (e Evacuations) Contains(zone string) bool {
	_, found := slices.BinarySearch(e.Zones, zone)
	if !found {
		_, found = slices.BinarySearch(e.Retained, zone)
	}
	return found
}

// ZoneChange is the evacuation of a zone, or its end.
type ZoneChange struct {
	Zone      string
	Evacuated bool
}

// Apply returns the list with the changes applied in order, at the given revision or the
// list's own one if that is higher.
func (e Evacuations) Apply(changes []ZoneChange, revision uint64) Evacuations {
	zones, ended := setOf(e.Zones), make(map[string]bool)
	for _, change := range changes {
		if change.Evacuated {
			zones[change.Zone] = true
		} else {
			delete(zones, change.Zone)
			ended[change.Zone] = true
		}
	}
	return Evacuations{Epoch: e.Epoch, Revision: max(revision, e.Revision), Zones: sorted(zones), Ended: sorted(ended)}
}

// Usable returns the list without the zones that cannot be used, each of which is reported.
func (e Evacuations) Usable(report func(Unusable)) Evacuations {
	for _, zones := range []*[]string{&e.Zones, &e.Retained, &e.Ended} {
		usable := make(map[string]bool, len(*zones))
		for _, zone := range *zones {
			if err := ValidateZone(zone); err != nil {
				report(Unusable{Key: "evacuated zone", Err: err})
				continue
			}
			usable[zone] = true
		}
		*zones = sorted(usable)
	}
	return e
}

// ValidateZone returns an error unless a zone with this name can be evacuated.
func ValidateZone(name string) error {
	if name == "" || len(name) > maxNameBytes {
		return errors.Errorf("zone name of %d bytes: must have 1 to %d", len(name), maxNameBytes)
	}
	return nil
}

// EvacuationChanges returns the zones that are evacuated in only one of two lists.
func EvacuationChanges(before, after Evacuations) []ZoneChange {
	var out []ZoneChange
	for _, zone := range slices.Concat(before.Zones, before.Retained) {
		if !after.Contains(zone) {
			out = append(out, ZoneChange{zone, false})
		}
	}
	for _, zone := range slices.Concat(after.Zones, after.Retained) {
		if !before.Contains(zone) {
			out = append(out, ZoneChange{zone, true})
		}
	}
	return out
}

// evacuations is the list of evacuated zones as a process keeps it.
type evacuations struct {
	// list is the list in force, without RetainedLeft and Ended.
	list Evacuations
	// retained holds zones that were evacuated in an earlier epoch and stay so until
	// retainedUntil.
	retained      map[string]bool
	retainedUntil time.Duration
	// settled holds zones of which the store has spoken in this epoch: what it says of them
	// takes precedence over what is known from before. It is empty after settledUntil, when
	// no process retains anything.
	settled      map[string]bool
	settledUntil time.Duration
}

// enterEpoch begins an epoch: zones that were evacuated before stay so for RestoreGrace.
func (e *evacuations) enterEpoch(now time.Duration) {
	e.retained = setOf(slices.Concat(e.list.Zones, e.list.Retained))
	e.settled = make(map[string]bool)
	e.settledUntil = now + RestoreGrace
	e.retainedUntil = now
	if len(e.retained) > 0 {
		e.retainedUntil = e.settledUntil
	}
}

// learn adds what another list of the epoch says of retained zones.
func (e *evacuations) learn(now time.Duration, from Evacuations) {
	if from.RetainedLeft > 0 {
		e.retainedUntil = max(e.retainedUntil, now+min(from.RetainedLeft, RestoreGrace))
		for _, zone := range from.Retained {
			e.retained[zone] = true
		}
	}
	for _, zone := range slices.Concat(from.Zones, from.Ended) {
		e.settled[zone] = true
	}
	for zone := range e.settled {
		delete(e.retained, zone)
	}
	e.list.Retained = sorted(e.retained)
	e.expire(now)
}

// expire ends what is retained when its time is over, and reports whether zones are no longer
// evacuated.
func (e *evacuations) expire(now time.Duration) bool {
	if now >= e.settledUntil {
		clear(e.settled)
	}
	if now < e.retainedUntil || len(e.retained) == 0 {
		return false
	}
	e.list.Retained = nil
	clear(e.retained)
	return true
}

// Evacuations returns the evacuated zones.
func (r *Registry) Evacuations() Evacuations { return r.evacuations.list }

// EvacuationsToSend returns the evacuated zones for another process, which must not retain
// them for longer than this one.
func (r *Registry) EvacuationsToSend(now time.Duration) Evacuations {
	e := &r.evacuations
	list := e.list
	list.RetainedLeft = max(e.retainedUntil-now, 0)
	ended := maps.Clone(e.settled)
	for _, zone := range list.Zones {
		delete(ended, zone)
	}
	list.Ended = sorted(ended)
	return list
}

// AcceptEvacuations puts a list into force if its position is after the current one, and
// reports whether it did. The first list of an epoch describes an earlier state of the store:
// zones that were evacuated before stay so for RestoreGrace, unless the store says meanwhile
// that they no longer are.
func (r *Registry) AcceptEvacuations(now time.Duration, list Evacuations) bool {
	e := &r.evacuations
	current := e.list.Position()
	if !list.Position().After(current) {
		return false
	}
	if list.Epoch != current.Epoch || current.Revision == 0 {
		e.enterEpoch(now)
	}
	e.put(now, list)
	return true
}

// OverruleEvacuations puts a list that was read from the store into force in place of one of a
// later position that the store never had.
func (r *Registry) OverruleEvacuations(now time.Duration, list Evacuations) {
	r.evacuations.put(now, list)
}

func (e *evacuations) put(now time.Duration, list Evacuations) {
	e.list.Epoch, e.list.Revision, e.list.Zones = list.Epoch, list.Revision, list.Zones
	e.learn(now, list)
}

// LearnEvacuations adds the zones that a peer has retained to a list of the same epoch that
// was read without that knowledge, and reports whether it changed anything.
func (r *Registry) LearnEvacuations(now time.Duration, from Evacuations) bool {
	e := &r.evacuations
	if from.Epoch != e.list.Epoch || e.list.Revision == 0 {
		return false
	}
	before := e.list.Retained
	from.Zones = nil
	e.learn(now, from)
	return !slices.Equal(before, e.list.Retained)
}

func setOf(names []string) map[string]bool {
	set := make(map[string]bool, len(names))
	for _, name := range names {
		set[name] = true
	}
	return set
}

// sorted returns the names in a set; nil if there are none.
func sorted(set map[string]bool) []string { return slices.Sorted(maps.Keys(set)) }
