package segnode

import (
	"time"

	"github.com/peridotstall/peridotstall/internal/peers"
	"github.com/peridotstall/peridotstall/internal/registry"
	"github.com/peridotstall/peridotstall/internal/telemetry"
)

// storeSource is the source of what this balancer has read from the store itself.
const storeSource = "store"

// fromPeer returns the time at which a state came from a peer; 0 if it is from the store.
func fromPeer(now time.Duration, source string) time.Duration {
	if source == storeSource {
		return 0
	}
	return now
}

// refuted reports whether a state of the given position, which came from a peer at a time, was
// never that of the store, which says that it is at another position in the answer to a call that
// began later. Positions of the store do not go back, other than in an epoch that is later.
func refuted(state registry.Position, since time.Duration, store registry.Position, begun time.Duration) bool {
	return since != 0 && since < begun && state.After(store)
}

// aheadOfStore reports whether the table or the evacuated zones are of a position that the store
// has not reached, as it says in the answer to a call that began at a time.
func (b *Balancer) aheadOfStore(store registry.Position, begun time.Duration) (table, zones bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return refuted(b.registry.Table().Position(), b.tableFromPeer, store, begun),
		refuted(b.registry.Evacuations().Position(), b.zonesFromPeer, store, begun)
}

// readTable puts a table that was read from the store into force, by a call that began at a time.
// It takes the place of one that a peer made up, whose position the store has not reached and
// which would otherwise stay until a restart.
func (b *Balancer) readTable(table registry.Table, begun time.Duration) {
	now := b.clock.now()
	b.mu.Lock()
	current := b.registry.Table().Position()
	overruled := refuted(current, b.tableFromPeer, table.Position(), begun)
	if overruled {
		b.registry.OverruleTable(now, table)
		b.tableFromPeer = 0
		b.peers.Enter(table.Position())
		b.peers.Refute(now, peers.Versions{Targets: current})
		b.publishView(now)
	}
	b.mu.Unlock()
	if !overruled {
		b.acceptTable(table, storeSource)
		return
	}
	b.options.Logger.Log(telemetry.PeerOverruled, "what", "targets", "position", current.String(), "store", table.Position().String())
	b.pingUnreported(now)
	b.announce(now)
}

// readEvacuations is readTable for the list of evacuated zones.
func (b *Balancer) readEvacuations(list registry.Evacuations, begun time.Duration) {
	var current registry.Position
	overruled := false
	b.updateEvacuations(storeSource, func(now time.Duration) bool {
		current = b.registry.Evacuations().Position()
		if overruled = refuted(current, b.zonesFromPeer, list.Position(), begun); !overruled {
			return false
		}
		b.registry.OverruleEvacuations(now, list)
		b.zonesFromPeer = 0
		b.peers.Refute(now, peers.Versions{Evacuations: current})
		return true
	})
	if !overruled {
		b.acceptEvacuations(list, storeSource)
		return
	}
	b.options.Logger.Log(telemetry.PeerOverruled, "what", "evacuations", "position", current.String(), "store", list.Position().String())
}
