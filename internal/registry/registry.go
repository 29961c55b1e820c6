// Package registry holds the routes and targets that a process has received, and
// decides which version is in force and when a target without an entry is removed. It
// does no I/O; times are monotonic times since the start of the process.
package registry

import (
	"net/netip"
	"slices"
	"time"

	"github.com/pkg/errors"

	"github.com/peridotstall/peridotstall/internal/warmup"
)

// LapseGrace is the time for which a target whose entry disappeared without a drain
// stays usable. After an outage of the store the entries of live targets are back
// within two seconds.
const LapseGrace = 2 * time.Second

const (
	// maxNameBytes bounds the names of services and zones and the IDs of targets, which
	// appear in logs and messages: the length of a key of the store.
	maxNameBytes = 200
	// MaxSlots bounds the slots of a target.
	MaxSlots = 1 << 16
	// maxClockDifference bounds the difference between the clocks of two hosts.
	maxClockDifference = 24 * time.Hour
)

// Target is the published entry of a target.
type Target struct {
	// ID identifies the registration; a replacement of the target has another one.
	ID string
	// Born is the start time of the target's process in Unix milliseconds; 0 if not
	// published. ID and Born together identify one incarnation.
	Born int64
	// Sequence counts what the incarnation has published; 0 if not published.
	Sequence uint64
	Service  string
	// Address is the address of the backend server on its host.
	Address  netip.AddrPort
	Zone     string
	Slots    int
	Draining bool
	// Cold is set while the target is slow, for a short time after its start or after a time
	// without work.
	Cold bool
	// WarmupLeft is the time until the target is warm, when the entry was published or the
	// table was sent; 0 if it is warm.
	WarmupLeft time.Duration
	// Lapsed is set if the entry disappeared without a drain.
	Lapsed bool
	// LapseLeft is the time until a lapsed target is removed, when the table was sent.
	LapseLeft time.Duration
}

// Validate returns an error that names the first field with an invalid value.
func (t *Target) Validate() error {
	switch {
	case t.ID == "" || len(t.ID) > maxNameBytes:
		return errors.Errorf("id of %d bytes: must have 1 to %d", len(t.ID), maxNameBytes)
	case t.Slots < 1 || t.Slots > MaxSlots:
		return errors.Errorf("slots %d: must be from 1 to %d", t.Slots, MaxSlots)
	case t.Born < 0:
		return errors.Errorf("start %d ms: must not be negative", t.Born)
	case t.WarmupLeft < 0 || t.WarmupLeft > MaxWarmup:
		return errors.Errorf("time until it is warm %v: must be from 0 to %v", t.WarmupLeft, MaxWarmup)
	case len(t.Zone) > maxNameBytes:
		return errors.Errorf("zone of %d bytes: must have at most %d", len(t.Zone), maxNameBytes)
	case !t.Address.Addr().Is4() || !isUnicast(t.Address.Addr()) || t.Address.Port() == 0:
		return errors.Errorf("address %s: must be a unicast IPv4 address with a port above 0", t.Address)
	}
	return validateService(t.Service)
}

// DropFutureBorn removes a start time that lies further in the future than clocks differ
// and returns an error that names it. The newest start on a host is used, so that such an
// entry would hide the target that runs there.
func (t *Target) DropFutureBorn(now time.Time) error {
	if born, latest := t.Born, now.Add(maxClockDifference).UnixMilli(); born > latest {
		t.Born = 0
		return errors.Errorf("start %d ms: must not be later than %d ms", born, latest)
	}
	return nil
}

func validateService(name string) error {
	if name == "" || len(name) > maxNameBytes {
		return errors.Errorf("service name of %d bytes: must have 1 to %d", len(name), maxNameBytes)
	}
	return nil
}

// isUnicast reports whether an IPv4 address can be that of a host.
func isUnicast(a netip.Addr) bool {
	return !a.IsUnspecified() && !a.IsMulticast() && a != netip.AddrFrom4([4]byte{255, 255, 255, 255})
}

// SameIncarnation reports whether both entries describe the same incarnation of a
// target.
func (t *Target) SameIncarnation(other *Target) bool {
	return t.ID == other.ID && t.Born == other.Born && t.Address == other.Address && t.Service == other.Service
}

// place identifies where a target of a service runs. The next incarnation of the target
// has the same place; an entry of another service at the address says nothing of it.
type place struct {
	service string
	address netip.AddrPort
}

func (t *Target) place() place { return place{t.Service, t.Address} }

// Unusable describes a published entry, or a part of one, that was left out.
type Unusable struct {
	// Key is the key of the entry.
	Key string
	// Err says what is wrong with it; it names the route if only a route was left out.
	Err error
	// Configuration is set if a whole configuration could not be read and is not in force.
	Configuration bool
}

