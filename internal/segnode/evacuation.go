package segnode

import (
	"time"

	"github.com/peridotstall/peridotstall/internal/registry"
	"github.com/peridotstall/peridotstall/internal/telemetry"
)

// acceptEvacuations applies a list of evacuated zones if it is newer.
func (b *Balancer) acceptEvacuations(list registry.Evacuations, source string) {
	b.updateEvacuations(source, func(now time.Duration) bool {
		accepted := b.registry.AcceptEvacuations(now, list)
		if accepted {
			b.zonesFromPeer = fromPeer(now, source)
		}
		return accepted
	})
}

// learnEvacuations adds the zones that a peer has retained from before a restore of the store.
func (b *Balancer) learnEvacuations(from registry.Evacuations, source string) {
	b.updateEvacuations(source, func(now time.Duration) bool { return b.registry.LearnEvacuations(now, from) })
}

// updateEvacuations publishes the view after an update of the evacuated zones that reports
// success. Also a list with the same zones gives the statements to agents a later position.
func (b *Balancer) updateEvacuations(source string, update func(now time.Duration) bool) {
	now := b.clock.now()
	b.mu.Lock()
	before := b.registry.Evacuations()
	if update(now) {
		b.publishView(now)
	}
	after := b.registry.Evacuations()
	b.mu.Unlock()
	b.evacuationsChanged(now, before, after, source)
}

// evacuationsChanged logs and announces changes of the evacuated zones and pings the agents
// there.
func (b *Balancer) evacuationsChanged(now time.Duration, before, after registry.Evacuations, source string) {
	changes := registry.EvacuationChanges(before, after)
	if len(changes) == 0 {
		return
	}
	changed := make(map[string]bool, len(changes))
	for _, c := range changes {
		changed[c.Zone] = true
		b.metrics.EvacuatedZones.Set(c.Zone, after.Position(), c.Evacuated)
		if b.options.Logger.Allow(telemetry.ZoneEvacuated) {
			b.options.Logger.Log(telemetry.ZoneEvacuated, "zone", c.Zone, "evacuated", c.Evacuated,
				"epoch", after.Epoch, "revision", after.Revision, "source", source)
		}
	}
	b.pingZones(now, changed)
	b.announce(now)
}

// countEvacuated publishes the figures of the evacuated zones.
func (b *Balancer) countEvacuated(now time.Duration) {
	view := b.view.Load()
	if view == nil || now-b.evacuatedCounted < evacuatedInterval {
		return
	}
	b.evacuatedCounted = now
	for zone, count := range view.EvacuatedZones() {
		b.metrics.EvacuatedZones.Count(zone, count.Targets, count.Confirmed, count.OpenFlows)
	}
}

// pingZones tells the agents in zones at once whether these are evacuated.
func (b *Balancer) pingZones(now time.Duration, zones map[string]bool) {
	view := b.view.Load()
	if view == nil {
		return
	}
	b.mu.Lock()
	wanted := b.pings.Wanted()
	b.mu.Unlock()
	for _, t := range view.Pinged() {
		if zones[t.Info.Zone] {
			b.sendPing(now, view, t, wanted, false, true)
		}
	}
}
