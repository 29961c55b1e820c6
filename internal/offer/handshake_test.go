package offer_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	benchSeed  = 7
	benchCalls = 20_000
	zones      = 4
	clientWay  = time.Millisecond
	zoneWay    = 1500 * time.Microsecond
)

// acrossZones is the way of a packet through a balancer in a random zone.
func acrossZones(w *world, target uint32) time.Duration {
	if w.rng.IntN(zones) == int(target)%zones {
		return clientWay
	}
	return clientWay + zoneWay
}

// exponential service times with a mean of 4 ms.
func exponential(w *world) time.Duration {
	return time.Duration(w.rng.ExpFloat64() * float64(4*time.Millisecond))
}

// BenchmarkHandshake measures request latency on the virtual clock, with the
// handshake and with openings that are answered without crossing the link. Seven
// targets with three slots run at half of their capacity.
func BenchmarkHandshake(b *testing.B) {
	for _, loss := range []float64{0, 0.001, 0.01} {
		for _, mode := range []sabotage{none, freeOpenings} {
			b.Run(fmt.Sprintf("loss=%g%%/handshake=%t", 100*loss, mode == none), func(b *testing.B) {
				for range b.N {
					reportLatency(b, newWorld(scenario{
						seed:   benchSeed,
						agents: 7, slots: 3, room: 100,
						calls: benchCalls, maxBody: 1000, answerWords: 100,
						loss: loss, delay: acrossZones, service: exponential,
						interval: 380 * time.Microsecond, deadline: 10 * time.Second,
						sabotage: mode,
					}).run())
				}
			})
		}
	}
}

func reportLatency(b *testing.B, w *world) {
	histogram := hdrhistogram.New(1, (time.Minute).Microseconds(), 3)
	for _, c := range w.calls {
		if c.result.Response == nil {
			b.Fatalf("request failed: %v", c.result.Err)
		}
		if err := histogram.RecordValue(c.ended.Sub(c.started).Microseconds()); err != nil {
			b.Fatal(err)
		}
	}
	b.ReportMetric(float64(histogram.ValueAtPercentile(50))/1000, "p50-ms")
	b.ReportMetric(float64(histogram.ValueAtPercentile(99))/1000, "p99-ms")
	b.ReportMetric(0, "ns/op") // real time says nothing about the protocol
}