// Table is the list of targets at one position of the store.
type Table struct {
	// Epoch and Revision are the position of the store up to which the table is complete.
	// Revision 0 means that no table has been received.
	Epoch, Revision uint64
	Targets         []Target
	// Retained is set in a table from a peer for a time after a restore of the store.
	Retained *Retained
}

// Usable returns the table without the entries that cannot be used, each of which is
// reported. A start in the future is reported and counts as none. The same holds for what is
// retained.
func (t Table) Usable(now time.Time, report func(Unusable)) Table {
	targets := make([]Target, 0, len(t.Targets))
	for _, target := range t.Targets {
		if err := target.Validate(); err != nil {
			report(Unusable{Key: target.ID[:min(len(target.ID), maxNameBytes)], Err: err})
			continue
		}
		if err := target.DropFutureBorn(now); err != nil {
			report(Unusable{Key: target.ID, Err: err})
		}
		targets = append(targets, target)
	}
	t.Targets, t.Retained = targets, t.Retained.usable(report)
	return t
}

// Position returns the position of the store up to which the table is complete.
func (t Table) Position() Position { return Position{t.Epoch, t.Revision} }

// Registry is the view of routes and targets of one process. It is not safe for
// concurrent use.
type Registry struct {
	routes  Routes
	table   Table
	expires map[string]time.Duration
	// departures holds the incarnations that have left.
	departures map[Incarnation]departure
	retained   retained
	// published holds the entries of the table as they arrived while retained is active.
	published []Target

	evacuations evacuations
	// warmUntil holds the times from which incarnations are warm that were cold.
	warmUntil map[Incarnation]warmup.End
}

// New returns an empty registry.
func New() *Registry {
	return &Registry{
		expires: make(map[string]time.Duration), departures: make(map[Incarnation]departure), retained: newRetained(),
		warmUntil: make(map[Incarnation]warmup.End),
	}
}

// Routes returns the configuration in force.
func (r *Registry) Routes() Routes { return r.routes }

// Table returns the target table in force.
func (r *Registry) Table() Table { return r.table }

// TableToSend returns the table in force for another process, which must not use lapsed
// targets for longer than this one.
func (r *Registry) TableToSend(now time.Duration) Table {
	table := Table{
		Epoch: r.table.Epoch, Revision: r.table.Revision, Targets: slices.Clone(r.WarmupsLeft(now, r.table.Targets)),
		Retained: r.retained.toSend(now),
	}
	for i := range table.Targets {
		t := &table.Targets[i]
		if t.Lapsed {
			t.LapseLeft = max(r.expires[t.ID]-now, 0)
		}
	}
	return table
}

// AcceptRoutes puts a configuration into force if its version is higher than the
// current one, and reports whether it did. The view never goes back to an earlier
// version.
func (r *Registry) AcceptRoutes(routes Routes) bool {
	if routes.Version <= r.routes.Version {
		return false
	}
	r.routes = routes
	return true
}

// AcceptTable puts a complete table into force if its position is after the
// current one, and reports whether it did. Targets that disappeared without a drain
// stay, marked as lapsed, until LapseGrace is over or another target of their service has
// their address.
// The first table of an epoch describes an earlier state of the store: what is known from
// before takes precedence for RestoreGrace.
func (r *Registry) AcceptTable(now time.Duration, table Table) bool {
	if !table.Position().After(r.table.Position()) {
		return false
	}
	restored := table.Epoch != r.table.Epoch && r.table.Revision != 0
	if restored {
		r.retain(now, table.Targets)
	}
	r.put(now, table, restored)
	return true
}

// OverruleTable puts a table that was read from the store into force in place of one of a later
// position that the store never had.
func (r *Registry) OverruleTable(now time.Duration, table Table) { r.put(now, table, false) }

// put puts a table into force. In the first one of an epoch, restored is set.
func (r *Registry) put(now time.Duration, table Table, restored bool) {
	r.retained.adopt(now, table.Retained)
	incoming := table.Targets
	r.published = nil
	if r.retained.active(now) {
		r.published = withoutLapsed(incoming)
		incoming = r.retained.reconcile(incoming)
	}
	r.table = Table{Epoch: table.Epoch, Revision: table.Revision, Targets: r.merge(now, incoming, restored)}
}

