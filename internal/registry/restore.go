package registry

import (
	"math"
	"slices"
	"time"

	"github.com/pkg/errors"
)

const (
	// RestoreGrace is the time after a restore of the store for which what is known of an
	// incarnation takes precedence over its entry. By then live targets have published
	// their entries again and those of dead ones have expired.
	RestoreGrace = 10 * time.Second
	// departureTTL is the time for which the departure of an incarnation is remembered:
	// longer than the age of the copies from which stores are restored.
	departureTTL = 30 * time.Second
)

// Incarnation identifies one incarnation of a target.
type Incarnation struct {
	ID string
	// Born is the start time in Unix milliseconds; 0 if not published.
	Born int64
}

// Incarnation returns the incarnation that the entry describes.
func (t *Target) Incarnation() Incarnation { return Incarnation{t.ID, t.Born} }

// Departure is an incarnation that has left.
type Departure struct {
	Incarnation
	// Sequence is that of its last entry. An entry with a higher one was published later.
	Sequence uint64
}

// departure is a Departure as a process keeps it.
type departure struct {
	at       time.Duration
	sequence uint64
}

// Retained is what is known of targets from before a restore of the store. The entries
// of the restored copy may be older.
type Retained struct {
	// Left is the time for which it takes precedence, when the table was sent.
	Left time.Duration
	// Draining incarnations do not become ready again.
	Draining []Incarnation
	Departed []Departure
}

// usable returns what can be used; the incarnations that cannot exist are left out and reported.
func (r *Retained) usable(report func(Unusable)) *Retained {
	if r == nil {
		return nil
	}
	valid := func(i Incarnation) bool {
		if i.ID != "" && len(i.ID) <= maxNameBytes && i.Born >= 0 {
			return true
		}
		report(Unusable{Key: i.ID[:min(len(i.ID), maxNameBytes)], Err: errors.Errorf(
			"retained incarnation with an id of %d bytes and start %d ms: must have 1 to %d bytes and no negative start", len(i.ID), i.Born, maxNameBytes)})
		return false
	}
	out := &Retained{Left: r.Left}
	for _, i := range r.Draining {
		if valid(i) {
			out.Draining = append(out.Draining, i)
		}
	}
	for _, d := range r.Departed {
		if valid(d.Incarnation) {
			out.Departed = append(out.Departed, d)
		}
	}
	return out
}

// retained is Retained as a process keeps it.
type retained struct {
	until    time.Duration
	draining map[Incarnation]bool
	// departed holds the sequence of the last entry.
	departed map[Incarnation]uint64
}

func newRetained() retained {
	return retained{draining: make(map[Incarnation]bool), departed: make(map[Incarnation]uint64)}
}

func (r *retained) active(now time.Duration) bool { return now < r.until }

// extend makes what is retained take precedence for at least the given time.
func (r *retained) extend(now, left time.Duration) {
	if !r.active(now) {
		*r = newRetained()
	}
	r.until = max(r.until, now+left)
}

// adopt adds what a peer has retained.
func (r *retained) adopt(now time.Duration, other *Retained) {
	if other == nil || other.Left <= 0 {
		return
	}
	r.extend(now, min(other.Left, RestoreGrace))
	for _, i := range other.Draining {
		r.draining[i] = true
	}
	for _, d := range other.Departed {
		r.departed[d.Incarnation] = max(r.departed[d.Incarnation], d.Sequence)
	}
}

// toSend returns what is retained for another process, nil if there is nothing.
func (r *retained) toSend(now time.Duration) *Retained {
	if !r.active(now) {
		return nil
	}
	out := &Retained{Left: r.until - now}
	for i := range r.draining {
		out.Draining = append(out.Draining, i)
	}
	for i, sequence := range r.departed {
		out.Departed = append(out.Departed, Departure{i, sequence})
	}
	return out
}

// predatesDeparture reports whether an entry is from before the departure of its incarnation.
func (r *retained) predatesDeparture(t *Target) bool {
	sequence, departed := r.departed[t.Incarnation()]
	return departed && t.Sequence <= sequence
}

// reconcile returns the targets of a table, corrected by what is retained.
func (r *retained) reconcile(targets []Target) []Target {
	out := make([]Target, 0, len(targets))
	for _, t := range targets {
		if r.predatesDeparture(&t) {
			continue
		}
		t.Draining = t.Draining || r.draining[t.Incarnation()]
		out = append(out, t)
	}
	return out
}

// Retaining reports whether what is known from before a restore of the store takes
// precedence over its entries.
func (r *Registry) Retaining(now time.Duration) bool { return r.retained.active(now) }

// KnowsBeyondStore reports whether this process has lapsed targets or has retained anything. A
// process that has just read the store lacks both.
func (r *Registry) KnowsBeyondStore(now time.Duration) bool {
	return r.Retaining(now) || len(r.evacuations.list.Retained) > 0 || slices.ContainsFunc(r.table.Targets, func(t Target) bool { return t.Lapsed })
}

// Learn adds what a peer has retained, and its lapsed targets, to a table of the same epoch that
// was read without that knowledge, and reports whether it did.
func (r *Registry) Learn(now time.Duration, from Table) bool {
	if from.Epoch != r.table.Epoch || r.retained.active(now) {
		return false
	}
	r.retained.adopt(now, from.Retained)
	incoming := withoutLapsed(r.table.Targets)
	if r.retained.active(now) {
		r.published = incoming
		incoming = r.retained.reconcile(incoming)
	}
	for _, t := range from.Targets {
		if t.Lapsed {
			incoming = append(incoming, t)
		}
	}
	before := len(r.table.Targets)
	r.table.Targets = r.merge(now, incoming, false)
	return r.retained.active(now) || len(r.table.Targets) != before
}

func withoutLapsed(targets []Target) []Target {
	return slices.DeleteFunc(slices.Clone(targets), func(t Target) bool { return t.Lapsed })
}

// predatesDeparture reports whether an entry is from before the departure of its incarnation. A
// peer that has missed its drain takes it for lapsed.
func (r *Registry) predatesDeparture(t *Target) bool {
	d, departed := r.departures[t.Incarnation()]
	return departed && t.Sequence <= d.sequence
}

// depart records that an incarnation has left.
func (r *Registry) depart(now time.Duration, t *Target) {
	r.departures[t.Incarnation()] = departure{now, t.Sequence}
}

// retain records what is known when the first table of the next epoch arrives.
func (r *Registry) retain(now time.Duration, restored []Target) {
	r.retained.extend(now, RestoreGrace)
	byID := make(map[string]int64, len(r.table.Targets))
	byPlace := make(map[place]int64, len(r.table.Targets))
	for _, t := range r.table.Targets {
		byID[t.ID] = max(byID[t.ID], t.Born)
		byPlace[t.place()] = max(byPlace[t.place()], t.Born)
		if t.Draining {
			r.retained.draining[t.Incarnation()] = true
		}
	}
	for i, d := range r.departures {
		if now-d.at < departureTTL {
			r.retained.departed[i] = max(r.retained.departed[i], d.sequence)
		}
	}
	for _, t := range restored {
		if t.Born != 0 && t.Born < max(byID[t.ID], byPlace[t.place()]) {
			r.retained.departed[t.Incarnation()] = math.MaxUint64
		}
	}
}
