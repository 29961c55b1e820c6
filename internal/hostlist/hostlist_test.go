package hostlist

import (
	"fmt"
	"testing"

	"pgregory.net/rapid"

	"github.com/peridotstall/peridotstall/internal/schema"
	_ "github.com/peridotstall/peridotstall/internal/testseed"
)

func drawSet(t *rapid.T, version uint64) *Set {
	list := &schema.HostList{Version: version}
	for i := range rapid.IntRange(1, 60).Draw(t, "hosts") {
		list.Hosts = append(list.Hosts, &schema.Host{
			Name:    fmt.Sprintf("h%d", i),
			Zone:    fmt.Sprintf("z%d", rapid.IntRange(0, 3).Draw(t, "zone")),
			Address: fmt.Sprintf("10.0.0.%d:7000", i+1),
			State:   schema.HostState(rapid.IntRange(1, 3).Draw(t, "state")),
		})
	}
	set, err := New(list)
	if err != nil {
		t.Fatal(err)
	}
	return set
}

// Guards against a difference whose application does not yield the second list,
// and against a digest that depends on how a list was built.
func TestApplyOfDiffYieldsSecondList(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		from, to := drawSet(t, 1), drawSet(t, 2)
		got, err := from.Apply(Diff(from, to))
		if err != nil || got.Digest() != to.Digest() || got.Len() != to.Len() || got.Version() != 2 {
			t.Fatalf("got %+v, want %+v, error %v", got, to, err)
		}
	})
}

// Guards against a tree that omits a host of the zone or reaches it twice, for
// any stripe and with dead hosts.
func TestTreeReachesEveryHostOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		set := drawSet(t, 1)
		dead := func(id ID) bool { return id%7 == 0 }
		start := set.At(0).ID
		stripe := rapid.IntRange(0, Stripes-1).Draw(t, "stripe")
		got := map[ID]int{}
		var visit func(hosts []*Host)
		visit = func(hosts []*Host) {
			for _, h := range hosts {
				got[h.ID]++
				visit(NewTree(set, h.ID, dead).Children(stripe))
			}
		}
		first := NewTree(set, start, dead)
		visit(first.Roots(stripe))
		if got[start] == 0 {
			visit(first.Children(stripe))
		}
		for _, i := range set.Zone(int(set.At(0).Zone)) {
			h := set.At(int(i))
			// The start is not checked: it may be omitted as a root.
			if h.ID != start && !dead(h.ID) && !dead(start) && got[h.ID] != 1 {
				t.Fatalf("%s is reached %d times", h.Name, got[h.ID])
			}
		}
	})
}