// merge returns the targets of a table together with the lapsed ones. In the first table of
// an epoch, restored is set.
func (r *Registry) merge(now time.Duration, incoming []Target, restored bool) []Target {
	r.noteWarmups(now, incoming)
	ids := make(map[string]bool, len(incoming))
	places := make(map[place]bool, len(incoming))
	targets := make([]Target, 0, len(incoming))
	present := make(map[Incarnation]bool, len(incoming))
	for _, t := range incoming {
		if t.Lapsed {
			continue
		}
		ids[t.ID] = true
		places[t.place()] = true
		present[t.Incarnation()] = true
		targets = append(targets, t)
		delete(r.expires, t.ID)
		delete(r.departures, t.Incarnation())
	}
	// A draining target that disappears has left, unless the restored copy is from before
	// its start.
	left := func(t *Target) bool {
		return t.Draining && !t.Lapsed && !restored || r.retained.active(now) && r.retained.predatesDeparture(t)
	}
	for _, t := range r.table.Targets {
		if !present[t.Incarnation()] && (ids[t.ID] || places[t.place()] || left(&t)) {
			r.depart(now, &t)
		}
	}
	for _, list := range [][]Target{r.table.Targets, incoming} {
		for _, t := range list {
			if ids[t.ID] || places[t.place()] || left(&t) || r.predatesDeparture(&t) {
				continue
			}
			if now >= r.lapseDeadline(now, &t) {
				r.depart(now, &t)
				continue
			}
			t.Lapsed = true
			ids[t.ID] = true
			targets = append(targets, t)
		}
	}
	return targets
}

// lapseDeadline returns the time at which a lapsed target is removed. For a target from a
// peer it begins with what the peer had left.
func (r *Registry) lapseDeadline(now time.Duration, t *Target) time.Duration {
	if deadline, known := r.expires[t.ID]; known {
		return deadline
	}
	grace := LapseGrace
	if t.Lapsed {
		grace = min(t.LapseLeft, LapseGrace)
	}
	r.expires[t.ID] = now + grace
	return r.expires[t.ID]
}

// Tick removes lapsed targets whose grace period is over, and puts the table and the list of
// evacuated zones into force as they were published when what was retained no longer takes
// precedence. It reports whether one of them changed.
func (r *Registry) Tick(now time.Duration) bool {
	evacuationsChanged := r.evacuations.expire(now)
	changed := false
	if r.published != nil && !r.retained.active(now) {
		r.table.Targets = r.merge(now, r.published, false)
		r.published = nil
		changed = true
	}
	var kept []Target
	for _, t := range r.table.Targets {
		if deadline, known := r.expires[t.ID]; t.Lapsed && (!known || now >= deadline) {
			r.depart(now, &t)
			changed = true
			continue
		}
		kept = append(kept, t)
	}
	if changed {
		r.table.Targets = kept
	}
	for i, d := range r.departures {
		if now-d.at >= departureTTL {
			delete(r.departures, i)
		}
	}
	for id, end := range r.expires {
		if now >= end+LapseGrace {
			delete(r.expires, id)
		}
	}
	r.forgetWarmups()
	return changed || evacuationsChanged
}

// Change is a change of one target's entry, as returned by a watch.
type Change struct {
	ID string
	// Target is nil if the entry was removed or does not describe a usable target.
	Target *Target
}

// Apply returns the table with the changes applied, at the given revision or the
// table's own one if that is higher.
func (t Table) Apply(changes []Change, revision uint64) Table {
	byID := make(map[string]int, len(t.Targets))
	targets := make([]Target, 0, len(t.Targets)+len(changes))
	for _, target := range t.Targets {
		if !target.Lapsed {
			byID[target.ID] = len(targets)
			targets = append(targets, target)
		}
	}
	removed := make(map[string]bool)
	for _, change := range changes {
		if change.Target == nil {
			removed[change.ID] = true
			continue
		}
		delete(removed, change.ID)
		if i, ok := byID[change.ID]; ok {
			targets[i] = *change.Target
			continue
		}
		byID[change.ID] = len(targets)
		targets = append(targets, *change.Target)
	}
	kept := targets[:0]
	for _, target := range targets {
		if !removed[target.ID] {
			kept = append(kept, target)
		}
	}
	return Table{Epoch: t.Epoch, Revision: max(revision, t.Revision), Targets: kept}
}

// Kinds of target changes; log lines carry them.
const (
	Added    = "added"
	Removed  = "removed"
	Draining = "draining"
	Replaced = "replaced"
)

// TargetChange is one difference between two tables.
type TargetChange struct {
	ID   string
	Kind string
}

// Difference returns the changes between two tables. Lapsed targets count as absent.
func Difference(before, after Table) []TargetChange {
	old := make(map[string]Target, len(before.Targets))
	for _, t := range before.Targets {
		if !t.Lapsed {
			old[t.ID] = t
		}
	}
	var out []TargetChange
	for _, t := range after.Targets {
		if t.Lapsed {
			continue
		}
		earlier, known := old[t.ID]
		delete(old, t.ID)
		switch {
		case !known:
			out = append(out, TargetChange{t.ID, Added})
		case !earlier.SameIncarnation(&t):
			out = append(out, TargetChange{t.ID, Replaced})
		case t.Draining && !earlier.Draining:
			out = append(out, TargetChange{t.ID, Draining})
		}
	}
	for id := range old {
		out = append(out, TargetChange{id, Removed})
	}
	return out
}
