package registry

import (
	"slices"
	"time"

	"github.com/pkg/errors"

	"github.com/peridotstall/peridotstall/internal/warmup"
)

const (
	// MaxWarmup is the longest warm-up of a target.
	MaxWarmup = 24 * time.Hour
	// maxFormerWarmups is the number of ended incarnations whose warm-up is remembered.
	maxFormerWarmups = 256
)

// Warmup is the published limit of the cold targets of a service.
type Warmup struct {
	// Duration is the time for which a target is cold after its start, or after a time without
	// work.
	Duration time.Duration
	// Rate is the number of requests per second that a cold target takes; 0 for no limit.
	Rate float64
}

// Validate returns an error that names the first field with an invalid value.
func (w *Warmup) Validate() error {
	switch {
	case w.Duration < 0 || w.Duration > MaxWarmup:
		return errors.Errorf("warm-up %v: must be from 0 to %v", w.Duration, MaxWarmup)
	case !(w.Rate >= 0 && w.Rate <= warmup.MaxRate):
		return errors.Errorf("warm-up rate %v: must be from 0 to %d requests per second", w.Rate, warmup.MaxRate)
	}
	return nil
}

// usableWarmups returns the limits that can be used. It reports the others.
func usableWarmups(warmups map[string]Warmup, report func(Unusable)) map[string]Warmup {
	usable := make(map[string]Warmup, len(warmups))
	for service, w := range warmups {
		if err := w.Validate(); err != nil {
			report(Unusable{Key: service[:min(len(service), maxNameBytes)], Err: err})
			continue
		}
		usable[service] = w
	}
	return usable
}

// noteWarmups records when the targets of a table that was received now are warm. An entry
// of a restored store that is older than one known before does not make its target cold.
func (r *Registry) noteWarmups(now time.Duration, targets []Target) {
	for i := range targets {
		t := &targets[i]
		sequence := t.Sequence
		if t.Born == 0 {
			sequence = 0
		}
		end, known := r.warmUntil[t.Incarnation()]
		switch {
		case known:
			end = end.Updated(now, sequence, t.WarmupLeft)
		case t.WarmupLeft == 0:
			continue
		default:
			end = warmup.EndOf(now, sequence, t.WarmupLeft)
			later := func(other Target) bool { return other.Incarnation() == t.Incarnation() && other.Sequence >= sequence }
			if at := slices.IndexFunc(r.table.Targets, later); at >= 0 && sequence != 0 {
				end = warmup.EndOf(now, r.table.Targets[at].Sequence, 0)
			}
		}
		r.warmUntil[t.Incarnation()] = end
	}
}

// forgetWarmups forgets the incarnations that have ended when there are many.
func (r *Registry) forgetWarmups() {
	if len(r.warmUntil) <= len(r.table.Targets)+maxFormerWarmups {
		return
	}
	present := make(map[Incarnation]bool, len(r.table.Targets))
	for i := range r.table.Targets {
		present[r.table.Targets[i].Incarnation()] = true
	}
	for i := range r.warmUntil {
		if !present[i] {
			delete(r.warmUntil, i)
		}
	}
}

// WarmupsLeft returns targets of the table with the time that is left of their warm-up now.
func (r *Registry) WarmupsLeft(now time.Duration, targets []Target) []Target {
	if len(r.warmUntil) == 0 {
		return targets
	}
	targets = slices.Clone(targets)
	for i := range targets {
		t := &targets[i]
		if end, known := r.warmUntil[t.Incarnation()]; known {
			t.WarmupLeft = max(end.At-now, 0)
			t.Cold = t.WarmupLeft > 0
		}
	}
	return targets
}
