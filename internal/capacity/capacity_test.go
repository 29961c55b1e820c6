package capacity

import (
	"math"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	_ "github.com/peridotstall/peridotstall/internal/testseed"
)

// Guards against figures that are negative or not finite, and against memory that
// decreases when the size doubles, which would hide an exceeded budget.
func TestFiguresGrowWithTheSize(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := TargetSize()
		for _, f := range s.fields() {
			*f.value = rapid.IntRange(f.min, f.max/2).Draw(t, f.key)
		}
		s.Zones = min(s.Zones, s.Nodes)
		s.Regions = min(s.Regions, s.Zones)
		small := Compute(s)
		for _, v := range []*int{&s.Targets, &s.Services, &s.OpenFlows, &s.NewFlowsPerSecond, &s.ChangesPerDay} {
			*v *= 2
		}
		large := Compute(s)
		for _, l := range small.Lines {
			for _, v := range []float64{l.Messages, l.Bytes, l.Processor, l.Memory, l.Reads} {
				if math.IsNaN(v) || math.IsInf(v, 0) || v < 0 {
					t.Fatalf("%s, %s: %v", l.Role, l.Item, v)
				}
			}
		}
		for i, sum := range small.Sums {
			if sum.Memory > large.Sums[i].Memory || sum.Resident < sum.Memory {
				t.Fatalf("%s: memory %v, resident %v, at twice the size %v", sum.Name, sum.Memory, sum.Resident, large.Sums[i].Memory)
			}
		}
	})
}

// Guards against an exceeded budget or a limit of a line that is missing from the
// list of limits.
func TestEveryLimitIsListed(t *testing.T) {
	c := qt.New(t)
	r := Compute(TargetSize())
	list := r.limitList()
	want := 0
	for _, l := range r.Lines {
		if l.Limit != "" {
			want++
			c.Check(strings.Contains(list, l.Limit), qt.IsTrue, qt.Commentf("%s", l.Item))
		}
		if l.Basis == NotBuilt {
			c.Check(l.Limit, qt.Not(qt.Equals), "", qt.Commentf("%s", l.Item))
		}
	}
	for _, e := range r.Day {
		if e.Limit != "" {
			want++
		}
	}
	for _, s := range r.Sums {
		for _, over := range []bool{s.Bytes > 26e3, s.Processor > 0.022, s.Memory > 64e6, s.Resident > 64e6} {
			if over {
				want++
			}
		}
	}
	c.Check(strings.Count(list, "\n"), qt.Equals, want)
}
