package steering

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"github.com/peridotstall/peridotstall/internal/registry"
	"github.com/peridotstall/peridotstall/internal/segment"
)

// benchTime is the time of all decisions of the benchmarks.
const benchTime = 2 * time.Second

// newBenchEngine returns an engine with targets of one service in 15 zones.
func newBenchEngine(targets int) *Engine {
	var table registry.Table
	table.Revision = 1
	for i := range targets {
		table.Targets = append(table.Targets, target(i, "web", fmt.Sprintf("z%d", i%15)))
	}
	e := New("z0", 0)
	e.SetView(time.Second, NewView(time.Second, nil, routes(1, "web"), table, agentPort))
	for _, t := range e.View().Targets() {
		t.Report(benchTime, Report{Pending: 2, MeanPending: 2, ServiceTime: 30 * time.Millisecond, Complete: true})
	}
	e.Tick(benchTime, true)
	return e
}

func benchOpening(i int) segment.Head {
	return segment.Head{
		Source:      segment.Endpoint{IP: [4]byte{100, byte(i >> 24), byte(i >> 16), byte(i >> 8)}, Port: uint16(1024 + i&0xff)},
		Destination: shop, Opening: true,
	}
}

// BenchmarkOpening measures the placement of a new flow.
func BenchmarkOpening(b *testing.B) {
	for _, targets := range []int{7, 50, 1000} {
		b.Run(fmt.Sprintf("targets=%d", targets), func(b *testing.B) {
			e := newBenchEngine(targets)
			for i := 0; b.Loop(); i++ {
				e.Segment(benchTime, benchOpening(i&0xffff))
				if i&0xffff == 0xffff {
					e.records.Rotate(time.Duration(i)*time.Hour, 0, nil)
				}
			}
		})
	}
}

// BenchmarkKnownFlow measures the decision on a segment of a recorded flow.
func BenchmarkKnownFlow(b *testing.B) {
	e := newBenchEngine(50)
	head := benchOpening(1)
	e.Segment(benchTime, head)
	head.Opening = false
	for b.Loop() {
		e.Segment(benchTime, head)
	}
}

// BenchmarkMemory measures the bytes per recorded flow and per target.
func BenchmarkMemory(b *testing.B) {
	used := func() uint64 {
		runtime.GC()
		var m runtime.MemStats
		runtime.ReadMemStats(&m)
		return m.HeapAlloc
	}
	const targets, flows = 5_000, 200_000
	before := used()
	e := newBenchEngine(targets)
	perTarget := float64(used()-before) / targets
	t := e.View().Targets()[0]
	before = used()
	for i := range flows {
		e.records.Put(benchOpening(i).FromCaller(), record{target: t, openings: 1})
	}
	b.ReportMetric(float64(used()-before)/flows, "B/flow")
	b.ReportMetric(perTarget, "B/target")
	b.ReportMetric(0, "ns/op")
	runtime.KeepAlive(e)
}
