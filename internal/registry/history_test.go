package registry

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"net/netip"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

const (
	historySeeds = 300
	historyStep  = 100 * time.Millisecond
	// republishDelay is the time after a restore within which live targets publish again;
	// expiryDelay is the time after which the entries of the others are removed.
	republishDelay, expiryDelay = 1500 * time.Millisecond, 3600 * time.Millisecond
	// copyAge bounds the age of a copy.
	copyAge = 10 * time.Second
)

// storeState is the content of a simulated store.
type storeState struct {
	at       time.Duration
	revision uint64
	entries  map[string]Target
}

// participant is a process with its registry and what it has known.
type participant struct {
	registry *Registry
	// stopped holds the incarnations that it has known as draining or departed, present the
	// live ones in its table.
	stopped, present map[Incarnation]bool
	position         Position
}

// history is a store that is restored from copies, the targets that publish there and the
// processes that read it or each other.
type history struct {
	c      *qt.C
	rng    *rand.Rand
	now    time.Duration
	epoch  uint64
	store  storeState
	copies []storeState
	// live holds the targets that run.
	live     map[string]Target
	started  int64
	pending  map[time.Duration][]func()
	restored time.Duration
	all      []*participant
}

func newParticipant() *participant {
	return &participant{registry: New(), stopped: make(map[Incarnation]bool), present: make(map[Incarnation]bool)}
}

func (h *history) publish(t Target) {
	h.store.revision++
	t.Sequence++
	h.live[t.ID], h.store.entries[t.ID] = t, t
}

func (h *history) remove(id string) {
	if _, ok := h.store.entries[id]; ok {
		h.store.revision++
		delete(h.store.entries, id)
	}
}

func (h *history) table() Table {
	ids := slices.Sorted(maps.Keys(h.store.entries))
	table := Table{Epoch: h.epoch, Revision: h.store.revision}
	for _, id := range ids {
		table.Targets = append(table.Targets, h.store.entries[id])
	}
	return table
}

// change starts, drains or ends a target. A started one may get the address of one that ended.
func (h *history) change() {
	ids := slices.Sorted(maps.Keys(h.live))
	if len(ids) < 4 || len(ids) < 8 && h.rng.IntN(2) == 0 {
		h.started++
		t := born(fmt.Sprintf("t%d", h.started), fmt.Sprintf("10.0.0.%d:80", 1+h.rng.IntN(10)), h.started)
		for _, other := range h.live {
			if other.Address == t.Address {
				return
			}
		}
		h.publish(t)
		return
	}
	t := h.live[ids[h.rng.IntN(len(ids))]]
	if t.Draining {
		delete(h.live, t.ID)
		h.remove(t.ID)
		return
	}
	t.Draining = true
	h.publish(t)
}

// restore returns to a copy. Later the live targets publish again, and other entries expire.
func (h *history) restore() {
	old := h.copies[h.rng.IntN(len(h.copies))]
	h.store = storeState{revision: old.revision, entries: maps.Clone(old.entries)}
	h.epoch++
	h.restored = h.now
	for id := range h.live {
		at := (h.now + time.Duration(h.rng.Int64N(int64(republishDelay)))).Truncate(historyStep) + historyStep
		h.pending[at] = append(h.pending[at], func() {
			if t, ok := h.live[id]; ok && h.store.entries[id] != t {
				h.publish(t)
			}
		})
	}
	at := h.now + expiryDelay
	h.pending[at] = append(h.pending[at], func() {
		for _, id := range slices.Sorted(maps.Keys(h.store.entries)) {
			if _, ok := h.live[id]; !ok {
				h.remove(id)
			}
		}
	})
}

func (h *history) step(quiet bool) {
	h.now += historyStep
	for _, run := range h.pending[h.now] {
		run()
	}
	if !quiet && h.rng.IntN(4) == 0 {
		h.change()
	}
	if !quiet && h.rng.IntN(40) == 0 && h.now > h.restored+2*time.Second {
		h.restore()
	}
	h.copies = append(h.copies, storeState{h.now, h.store.revision, maps.Clone(h.store.entries)})
	h.copies = slices.DeleteFunc(h.copies, func(s storeState) bool { return h.now-s.at > copyAge })
	for i, p := range h.all {
		if !quiet && h.rng.IntN(200) == 0 {
			h.all[i] = newParticipant()
			continue
		}
		p.registry.Tick(h.now)
		switch from := h.all[h.rng.IntN(len(h.all))].registry; {
		case quiet || h.rng.IntN(3) == 0:
			p.registry.AcceptTable(h.now, h.table())
		case from.Table().Position().After(p.registry.Table().Position()):
			p.registry.AcceptTable(h.now, from.TableToSend(h.now))
		case from.Retaining(h.now) && !p.registry.Retaining(h.now):
			p.registry.Learn(h.now, from.TableToSend(h.now))
		}
		h.check(p)
	}
}

// check compares the table of a process with what it has known before.
func (h *history) check(p *participant) {
	table := p.registry.Table()
	if p.position.After(table.Position()) {
		h.c.Fatalf("table %s after %s", table.Position(), p.position)
	}
	p.position = table.Position()
	present := make(map[Incarnation]bool)
	// Of several entries at an address, balancers use the newest one.
	newest := make(map[netip.AddrPort]Target)
	for _, t := range table.Targets {
		if t.Born > newest[t.Address].Born {
			newest[t.Address] = t
		}
	}
	for _, t := range newest {
		i := t.Incarnation()
		if p.stopped[i] && !t.Draining {
			h.c.Fatalf("%s at %s, table %s: takes flows after its drain or departure", i.ID, h.now, p.position)
		}
		present[i] = true
		if t.Draining {
			p.stopped[i] = true
		}
	}
	for i := range p.present {
		if live, ok := h.live[i.ID]; !present[i] && ok && live.Born == i.Born {
			h.c.Fatalf("%s at %s: lives and has left the table", i.ID, h.now)
		}
		if !present[i] {
			p.stopped[i] = true
		}
	}
	p.present = present
}

// Guards against each way in which a restored store could mislead a process, alone or through its
// peers, restarts and further restores: a drain undone, a departed target used, a live one lost,
// a position that goes back, a table that never agrees with the store again.
func TestHistoriesWithRestores(t *testing.T) {
	for seed := range uint64(historySeeds) {
		t.Run(fmt.Sprintf("seed=%d", seed), func(t *testing.T) {
			h := &history{
				c: qt.New(t), rng: rand.New(rand.NewPCG(seed, 1)), epoch: 1, live: make(map[string]Target),
				pending: make(map[time.Duration][]func()), store: storeState{revision: 1, entries: make(map[string]Target)},
			}
			for range 4 {
				h.all = append(h.all, newParticipant())
			}
			for range 300 {
				h.step(false)
			}
			for range int((RestoreGrace + expiryDelay + LapseGrace) / historyStep) {
				h.step(true)
			}
			want := h.table().Targets
			for _, p := range h.all {
				got := p.registry.Table().Targets
				slices.SortFunc(got, func(a, b Target) int { return slices.Compare([]byte(a.ID), []byte(b.ID)) })
				h.c.Check(slices.Equal(got, want), qt.IsTrue, qt.Commentf("%v, store %v", ids(Table{Targets: got}), ids(Table{Targets: want})))
			}
		})
	}
}
