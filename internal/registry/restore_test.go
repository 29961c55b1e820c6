package registry

import (
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// born returns an entry with a start time.
func born(id, address string, start int64) Target {
	t := entry(id, address)
	t.Born = start
	return t
}

func draining(t Target) Target {
	t.Draining = true
	return t
}

// drains returns the IDs of the targets in a table that are draining.
func drains(t Table) []string {
	var out []string
	for _, target := range t.Targets {
		if target.Draining {
			out = append(out, target.ID)
		}
	}
	return out
}

// Guards against drains and new targets that are ignored until the revision of a restored store
// has passed its earlier height (day restored-storm: DRAIN).
func TestTableOfARestoredStoreIsAccepted(t *testing.T) {
	c := qt.New(t)
	r := New()
	a, b := born("a", "10.0.0.1:80", 5), born("b", "10.0.0.2:80", 6)
	c.Check(r.AcceptTable(0, Table{Epoch: 1, Revision: 40, Targets: []Target{a, b}}), qt.IsTrue)
	c.Check(r.AcceptTable(time.Second, Table{Epoch: 2, Revision: 16, Targets: []Target{a, b}}), qt.IsTrue)
	c.Check(r.AcceptTable(2*time.Second, Table{Epoch: 2, Revision: 18, Targets: []Target{a, draining(b), born("c", "10.0.0.3:80", 7)}}), qt.IsTrue)
	c.Check(ids(r.Table()), qt.DeepEquals, []string{"a", "b", "c"})
	c.Check(drains(r.Table()), qt.DeepEquals, []string{"b"})
	c.Check(r.AcceptTable(3*time.Second, Table{Epoch: 1, Revision: 41, Targets: []Target{a, b}}), qt.IsFalse, qt.Commentf("table of an earlier epoch"))
	c.Check(drains(r.Table()), qt.DeepEquals, []string{"b"})
}

// Guards against new flows at a target that drains: the copy is from before its drain, and the
// target has not written its entry again yet.
func TestRestoredCopyDoesNotUndoADrain(t *testing.T) {
	c := qt.New(t)
	r := New()
	a, b := born("a", "10.0.0.1:80", 5), born("b", "10.0.0.2:80", 6)
	r.AcceptTable(0, Table{Epoch: 1, Revision: 40, Targets: []Target{draining(a), b}})
	c.Check(r.AcceptTable(time.Second, Table{Epoch: 2, Revision: 16, Targets: []Target{a, b}}), qt.IsTrue)
	c.Check(drains(r.Table()), qt.DeepEquals, []string{"a"})
	c.Check(r.AcceptTable(2*time.Second, Table{Epoch: 2, Revision: 17, Targets: []Target{a, draining(b)}}), qt.IsTrue)
	c.Check(drains(r.Table()), qt.DeepEquals, []string{"a", "b"})
	// A second restore begins with what is known then.
	c.Check(r.AcceptTable(3*time.Second, Table{Epoch: 3, Revision: 16, Targets: []Target{a, b}}), qt.IsTrue)
	c.Check(drains(r.Table()), qt.DeepEquals, []string{"a", "b"})
	c.Check(r.AcceptTable(4*time.Second, Table{Epoch: 3, Revision: 17, Targets: []Target{born("a", "10.0.0.1:80", 9), b}}), qt.IsTrue)
	c.Check(drains(r.Table()), qt.DeepEquals, []string{"b"}, qt.Commentf("the next incarnation of a"))
}

// Guards against a target that drained and left and is back in the copy: no entry of a later
// incarnation says that it is gone.
func TestRestoredCopyDoesNotBringBackADrainedTarget(t *testing.T) {
	c := qt.New(t)
	r := New()
	a, b := born("a", "10.0.0.1:80", 5), born("b", "10.0.0.2:80", 6)
	r.AcceptTable(0, Table{Epoch: 1, Revision: 40, Targets: []Target{draining(a), b}})
	r.AcceptTable(time.Second, Table{Epoch: 1, Revision: 41, Targets: []Target{b}})
	c.Check(r.AcceptTable(2*time.Second, Table{Epoch: 2, Revision: 16, Targets: []Target{a, b}}), qt.IsTrue)
	c.Check(ids(r.Table()), qt.DeepEquals, []string{"b"})
	c.Check(r.AcceptTable(3*time.Second, Table{Epoch: 2, Revision: 17, Targets: []Target{born("a", "10.0.0.1:80", 9), b}}), qt.IsTrue)
	c.Check(ids(r.Table()), qt.DeepEquals, []string{"a", "b"}, qt.Commentf("the next incarnation of a"))
}

// Guards against the loss of a target whose predecessor at its address, or under its ID, is back
// in the copy: its flows would go to a service that is no longer there.
func TestRestoredCopyDoesNotReplaceASuccessor(t *testing.T) {
	c := qt.New(t)
	r := New()
	old, successor := born("old", "10.0.0.1:80", 5), born("new", "10.0.0.1:80", 9)
	restarted := born("b", "10.0.0.2:80", 8)
	r.AcceptTable(0, Table{Epoch: 1, Revision: 40, Targets: []Target{successor, restarted}})
	c.Check(r.AcceptTable(time.Second, Table{Epoch: 2, Revision: 16, Targets: []Target{old, born("b", "10.0.0.2:80", 6)}}), qt.IsTrue)
	c.Check(ids(r.Table()), qt.DeepEquals, []string{"new lapsed", "b lapsed"})
	c.Check(r.Table().Targets[1].Born, qt.Equals, int64(8))
	c.Check(r.AcceptTable(2*time.Second, Table{Epoch: 2, Revision: 18, Targets: []Target{old, successor, restarted}}), qt.IsTrue)
	c.Check(ids(r.Table()), qt.DeepEquals, []string{"new", "b"})
}

// Guards against a target that drained and left and is used again because a peer that has missed the
// drain passes it on as lapsed.
func TestDepartedTargetDoesNotLapseAtAPeer(t *testing.T) {
	c := qt.New(t)
	r, peer := New(), New()
	a, b := born("a", "10.0.0.1:80", 5), born("b", "10.0.0.2:80", 6)
	for _, process := range []*Registry{r, peer} {
		process.AcceptTable(0, Table{Epoch: 1, Revision: 1, Targets: []Target{a, b}})
	}
	r.AcceptTable(time.Second, Table{Epoch: 1, Revision: 2, Targets: []Target{draining(a), b}})
	peer.AcceptTable(time.Second, Table{Epoch: 1, Revision: 3, Targets: []Target{b}})
	c.Check(ids(peer.Table()), qt.DeepEquals, []string{"b", "a lapsed"})
	c.Check(r.AcceptTable(time.Second, peer.TableToSend(time.Second)), qt.IsTrue)
	c.Check(ids(r.Table()), qt.DeepEquals, []string{"b"})
}

// Guards against a live target that stays unused after a restore because its entry had expired before
// it: what it has published since counts.
func TestTargetPublishedAfterItsDepartureIsUsed(t *testing.T) {
	c := qt.New(t)
	r := New()
	a := born("a", "10.0.0.1:80", 5)
	a.Sequence = 7
	r.AcceptTable(0, Table{Epoch: 1, Revision: 40, Targets: []Target{a}})
	r.AcceptTable(time.Second, Table{Epoch: 1, Revision: 41})
	r.Tick(time.Second + LapseGrace)
	c.Check(r.AcceptTable(4*time.Second, Table{Epoch: 2, Revision: 16, Targets: []Target{a}}), qt.IsTrue)
	c.Check(ids(r.Table()), qt.HasLen, 0)
	a.Sequence = 8
	c.Check(r.AcceptTable(5*time.Second, Table{Epoch: 2, Revision: 17, Targets: []Target{a}}), qt.IsTrue)
	c.Check(ids(r.Table()), qt.DeepEquals, []string{"a"})
}

// Guards against flows that lose their draining target because the copy is from before its start.
func TestDrainingTargetMissingInTheCopyStays(t *testing.T) {
	c := qt.New(t)
	r := New()
	a, b := born("a", "10.0.0.1:80", 5), born("b", "10.0.0.2:80", 6)
	r.AcceptTable(0, Table{Epoch: 1, Revision: 40, Targets: []Target{draining(a), b}})
	r.AcceptTable(time.Second, Table{Epoch: 2, Revision: 16, Targets: []Target{b}})
	got := ids(r.Table())
	slices.Sort(got)
	c.Check(got, qt.DeepEquals, []string{"a lapsed", "b"})
	c.Check(drains(r.Table()), qt.DeepEquals, []string{"a"})
	c.Check(r.AcceptTable(2*time.Second, Table{Epoch: 2, Revision: 17, Targets: []Target{draining(a), b}}), qt.IsTrue)
	c.Check(r.AcceptTable(3*time.Second, Table{Epoch: 2, Revision: 18, Targets: []Target{b}}), qt.IsTrue)
	c.Check(ids(r.Table()), qt.DeepEquals, []string{"b"}, qt.Commentf("it has left"))
}

// Guards against a process that takes over the reading soon after its start and believes the copy,
// because it has heard of a restore only from its peers.
func TestPeersPassOnWhatTheCopyLost(t *testing.T) {
	c := qt.New(t)
	r, peer := New(), New()
	a, b, gone := born("a", "10.0.0.1:80", 5), born("b", "10.0.0.2:80", 6), born("c", "10.0.0.3:80", 7)
	peer.AcceptTable(0, Table{Epoch: 1, Revision: 40, Targets: []Target{draining(a), b, draining(gone)}})
	peer.AcceptTable(time.Second, Table{Epoch: 1, Revision: 41, Targets: []Target{draining(a), b}})
	peer.AcceptTable(2*time.Second, Table{Epoch: 2, Revision: 16, Targets: []Target{a, b, gone}})
	c.Check(r.AcceptTable(0, peer.TableToSend(2*time.Second)), qt.IsTrue)
	c.Check(r.AcceptTable(time.Second, Table{Epoch: 2, Revision: 17, Targets: []Target{a, b, gone}}), qt.IsTrue)
	c.Check(ids(r.Table()), qt.DeepEquals, []string{"a", "b"})
	c.Check(drains(r.Table()), qt.DeepEquals, []string{"a"})
}

// Guards against a target that stays unused because its entry in a restored store is never
// believed again.
func TestStoreIsBelievedAgain(t *testing.T) {
	c := qt.New(t)
	r := New()
	a, gone := born("a", "10.0.0.1:80", 5), born("c", "10.0.0.3:80", 7)
	r.AcceptTable(0, Table{Epoch: 1, Revision: 40, Targets: []Target{draining(a), draining(gone)}})
	r.AcceptTable(time.Second, Table{Epoch: 1, Revision: 41, Targets: []Target{draining(a)}})
	r.AcceptTable(2*time.Second, Table{Epoch: 2, Revision: 16, Targets: []Target{a, gone}})
	c.Check(ids(r.Table()), qt.DeepEquals, []string{"a"})
	changed := false
	for now := 2 * time.Second; now <= time.Minute; now += time.Second {
		changed = r.Tick(now) || changed
	}
	c.Check(changed, qt.IsTrue)
	c.Check(ids(r.Table()), qt.DeepEquals, []string{"a", "c"})
	c.Check(drains(r.Table()), qt.HasLen, 0)
}

// Guards against a process that starts just after a restore, reads the copy itself and takes a flow
// for lost because its target is missing there, or uses a target that has left: its table is as new
// as those of its peers, which know better.
func TestYoungProcessLearnsFromItsPeers(t *testing.T) {
	c := qt.New(t)
	young, peer := New(), New()
	a, b, gone, recent := born("a", "10.0.0.1:80", 5), born("b", "10.0.0.2:80", 6), born("c", "10.0.0.3:80", 7), born("d", "10.0.0.4:80", 8)
	peer.AcceptTable(0, Table{Epoch: 1, Revision: 40, Targets: []Target{draining(a), b, draining(gone), recent}})
	peer.AcceptTable(time.Second, Table{Epoch: 1, Revision: 41, Targets: []Target{draining(a), b, recent}})
	restored := Table{Epoch: 2, Revision: 16, Targets: []Target{a, b, gone}}
	peer.AcceptTable(2*time.Second, restored)
	young.AcceptTable(0, restored)
	c.Check(young.AcceptTable(0, peer.TableToSend(2*time.Second)), qt.IsFalse)
	c.Check(young.Retaining(0), qt.IsFalse)
	c.Check(young.Learn(0, peer.TableToSend(2*time.Second)), qt.IsTrue)
	c.Check(young.Retaining(0), qt.IsTrue)
	c.Check(ids(young.Table()), qt.DeepEquals, []string{"a", "b", "d lapsed"})
	c.Check(drains(young.Table()), qt.DeepEquals, []string{"a"})
	c.Check(young.Learn(0, peer.TableToSend(2*time.Second)), qt.IsFalse, qt.Commentf("known already"))
	c.Check(young.AcceptTable(time.Second, Table{Epoch: 2, Revision: 17, Targets: []Target{a, b, gone, recent}}), qt.IsTrue)
	c.Check(ids(young.Table()), qt.DeepEquals, []string{"a", "b", "d"})
	c.Check(young.Learn(time.Second, Table{Epoch: 1, Revision: 99, Retained: &Retained{Left: time.Second}}), qt.IsFalse)
	for now := time.Second; now <= RestoreGrace; now += time.Second {
		young.Tick(now)
	}
	c.Check(young.Retaining(RestoreGrace), qt.IsFalse)
	c.Check(drains(young.Table()), qt.HasLen, 0)
}

// Guards against a balancer that starts as the store comes back and resets open flows, because
// the entries of their targets have lapsed meanwhile: its peers still know them.
func TestLapsedTargetsAreLearnedFromAPeer(t *testing.T) {
	c := qt.New(t)
	a, b := born("a", "10.0.0.1:80", 5), born("b", "10.0.0.2:80", 6)
	old, young := New(), New()
	old.AcceptTable(0, Table{Epoch: 1, Revision: 5, Targets: []Target{a, b}})
	partial := Table{Epoch: 1, Revision: 9, Targets: []Target{a}}
	c.Check(old.KnowsBeyondStore(0), qt.IsFalse)
	old.AcceptTable(time.Second, partial)
	young.AcceptTable(time.Second, partial)
	c.Assert(old.KnowsBeyondStore(time.Second), qt.IsTrue)
	c.Assert(young.KnowsBeyondStore(time.Second), qt.IsFalse)
	c.Check(young.Learn(time.Second, old.TableToSend(time.Second)), qt.IsTrue)
	c.Check(ids(young.Table()), qt.DeepEquals, []string{"a", "b lapsed"})
	c.Check(young.Learn(time.Second, old.TableToSend(time.Second)), qt.IsFalse, qt.Commentf("nothing more to learn"))
	c.Check(young.Retaining(time.Second), qt.IsFalse)
	// The time of the peer goes on.
	c.Check(young.Tick(time.Second+LapseGrace), qt.IsTrue)
	c.Check(ids(young.Table()), qt.DeepEquals, []string{"a"})
	c.Check(young.AcceptTable(4*time.Second, Table{Epoch: 1, Revision: 10, Targets: []Target{a, b}}), qt.IsTrue)
	c.Check(ids(young.Table()), qt.DeepEquals, []string{"a", "b"})
}
