package soak

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/peridotstall/peridotstall/platform/standin"
)

const (
	// judgedTime is the time for which an evacuation in a calm fleet is checked.
	judgedTime = 1500 * time.Millisecond
	// evacuateGap is the time between changes of an evacuation in quick succession.
	evacuateGap = 100 * time.Millisecond
	// burstFlows and burstDuration are the number of flows that callers open at targets
	// that return cold, and the time over which they do.
	burstFlows, burstDuration = 100, time.Second
)

// warmup is the limit of cold targets that the configuration names.
var warmup = standin.Warmup{Duration: 4 * time.Second, Rate: 2}

// operator is the state of the operator's evacuation.
type operator struct {
	mu sync.Mutex
	// zone is evacuated since a time; empty if none is.
	zone  string
	since time.Time
	// judged is the time up to which the evacuation was checked.
	judged time.Time
}

func (r *run) evacuatedZone() string {
	r.operator.mu.Lock()
	defer r.operator.mu.Unlock()
	return r.operator.zone
}

// canEvacuate reports whether each service has targets outside of a zone.
func (r *run) canEvacuate(zone string) bool {
	for _, service := range services {
		if !slices.ContainsFunc(r.targets, func(t *target) bool { return t.service == service && t.agent.host.Zone != zone }) {
			return false
		}
	}
	return true
}

// zoneToEvacuate returns a zone with a running target that is not drained, if each service has
// such targets outside of it.
func (r *run) zoneToEvacuate(drained []*standin.Target) (string, bool) {
	usable := func(t *target) bool {
		current := t.currentTarget()
		return current != nil && !slices.Contains(drained, current)
	}
	for _, t := range r.targets {
		zone := t.agent.host.Zone
		remains := func(service string) bool {
			return slices.ContainsFunc(r.targets, func(t *target) bool { return t.service == service && t.agent.host.Zone != zone && usable(t) })
		}
		if usable(t) && !slices.ContainsFunc(services, func(s string) bool { return !remains(s) }) {
			return zone, true
		}
	}
	return "", false
}

// evacuate evacuates a zone. Another one that is evacuated is taken back.
func (r *run) evacuate(zone string) {
	if r.evacuatedZone() != zone {
		r.takeBack()
	}
	r.operator.mu.Lock()
	defer r.operator.mu.Unlock()
	if r.operator.zone == zone {
		return
	}
	r.logf("zone %s is evacuated", zone)
	standin.Evacuate(r.fleet.store, zone)
	r.operator.zone, r.operator.since = zone, time.Now()
}

// takeBack takes back the evacuation, if any.
func (r *run) takeBack() {
	r.judgeEvacuation()
	r.operator.mu.Lock()
	defer r.operator.mu.Unlock()
	if r.operator.zone == "" {
		return
	}
	r.logf("zone %s is taken back", r.operator.zone)
	standin.TakeBack(r.fleet.store, r.operator.zone)
	r.operator.zone = ""
}

// evacuateRepeatedly evacuates a zone and takes it back in turn. It stays evacuated after an
// odd number of changes.
func (r *run) evacuateRepeatedly(zone string, changes int) {
	for i := range changes {
		r.schedule(time.Duration(i)*evacuateGap, func() {
			if i%2 == 0 {
				r.evacuate(zone)
			} else {
				r.takeBack()
			}
		})
	}
}

// writeEvacuations writes the evacuation again, or removes those of a copy of the store.
func (r *run) writeEvacuations() {
	r.operator.mu.Lock()
	defer r.operator.mu.Unlock()
	for _, t := range r.targets {
		if zone := t.agent.host.Zone; zone != r.operator.zone {
			standin.TakeBack(r.fleet.store, zone)
		}
	}
	if r.operator.zone != "" {
		standin.Evacuate(r.fleet.store, r.operator.zone)
	}
}

// judgeEvacuation checks that the targets of an evacuated zone get no new flows once its
// limit has passed, which begins anew while there are faults.
func (r *run) judgeEvacuation() {
	r.operator.mu.Lock()
	defer r.operator.mu.Unlock()
	o := &r.operator
	if o.zone == "" {
		return
	}
	now := time.Now()
	after := latest(latest(o.since, r.lastFault().Add(calmWindow)).Add(evacuateTimeout), o.judged)
	if !after.Before(now) {
		return
	}
	for _, t := range r.targets {
		if current := t.currentTarget(); current != nil && current.Zone == o.zone {
			r.checker.checkEvacuated(current.ID, o.zone, current.Openings(), after, now)
		}
	}
	o.judged = now
}

// checkTakenBack takes back the evacuated zone of a calm fleet, if any, and checks that one of
// its targets gets a new flow.
func (r *run) checkTakenBack(ctx context.Context, drained []*standin.Target) {
	zone := r.evacuatedZone()
	if zone == "" {
		return
	}
	r.takeBack()
	at := time.Now()
	used, usable := false, false
	for !used && ctx.Err() == nil && time.Since(at) < takenBackTimeout {
		for _, t := range r.targets {
			current := t.currentTarget()
			if current == nil || current.Zone != zone || slices.Contains(drained, current) {
				continue
			}
			usable = true
			used = used || current.LastAccepted().After(at)
		}
		sleep(ctx, 50*time.Millisecond)
	}
	if usable {
		r.checker.check("taken back", used, "zone %s gets no new flow %s after it was taken back", zone, takenBackTimeout)
	}
}

// returnCold crashes all targets of a service. They return cold together after the downtime,
// and callers open many flows.
func (r *run) returnCold(ctx context.Context, service string, downtime time.Duration) {
	r.logf("all targets of %s crash for %s and return cold", service, downtime)
	for _, t := range r.targets {
		if t.service == service {
			r.crashTarget(t, downtime)
		}
	}
	r.mu.Lock()
	seed := r.rng.Uint64()
	r.mu.Unlock()
	for i := range burstFlows {
		delay := downtime + time.Duration(i)*burstDuration/burstFlows
		r.schedule(delay, func() { r.runFlow(ctx, rand.New(rand.NewPCG(seed, uint64(i))), service, 1, true) })
	}
}

// checkCold checks the openings that a target accepted while it was cold.
func (r *run) checkCold(t *standin.Target) {
	var openings []span
	for _, o := range t.Openings() {
		if sent, ok := r.caller.Sent(o); ok {
			openings = append(openings, span{sent, o.Arrived})
		}
	}
	r.checker.checkWarmup(t.ID, openings, t.WarmAt(), warmup.Rate)
}
