package registry

import (
	"maps"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

func evacuated(zone string) ZoneChange { return ZoneChange{zone, true} }

func takenBack(zone string) ZoneChange { return ZoneChange{zone, false} }

// inForce returns the zones that are evacuated.
func inForce(r *Registry) []string {
	e := r.Evacuations()
	return slices.Sorted(slices.Values(slices.Concat(e.Zones, e.Retained)))
}

// Guards against a request that is missed or undone, when it is written, taken back and written
// again in quick succession, beside those of other zones.
func TestEvacuationsFollowTheStore(t *testing.T) {
	c := qt.New(t)
	r := New()
	list := Evacuations{Epoch: 1, Revision: 5}
	c.Check(r.AcceptEvacuations(0, list), qt.IsTrue, qt.Commentf("an empty list is one"))
	for _, step := range []struct {
		revision uint64
		changes  []ZoneChange
		want     []string
	}{
		{6, []ZoneChange{evacuated("b")}, []string{"b"}},
		{7, []ZoneChange{takenBack("b"), evacuated("b"), evacuated("a")}, []string{"a", "b"}},
		{8, []ZoneChange{evacuated("b"), takenBack("b"), takenBack("unknown")}, []string{"a"}},
		{9, []ZoneChange{evacuated("c"), evacuated("b"), evacuated("d")}, []string{"a", "b", "c", "d"}},
		{10, []ZoneChange{takenBack("a"), takenBack("b"), takenBack("c"), takenBack("d")}, nil},
	} {
		list = list.Apply(step.changes, step.revision)
		c.Check(r.AcceptEvacuations(0, list), qt.IsTrue)
		c.Check(inForce(r), qt.DeepEquals, step.want)
		c.Check(r.Evacuations().Position(), qt.Equals, Position{1, step.revision})
	}
}

// Guards against a list that an older one replaces, and against announcements of a list that was
// only read again.
func TestOlderEvacuationsAreIgnored(t *testing.T) {
	c := qt.New(t)
	r := New()
	r.AcceptEvacuations(0, Evacuations{Epoch: 1, Revision: 9, Zones: []string{"a"}})
	for _, older := range []Evacuations{{}, {Epoch: 1, Revision: 8}, {Epoch: 1, Revision: 9}, {Revision: 40, Zones: []string{"b"}}} {
		c.Check(r.AcceptEvacuations(0, older), qt.IsFalse)
	}
	before := r.Evacuations()
	c.Check(r.AcceptEvacuations(0, Evacuations{Epoch: 1, Revision: 30, Zones: []string{"a"}}), qt.IsTrue)
	c.Check(EvacuationChanges(before, r.Evacuations()), qt.HasLen, 0)
	c.Check(r.Evacuations().Position(), qt.Equals, Position{1, 30})
}

// restored returns a registry in which zone a was evacuated when the store was restored at 1 s
// from a copy without the request.
func restored() *Registry {
	r := New()
	r.AcceptEvacuations(0, Evacuations{Epoch: 1, Revision: 40, Zones: []string{"a"}})
	r.AcceptEvacuations(time.Second, Evacuations{Epoch: 2, Revision: 16})
	return r
}

// Guards against new flows in a zone whose request a restore of the store has lost, and against a
// zone that stays empty for ever because of it.
func TestEvacuationOutlastsARestore(t *testing.T) {
	c := qt.New(t)
	r := restored()
	c.Check(inForce(r), qt.DeepEquals, []string{"a"})
	c.Check(r.KnowsBeyondStore(time.Second), qt.IsTrue)
	c.Check(r.Tick(time.Second+RestoreGrace-1), qt.IsFalse)
	c.Check(r.Tick(time.Second+RestoreGrace), qt.IsTrue)
	c.Check(inForce(r), qt.HasLen, 0)
	// A second restore begins with what is known then.
	r = restored()
	r.AcceptEvacuations(2*time.Second, Evacuations{Epoch: 3, Revision: 2})
	r.Tick(time.Second + RestoreGrace)
	c.Check(inForce(r), qt.DeepEquals, []string{"a"})
}

// Guards against a zone that stays evacuated although the operator has taken it back after the
// restore: the store says so itself, also when the request was written again before.
func TestTakenBackAfterARestore(t *testing.T) {
	for _, changes := range [][]ZoneChange{{takenBack("a")}, {evacuated("a"), takenBack("a")}} {
		c := qt.New(t)
		r := restored()
		c.Check(r.AcceptEvacuations(2*time.Second, Evacuations{Epoch: 2, Revision: 16}.Apply(changes, 18)), qt.IsTrue)
		c.Check(inForce(r), qt.HasLen, 0)
	}
	c := qt.New(t)
	r := restored()
	r.AcceptEvacuations(2*time.Second, Evacuations{Epoch: 2, Revision: 17, Zones: []string{"a"}})
	r.Tick(time.Second + RestoreGrace)
	c.Check(inForce(r), qt.DeepEquals, []string{"a"}, qt.Commentf("written again"))
	r.AcceptEvacuations(3*time.Second, Evacuations{Epoch: 2, Revision: 18})
	c.Check(inForce(r), qt.HasLen, 0)
}

// Guards against a request that the operator had removed, came back with the copy and is ignored.
func TestEvacuationOfTheCopyCounts(t *testing.T) {
	c := qt.New(t)
	r := New()
	r.AcceptEvacuations(0, Evacuations{Epoch: 1, Revision: 40})
	r.AcceptEvacuations(time.Second, Evacuations{Epoch: 2, Revision: 16, Zones: []string{"a"}})
	c.Check(inForce(r), qt.DeepEquals, []string{"a"})
}

// Guards against balancers that differ after a restore: one that started meanwhile has read the
// copy only, one that retains a zone has missed that it was taken back.
func TestPeersAgreeAfterARestore(t *testing.T) {
	c := qt.New(t)
	started, knows := New(), restored()
	started.AcceptEvacuations(2*time.Second, Evacuations{Epoch: 2, Revision: 17})
	c.Check(started.LearnEvacuations(5*time.Second, knows.EvacuationsToSend(5*time.Second)), qt.IsTrue)
	c.Check(inForce(started), qt.DeepEquals, []string{"a"})
	c.Check(started.LearnEvacuations(5*time.Second, knows.EvacuationsToSend(5*time.Second)), qt.IsFalse)
	c.Check(started.Tick(time.Second+RestoreGrace-1), qt.IsFalse)
	c.Check(started.Tick(time.Second+RestoreGrace), qt.IsTrue, qt.Commentf("no longer than the peer"))

	reader, behind := restored(), restored()
	list := Evacuations{Epoch: 2, Revision: 16}.Apply([]ZoneChange{evacuated("a")}, 17)
	reader.AcceptEvacuations(2*time.Second, list)
	reader.AcceptEvacuations(3*time.Second, list.Apply([]ZoneChange{takenBack("a")}, 18))
	c.Check(behind.AcceptEvacuations(4*time.Second, reader.EvacuationsToSend(4*time.Second)), qt.IsTrue)
	c.Check(inForce(behind), qt.HasLen, 0)
}

// Guards against lists that do not follow the store in the end, after restores, restarts of
// processes and lists that pass from one to the next in any order (seeds 1 to 200).
func TestEvacuationsConverge(t *testing.T) {
	zones := []string{"a", "b", "c"}
	for seed := range uint64(200) {
		c := qt.New(t)
		rng := rand.New(rand.NewPCG(seed+1, 0))
		position, store, copies := Position{1, 1}, map[string]bool{}, []map[string]bool{{}}
		processes := []*Registry{New(), New(), New()}
		now := time.Duration(0)
		read := func(r *Registry) {
			r.AcceptEvacuations(now, Evacuations{Epoch: position.Epoch, Revision: position.Revision, Zones: sorted(store)})
		}
		for range 200 {
			now += time.Duration(rng.Int64N(int64(time.Second)))
			r, other := processes[rng.IntN(3)], processes[rng.IntN(3)]
			zone := zones[rng.IntN(len(zones))]
			switch rng.IntN(10) {
			case 0, 1, 2:
				position.Revision++
				if store[zone] {
					delete(store, zone)
				} else {
					store[zone] = true
				}
				copies = append(copies, maps.Clone(store))
			case 3:
				position.Epoch++
				position.Revision = 1 + rng.Uint64N(position.Revision)
				store = maps.Clone(copies[rng.IntN(len(copies))])
			case 4:
				*r = *New()
			case 5, 6:
				read(r)
			case 7:
				r.LearnEvacuations(now, other.EvacuationsToSend(now))
			default:
				r.AcceptEvacuations(now, other.EvacuationsToSend(now))
			}
			r.Tick(now)
		}
		position.Revision++
		for _, r := range processes {
			read(r)
			r.Tick(now + RestoreGrace)
			c.Assert(inForce(r), qt.DeepEquals, sorted(store), qt.Commentf("seed %d", seed+1))
		}
	}
}

// Guards against a peer of another build whose list is out of order or holds names that no zone
// can have.
func TestZonesOfAPeerAreChecked(t *testing.T) {
	c := qt.New(t)
	reported := 0
	list := Evacuations{Epoch: 1, Revision: 3, Zones: []string{"c", "", "a", "a", strings.Repeat("z", maxNameBytes+1)}}
	list = list.Usable(func(Unusable) { reported++ })
	c.Check(list.Zones, qt.DeepEquals, []string{"a", "c"})
	c.Check(list.Contains("a") && list.Contains("c") && !list.Contains("b"), qt.IsTrue)
	c.Check(reported, qt.Equals, 2)
}
