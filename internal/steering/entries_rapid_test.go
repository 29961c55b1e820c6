package steering

import (
	"fmt"
	"maps"
	"net/netip"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/peridotstall/peridotstall/internal/registry"
	"github.com/peridotstall/peridotstall/internal/segment"
)

// entryModel is a store with the entries of live targets and of another writer, and a balancer
// that follows it.
type entryModel struct {
	now      time.Duration
	revision uint64
	born     int64
	// live holds the entry of the target on each host, foreign those of another writer by key.
	live    map[int]registry.Target
	foreign map[string]registry.Target
	// registry and view are those of the balancer.
	registry *registry.Registry
	view     *View
	epoch    uint64
}

var modelServices = []string{"web", "feed"}

func (m *entryModel) host(i int) netip.Addr { return netip.AddrFrom4([4]byte{10, 0, 0, byte(i + 1)}) }

// follow gives the balancer the entries of the store.
func (m *entryModel) follow() {
	m.revision++
	table := registry.Table{Epoch: m.epoch, Revision: m.revision}
	for i := range 4 {
		if t, alive := m.live[i]; alive {
			table.Targets = append(table.Targets, t)
		}
	}
	for _, key := range slices.Sorted(maps.Keys(m.foreign)) {
		table.Targets = append(table.Targets, m.foreign[key])
	}
	m.registry.AcceptTable(m.now, table)
	m.rebuild()
}

func (m *entryModel) rebuild() {
	configuration := routes(1, modelServices...)
	m.view = NewView(m.now, m.view, configuration, m.registry.Table(), agentPort)
}

// pass lets time pass, so that lapsed targets and what was retained end.
func (m *entryModel) pass(d time.Duration) {
	m.now += d
	m.registry.Tick(m.now)
	m.rebuild()
}

// report lets the agents of all live targets say which target they are beside.
func (m *entryModel) report() {
	for i, t := range m.live {
		m.view.Identify(m.host(i), segment.IdentityOf(t.Service, t.Address.Port()))
	}
}

// check reports the first host whose target is not that of its own entry.
func (m *entryModel) check(t *rapid.T) {
	m.report()
	for i, want := range m.live {
		got := m.view.TargetOn(m.host(i))
		switch {
		case got == nil:
			t.Fatalf("target %s is not used", want.ID)
		case got.Info.ID != want.ID:
			t.Fatalf("entry %s is used in place of target %s", got.Info.ID, want.ID)
		case got.draining.Load() != want.Draining:
			t.Fatalf("target %s: draining is %t, want %t", want.ID, got.draining.Load(), want.Draining)
		case got.acceptsFlows() == want.Draining:
			t.Fatalf("target %s: accepts flows is %t", want.ID, got.acceptsFlows())
		}
	}
}

// Guards against entries of another writer, in any order, that hide a live target, undo its
// drain or drain it: once the agents have reported, the targets in use are those of the live
// targets' entries alone. Only a complete entry of the target's own service and address with a
// later start is left out, which cannot be told from a restart.
func TestEntriesOfOthersChangeNothing(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := &entryModel{live: map[int]registry.Target{}, foreign: map[string]registry.Target{}, registry: registry.New(), epoch: 1}
		hosts, services := rapid.IntRange(0, 3), rapid.SampledFrom(modelServices)
		t.Repeat(map[string]func(*rapid.T){
			"": m.check,
			"a target starts": func(t *rapid.T) {
				i := hosts.Draw(t, "host")
				m.born += 1000
				m.live[i] = registry.Target{
					ID: fmt.Sprintf("t%d-%d", i, m.born), Born: m.born, Sequence: 1, Service: services.Draw(t, "service"), Zone: "z0", Slots: 3,
					Address: netip.AddrPortFrom(m.host(i), 80),
				}
				m.follow()
			},
			"a target drains": func(t *rapid.T) {
				i := hosts.Draw(t, "host")
				if target, alive := m.live[i]; alive {
					target.Draining = true
					target.Sequence++
					m.live[i] = target
					m.follow()
				}
			},
			"a target leaves": func(t *rapid.T) {
				delete(m.live, hosts.Draw(t, "host"))
				m.follow()
				m.pass(2 * registry.LapseGrace)
			},
			"a foreign entry is written": func(t *rapid.T) {
				i := hosts.Draw(t, "host")
				entry := registry.Target{
					ID: fmt.Sprintf("foreign-%d", rapid.IntRange(0, 5).Draw(t, "key")), Born: m.born + rapid.Int64Range(-2000, 2000).Draw(t, "born"),
					Service: rapid.SampledFrom([]string{"web", "feed", "exporter"}).Draw(t, "service"), Zone: "z0", Slots: 1,
					Draining: rapid.Bool().Draw(t, "draining"),
					Address:  netip.AddrPortFrom(m.host(i), rapid.SampledFrom([]uint16{80, 9100}).Draw(t, "port")),
				}
				for _, service := range modelServices {
					if entry.Service == service && entry.Address.Port() == 80 {
						// Any target that starts here later may have this service.
						return
					}
				}
				m.foreign[entry.ID] = entry
				m.follow()
			},
			"a foreign entry of another service is written": func(t *rapid.T) {
				i := hosts.Draw(t, "host")
				if target, alive := m.live[i]; alive {
					entry := target
					entry.ID, entry.Born = fmt.Sprintf("other-%d", i), m.born+1000
					entry.Service = modelServices[(slices.Index(modelServices, target.Service)+1)%len(modelServices)]
					entry.Draining = rapid.Bool().Draw(t, "draining")
					m.foreign[entry.ID] = entry
					m.follow()
					m.check(t)
					// Removed again, since the next target there may have its service.
					delete(m.foreign, entry.ID)
					m.follow()
					m.pass(2 * registry.LapseGrace)
				}
			},
			"a foreign entry is removed": func(t *rapid.T) {
				delete(m.foreign, fmt.Sprintf("foreign-%d", rapid.IntRange(0, 5).Draw(t, "key")))
				m.follow()
			},
			"the balancer restarts": func(t *rapid.T) {
				m.registry, m.view = registry.New(), nil
				m.follow()
			},
			"the store is restored from a copy of its present state": func(t *rapid.T) {
				m.epoch++
				m.follow()
			},
			"time passes": func(t *rapid.T) { m.pass(registry.RestoreGrace + time.Second) },
		})
	})
}
