package route

import (
	"fmt"
	"net/netip"
	"slices"
	"testing"

	"google.golang.org/protobuf/proto"
	"pgregory.net/rapid"

	"github.com/peridotstall/peridotstall/internal/config"
	"github.com/peridotstall/peridotstall/internal/placement"
	"github.com/peridotstall/peridotstall/internal/schema"

	_ "github.com/peridotstall/peridotstall/internal/testseed"
)

// Guards against a balancer that continues to use a failed host or omits a
// recovered one because it updates changed hosts only.
func TestIncrementalHostChangesMatchFullUpdate(t *testing.T) {
	const hosts = 60
	s, err := config.NewSnapshot(sizedConfig(hosts))
	if err != nil {
		t.Fatal(err)
	}
	rapid.Check(t, func(t *rapid.T) {
		down := map[string]bool{}
		usable := func(host string) bool { return !down[host] }
		table := New(s, usable, Candidates)
		for range rapid.IntRange(1, 5).Draw(t, "views") {
			var changed []string
			for _, i := range rapid.SliceOfN(rapid.IntRange(0, hosts-1), 0, 20).Draw(t, "changed") {
				host := fmt.Sprintf("h%d", i)
				down[host] = rapid.Bool().Draw(t, "down")
				changed = append(changed, host)
			}
			table = table.WithChangedHosts(changed, usable)
			full := table.WithHosts(usable)
			for id := range uint32(hosts) {
				if table.Usable(id+1) != full.Usable(id+1) {
					t.Fatalf("target %d: usable is %v after incremental changes, %v after a full update", id+1, table.Usable(id+1), full.Usable(id+1))
				}
			}
		}
	})
}

// Guards against a balancer that keeps a stale address, host, capacity or target
// after a change of the configuration because it updates changed targets only.
func TestIncrementalConfigurationMatchesNewTable(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := sizedConfig(60)
		down := map[string]bool{"h3": true, "h20": true, "moved": true}
		usable := func(host string) bool { return !down[host] }
		table := New(snapshot(t, c), usable, Candidates)
		for range rapid.IntRange(1, 4).Draw(t, "revisions") {
			c = proto.Clone(c).(*schema.Config)
			c.Revision++
			mutateTargets(t, c)
			s := snapshot(t, c)
			table = table.WithConfig(s, usable)
			requireSameTables(t, c, table, New(s, usable, Candidates))
		}
	})
}

func snapshot(t *rapid.T, c *schema.Config) *config.Snapshot {
	s, err := config.NewSnapshot(c)
	if err != nil {
		t.Fatal(err)
	}
	return s
}

// mutateTargets removes or edits a few targets.
func mutateTargets(t *rapid.T, c *schema.Config) {
	for range rapid.IntRange(0, 3).Draw(t, "changes") {
		i := rapid.IntRange(0, len(c.Targets)-1).Draw(t, "target")
		switch rapid.IntRange(0, 3).Draw(t, "kind") {
		case 0:
			c.Targets = slices.Delete(c.Targets, i, i+1)
		case 1:
			c.Targets[i].Capacity += 50
		case 2:
			c.Targets[i].AgentAddress = fmt.Sprintf("12.0.%d.%d:7000", c.Revision, i)
		case 3:
			c.Targets[i].Labels["pool"] = fmt.Sprintf("p%d", rapid.IntRange(0, 3).Draw(t, "pool"))
		}
	}
}

func requireSameTables(t *rapid.T, c *schema.Config, got, want *Table) {
	for i := range 200 {
		address := netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(i)}), 5000)
		key := placement.Key{Service: uint32(i%4 + 1), Caller: address}
		a, kind := got.Plain(key)
		b, otherKind := want.Plain(key)
		if a != b || kind != otherKind {
			t.Fatalf("flow %d: agent is %v, in a new table %v", i, a, b)
		}
	}
	for _, target := range c.Targets {
		if got.Usable(target.Id) != want.Usable(target.Id) {
			t.Fatalf("target %d: usable is %v, in a new table %v", target.Id, got.Usable(target.Id), want.Usable(target.Id))
		}
	}
}
