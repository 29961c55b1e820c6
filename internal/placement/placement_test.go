package placement

import (
	"fmt"
	"net/netip"
	"testing"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	_ "github.com/peridotstall/peridotstall/internal/testseed"
)

func key(i int) Key {
	addr := netip.AddrFrom4([4]byte{10, byte(i >> 24), byte(i >> 16), byte(i >> 8)})
	return Key{Service: 1, Caller: netip.AddrPortFrom(addr, uint16(1024+i%50000))}
}

func targets(n int, weight func(i int) uint32) []WeightedTarget {
	var list []WeightedTarget
	for i := range n {
		list = append(list, WeightedTarget{ID: uint32(i + 1), Weight: weight(i)})
	}
	return list
}

func equalWeight(int) uint32 { return 100 }

func table(list []WeightedTarget) *Table {
	return NewTable(1, [16]byte{1, 2, 3}, []ServiceTargets{{Service: 1, Targets: list}})
}

// Guards against targets whose share of the flows is not proportional to their
// weight, below DirectLimit and with a tree of sets above it.
func TestShareOfFlowsIsProportionalToWeight(t *testing.T) {
	for _, n := range []int{7, 15, 100, 1000} {
		t.Run(fmt.Sprint(n), func(t *testing.T) {
			c := qt.New(t)
			list := targets(n, func(i int) uint32 { return uint32(100 * (1 + i%4)) })
			tab := table(list)
			flows := 4000 * n
			counts := map[uint32]int{}
			for i := range flows {
				id, _ := tab.First(1, tab.Hash(key(i*7)))
				counts[id]++
			}
			sum := 0.0
			for _, target := range list {
				sum += float64(target.Weight)
			}
			for _, target := range list {
				share := float64(counts[target.ID]) / float64(flows) * sum / float64(target.Weight)
				c.Check(share > 0.85 && share < 1.15, qt.IsTrue, qt.Commentf("target %d has %.3f of its share", target.ID, share))
			}
		})
	}
}

// Guards against flows that move to another target although their own target was
// not removed.
func TestOnlyFlowsOfRemovedTargetMove(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(2, DirectLimit).Draw(t, "targets")
		removed := rapid.IntRange(0, n-1).Draw(t, "removed")
		all := targets(n, func(i int) uint32 { return uint32(100 + 50*(i%3)) })
		rest := append(append([]WeightedTarget{}, all[:removed]...), all[removed+1:]...)
		before, after := table(all), table(rest)
		for i := range 200 {
			hash := before.Hash(key(i))
			was, _ := before.First(1, hash)
			is, _ := after.First(1, hash)
			if was != all[removed].ID && was != is {
				t.Fatalf("flow %d moved from %d to %d", i, was, is)
			}
		}
	})
}

// Guards against a candidate list that does not begin with the result of First
// or that has a target twice.
func TestCandidatesAgreeWithFirst(t *testing.T) {
	c := qt.New(t)
	for _, n := range []int{1, 3, 32, 33, 1000} {
		tab := table(targets(n, equalWeight))
		for i := range 500 {
			hash := tab.Hash(key(i))
			list := tab.Candidates(1, hash, nil)
			first, ok := tab.First(1, hash)
			c.Assert(ok, qt.IsTrue)
			c.Assert(list[0], qt.Equals, first)
			seen := map[uint32]bool{}
			for _, id := range list {
				c.Assert(seen[id], qt.IsFalse)
				seen[id] = true
			}
		}
	}
	_, ok := table(nil).First(1, 1)
	c.Check(ok, qt.IsFalse)
	c.Check(table(nil).Candidates(2, 1, nil), qt.HasLen, 0)
}

func benchmarkPlace(b *testing.B, n int, place func(*Table, uint64, []uint32)) {
	tab := table(targets(n, func(i int) uint32 { return uint32(100 * (1 + i%4)) }))
	k := key(12345)
	out := make([]uint32, 0, MaxCandidates)
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		k.Service = uint32(i)
		place(tab, tab.Hash(k), out)
	}
}

func BenchmarkFirst(b *testing.B) {
	for _, n := range []int{7, 15, 32, 1000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			benchmarkPlace(b, n, func(t *Table, hash uint64, _ []uint32) { t.First(1, hash) })
		})
	}
}

func BenchmarkCandidates(b *testing.B) {
	for _, n := range []int{7, 15, 32, 1000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			benchmarkPlace(b, n, func(t *Table, hash uint64, out []uint32) { t.Candidates(1, hash, out) })
		})
	}
}

// maxImbalance is the upper bound, at 80% load, of the largest utilization of a
// target divided by the mean utilization. Utilization is relative to capacity.
const maxImbalance = 1.15

// Guards against targets that plain flows overload. Plain flows never move, so
// that placement alone must balance them.
func TestFlowsAreBalancedAtEightyPercentLoad(t *testing.T) {
	const connections = 2000
	for seed := range 20 {
		list := targets(7, func(i int) uint32 { return []uint32{100, 200, 100, 400, 200, 100, 200}[i] })
		tab := NewTable(1, [16]byte{byte(seed), 9}, []ServiceTargets{{Service: 1, Targets: list}})
		total := uint32(0)
		for _, target := range list {
			total += target.Weight
		}
		// A target of weight 100 has 80% of its connections in use.
		flows := connections * 8 / 10 * int(total) / 100
		counts := map[uint32]int{}
		for i := range flows {
			id, _ := tab.First(1, tab.Hash(key(i*131)))
			counts[id]++
		}
		largest := 0.0
		for _, target := range list {
			use := float64(counts[target.ID]) / float64(target.Weight)
			largest = max(largest, use/(float64(flows)/float64(total)))
		}
		t.Logf("hash key %d: %d flows, imbalance %.3f", seed, flows, largest)
		if largest > maxImbalance {
			t.Errorf("hash key %d: imbalance %.3f, bound %.2f", seed, largest, maxImbalance)
		}
	}
}
