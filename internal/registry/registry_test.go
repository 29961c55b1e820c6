package registry

import (
	"net/netip"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

func entry(id, address string) Target {
	return Target{ID: id, Service: "web", Address: netip.MustParseAddrPort(address), Slots: 1}
}

func ids(t Table) []string {
	var out []string
	for _, target := range t.Targets {
		name := target.ID
		if target.Lapsed {
			name += " lapsed"
		}
		out = append(out, name)
	}
	return out
}

// Guards against a configuration or table that reverts to an earlier one.
func TestNothingReverts(t *testing.T) {
	c := qt.New(t)
	r := New()
	c.Check(r.AcceptRoutes(Routes{Version: 7}), qt.IsTrue)
	c.Check(r.AcceptRoutes(Routes{Version: 7}), qt.IsFalse)
	c.Check(r.AcceptRoutes(Routes{Version: 6}), qt.IsFalse)
	c.Check(r.AcceptTable(0, Table{Revision: 5, Targets: []Target{entry("a", "10.0.0.1:80")}}), qt.IsTrue)
	c.Check(r.AcceptTable(0, Table{Revision: 4}), qt.IsFalse)
	c.Check(ids(r.Table()), qt.DeepEquals, []string{"a"})
}

// Guards against an outage when entries lapse for a moment, against lapsed targets that
// are never removed, and against drained targets that are kept as lapsed.
func TestLapsedEntries(t *testing.T) {
	c := qt.New(t)
	r := New()
	leaving := entry("c", "10.0.0.3:80")
	leaving.Draining = true
	r.AcceptTable(0, Table{Revision: 1, Targets: []Target{entry("a", "10.0.0.1:80"), entry("b", "10.0.0.2:80"), leaving}})
	r.AcceptTable(time.Second, Table{Revision: 2})
	c.Check(ids(r.Table()), qt.DeepEquals, []string{"a lapsed", "b lapsed"})
	// b is back, a is still missing.
	r.AcceptTable(2*time.Second, Table{Revision: 3, Targets: []Target{entry("b", "10.0.0.2:80")}})
	c.Check(ids(r.Table()), qt.DeepEquals, []string{"b", "a lapsed"})
	c.Check(r.Tick(time.Second+LapseGrace-1), qt.IsFalse)
	c.Check(r.Tick(time.Second+LapseGrace), qt.IsTrue)
	c.Check(ids(r.Table()), qt.DeepEquals, []string{"b"})
}

// Guards against a lapsed entry that never expires because peers keep sending it.
func TestLapsedEntryFromAPeer(t *testing.T) {
	c := qt.New(t)
	r := New()
	lapsed := entry("a", "10.0.0.1:80")
	lapsed.Lapsed, lapsed.LapseLeft = true, LapseGrace
	r.AcceptTable(0, Table{Revision: 1, Targets: []Target{lapsed}})
	r.AcceptTable(LapseGrace/2, Table{Revision: 2, Targets: []Target{lapsed}})
	r.AcceptTable(LapseGrace, Table{Revision: 3, Targets: []Target{lapsed}})
	c.Check(ids(r.Table()), qt.HasLen, 0)
}

// Guards against a target that has left and is in use again after restarts: each process
// that starts takes it from the one before and gives it a grace period of its own.
func TestGraceIsNotExtendedByRestarts(t *testing.T) {
	c := qt.New(t)
	first := New()
	first.AcceptTable(0, Table{Revision: 1, Targets: []Target{entry("a", "10.0.0.1:80"), entry("b", "10.0.0.2:80")}})
	first.AcceptTable(0, Table{Revision: 2, Targets: []Target{entry("b", "10.0.0.2:80")}})
	const start = LapseGrace - 100*time.Millisecond
	second := New()
	second.AcceptTable(start, first.TableToSend(start))
	c.Check(ids(second.Table()), qt.DeepEquals, []string{"b", "a lapsed"})
	third := New()
	third.AcceptTable(start+50*time.Millisecond, second.TableToSend(start+50*time.Millisecond))
	for _, r := range []*Registry{first, second, third} {
		r.Tick(LapseGrace)
		c.Check(ids(r.Table()), qt.DeepEquals, []string{"b"})
	}
}

// Guards against a lapsed target that keeps its address after another target took it.
func TestReusedAddress(t *testing.T) {
	c := qt.New(t)
	r := New()
	r.AcceptTable(0, Table{Revision: 1, Targets: []Target{entry("a", "10.0.0.1:80")}})
	r.AcceptTable(0, Table{Revision: 2, Targets: []Target{entry("b", "10.0.0.1:80")}})
	c.Check(ids(r.Table()), qt.DeepEquals, []string{"b"})
}

// Guards against lost or misordered changes of a watch.
func TestApply(t *testing.T) {
	c := qt.New(t)
	a, b := entry("a", "10.0.0.1:80"), entry("b", "10.0.0.2:80")
	drained := a
	drained.Draining = true
	table := Table{Revision: 1, Targets: []Target{a}}
	table = table.Apply([]Change{{ID: "b", Target: &b}, {ID: "a", Target: &drained}}, 5)
	c.Check(table.Revision, qt.Equals, uint64(5))
	c.Check(slices.Equal(table.Targets, []Target{drained, b}), qt.IsTrue)
	table = table.Apply([]Change{{ID: "a"}, {ID: "b"}, {ID: "b", Target: &b}}, 4)
	c.Check(table.Revision, qt.Equals, uint64(5))
	c.Check(slices.Equal(table.Targets, []Target{b}), qt.IsTrue)
}

// Guards against changes that are missing from the log.
func TestDifference(t *testing.T) {
	c := qt.New(t)
	a, b, d := entry("a", "10.0.0.1:80"), entry("b", "10.0.0.2:80"), entry("d", "10.0.0.4:80")
	drained, restarted := a, b
	drained.Draining = true
	restarted.Born = 9
	got := Difference(Table{Targets: []Target{a, b, d}}, Table{Targets: []Target{drained, restarted, entry("e", "10.0.0.5:80")}})
	c.Check(got, qt.DeepEquals, []TargetChange{{"a", Draining}, {"b", Replaced}, {"e", Added}, {"d", Removed}})
}

// Guards against shares of a route that do not follow their weights.
func TestRouteShares(t *testing.T) {
	c := qt.New(t)
	r := Route{Shares: []Share{{"web", 90}, {"trial", 10}, {"none", 0}}}
	counts := map[string]int{}
	for i := range uint64(100_000) {
		counts[r.Service(i<<17)]++
	}
	c.Check(counts, qt.DeepEquals, map[string]int{"web": 90_000, "trial": 10_000})
	c.Check((&Route{}).Service(1), qt.Equals, "")
}

// Guards against a lapsed target that is dropped because an entry of another service names its
// address, and against one that a restored store hides in this way.
func TestEntryOfAnotherServiceIsNoSuccessor(t *testing.T) {
	c := qt.New(t)
	live, foreign := born("a", "10.0.0.1:80", 5), born("exporter", "10.0.0.1:80", 9)
	foreign.Service = "exporter"
	r := New()
	r.AcceptTable(0, Table{Epoch: 1, Revision: 1, Targets: []Target{live, foreign}})
	r.AcceptTable(0, Table{Epoch: 1, Revision: 2, Targets: []Target{foreign}})
	c.Check(ids(r.Table()), qt.DeepEquals, []string{"exporter", "a lapsed"})
	r.AcceptTable(time.Second, Table{Epoch: 1, Revision: 3, Targets: []Target{live, foreign}})
	r.AcceptTable(time.Second, Table{Epoch: 2, Revision: 1, Targets: []Target{live, foreign}})
	c.Check(ids(r.Table()), qt.DeepEquals, []string{"a", "exporter"})
}
