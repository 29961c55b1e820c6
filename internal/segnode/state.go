package segnode

import (
	"net/netip"
	"time"

	"github.com/peridotstall/peridotstall/internal/peers"
	"github.com/peridotstall/peridotstall/internal/registry"
	"github.com/peridotstall/peridotstall/internal/telemetry"
)

// acceptRoutes applies a configuration if it is newer and announces it to the
// peers.
func (b *Balancer) acceptRoutes(routes registry.Routes, source string) {
	now := b.clock.now()
	b.mu.Lock()
	previous := b.registry.Routes().Version
	accepted := b.registry.AcceptRoutes(routes)
	if accepted {
		b.publishView(now)
	}
	b.mu.Unlock()
	switch {
	case accepted:
		b.metrics.RoutesUnusable.Set(0)
		b.options.Logger.Log(telemetry.RoutesAccepted, "version", routes.Version, "previous", previous,
			"routes", len(routes.Routes), "source", source)
		b.announce(now)
	case routes.Version < previous:
		b.options.Logger.Log(telemetry.ConfigLower, "revision", routes.Version, "current", previous, "source", source)
	}
}

// acceptTable applies a table of targets if it is newer and announces it to the
// peers.
func (b *Balancer) acceptTable(table registry.Table, source string) {
	now := b.clock.now()
	b.mu.Lock()
	current := b.registry.Table()
	accepted := b.registry.AcceptTable(now, table)
	next := table
	if accepted {
		next = b.registry.Table()
		if current.Revision == 0 {
			b.partialUntil = now + b.partialTime()
		}
		b.tableFromPeer = fromPeer(now, source)
		b.peers.Enter(table.Position())
		b.publishView(now)
	}
	b.mu.Unlock()
	changes := registry.Difference(current, next)
	if !accepted {
		if len(changes) > 0 && b.options.Logger.Allow(telemetry.TableIgnored) {
			b.options.Logger.Log(telemetry.TableIgnored, "epoch", table.Epoch, "revision", table.Revision,
				"current_epoch", current.Epoch, "current_revision", current.Revision, "changes", len(changes), "source", source)
		}
		return
	}
	if table.Epoch != current.Epoch && current.Revision != 0 {
		b.options.Logger.Log(telemetry.StoreRestored, "epoch", table.Epoch, "revision", table.Revision,
			"previous_epoch", current.Epoch, "previous_revision", current.Revision, "changes", len(changes),
			"overruled", len(registry.Difference(table, next)), "source", source)
	}
	b.pingUnreported(now)
	for _, c := range changes {
		if b.options.Logger.Allow(telemetry.TargetChanged) {
			b.options.Logger.Log(telemetry.TargetChanged, "target", c.ID, "change", c.Kind, "epoch", table.Epoch, "revision", table.Revision, "source", source)
		}
	}
	if len(changes) > 0 {
		b.announce(now)
	}
}

// partialTime returns the time for which the first table may lack live targets. Their entries may
// have lapsed with the store. After failed calls of this balancer they are back within
// LapseGrace. Without any, the store may have come back just before the start; a peer that has run
// for longer then knows the targets, and its digest arrives within DigestInterval.
func (b *Balancer) partialTime() time.Duration {
	if b.storeFailed {
		return registry.LapseGrace
	}
	return peers.DigestInterval
}

// learn adds what a peer has retained from before a restore of the store.
func (b *Balancer) learn(from registry.Table, peer netip.AddrPort) {
	now := b.clock.now()
	b.mu.Lock()
	before := b.registry.Table()
	learned := b.registry.Learn(now, from)
	b.peers.Learned(now, peer)
	if learned {
		b.publishView(now)
	}
	after := b.registry.Table()
	b.mu.Unlock()
	if learned {
		b.pingUnreported(now)
		b.options.Logger.Log(telemetry.RestoreLearned, "epoch", after.Epoch, "revision", after.Revision,
			"overruled", len(registry.Difference(before, after)), "source", peer)
	}
}

// announce sends a digest to peers at once because the state of this balancer
// changed.
func (b *Balancer) announce(now time.Duration) {
	b.mu.Lock()
	due := b.peers.Due(now, true)
	b.mu.Unlock()
	b.sendDigests(now, due)
}
