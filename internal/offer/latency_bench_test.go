package offer_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	benchSeed      = 7
	benchCalls     = 20_000
	zoneCount      = 4
	clientDelay    = time.Millisecond
	interZoneDelay = 1500 * time.Microsecond
)

// balancerDelay returns the one-way delay of a packet through a balancer in a
// random zone.
func balancerDelay(sim *simulation, target uint32) time.Duration {
	if sim.rng.IntN(zoneCount) == int(target)%zoneCount {
		return clientDelay
	}
	return clientDelay + interZoneDelay
}

// exponentialService returns an exponentially distributed service time with a mean
// of 4 ms.
func exponentialService(sim *simulation) time.Duration {
	return time.Duration(sim.rng.ExpFloat64() * float64(4*time.Millisecond))
}

// BenchmarkHandshake measures request latency in virtual time, with the handshake
// and with openings that are answered without crossing the link. Seven targets
// with three slots each run at half of their capacity.
func BenchmarkHandshake(b *testing.B) {
	for _, loss := range []float64{0, 0.001, 0.01} {
		for _, mode := range []injectedFault{noFault, instantOpenings} {
			b.Run(fmt.Sprintf("loss=%g%%/handshake=%t", 100*loss, mode == noFault), func(b *testing.B) {
				for range b.N {
					reportLatency(b, newSimulation(scenario{
						seed:   benchSeed,
						agents: 7, slots: 3, room: 100,
						calls: benchCalls, maxBody: 1000, answerWords: 100,
						loss: loss, delay: balancerDelay, service: exponentialService,
						interval: 380 * time.Microsecond, deadline: 10 * time.Second,
						fault: mode,
					}).run())
				}
			})
		}
	}
}

func reportLatency(b *testing.B, sim *simulation) {
	histogram := hdrhistogram.New(1, (time.Minute).Microseconds(), 3)
	for _, c := range sim.calls {
		if c.result.Response == nil {
			b.Fatalf("request failed: %v", c.result.Err)
		}
		if err := histogram.RecordValue(c.ended.Sub(c.started).Microseconds()); err != nil {
			b.Fatal(err)
		}
	}
	b.ReportMetric(float64(histogram.ValueAtPercentile(50))/1000, "p50-ms")
	b.ReportMetric(float64(histogram.ValueAtPercentile(99))/1000, "p99-ms")
	b.ReportMetric(0, "ns/op") // hides wall time, which is unrelated to the protocol
}
