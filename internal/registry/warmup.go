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

// Warmup is the published limit of the targets of a service that have just started.
type Warmup struct {
	// Duration is the time after its start for which a target is cold.
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

// noteWarmups records when the targets of a table that was received now are warm. An
// incarnation does not become cold again: entries of it differ by their delays, which only
// make its warm-up seem longer, and a restored store has earlier ones. Without a start,
// incarnations cannot be told apart, and each entry is believed.
func (r *Registry) noteWarmups(now time.Duration, targets []Target) {
	for i := range targets {
		t := &targets[i]
		until, known := r.warmUntil[t.Incarnation()]
		switch left := now + t.WarmupLeft; {
		case t.Born == 0:
			r.warmUntil[t.Incarnation()] = left
		case known:
			r.warmUntil[t.Incarnation()] = min(until, left)
		case t.WarmupLeft == 0:
		case slices.ContainsFunc(r.table.Targets, func(known Target) bool { return known.Incarnation() == t.Incarnation() }):
			r.warmUntil[t.Incarnation()] = now
		default:
			r.warmUntil[t.Incarnation()] = left
		}
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
		if until, known := r.warmUntil[t.Incarnation()]; known {
			t.WarmupLeft = max(until-now, 0)
			t.Cold = t.WarmupLeft > 0
		}
	}
	return targets
}
