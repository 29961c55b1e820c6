package flow

import (
	"fmt"
	"runtime"
	"testing"

	"google.golang.org/protobuf/proto"

	"github.com/peridotstall/peridotstall/internal/schema"
)

// Values at the design size of a fleet. Their size matters since protobuf
// varints carry 7 bits per byte.
const (
	largeTarget   = 51_000
	largeService  = 3_300
	largeRevision = 7_000_000
	largeSequence = 1_000_000
	largeHash     = 1<<63 + 1
)

func reportBytes(b *testing.B, f *schema.Frame) {
	f.Revision = largeRevision
	b.ReportMetric(float64(proto.Size(f)), "bytes")
	b.ReportMetric(0, "ns/op")
}

// BenchmarkFrameBytes reports the sizes of frames between agents, without the IP
// and UDP headers.
func BenchmarkFrameBytes(b *testing.B) {
	for _, hashes := range []int{1, 35, 70, maxRegisterHashes} {
		b.Run(fmt.Sprintf("register/%d", hashes), func(b *testing.B) {
			r := &schema.Register{Owner: largeTarget, Service: largeService, FlowHashes: make([]uint64, hashes)}
			reportBytes(b, &schema.Frame{Body: &schema.Frame_Register{Register: r}})
		})
	}
	b.Run("ask", func(b *testing.B) {
		a := &schema.Ask{Sequence: largeSequence, FlowHash: largeHash, Asker: largeTarget, Service: largeService}
		reportBytes(b, &schema.Frame{Body: &schema.Frame_Ask{Ask: a}})
	})
	for _, also := range []int{0, 4, 8, 16} {
		b.Run(fmt.Sprintf("reply/%d", also), func(b *testing.B) {
			r := &schema.AskReply{Sequence: largeSequence, FlowHash: largeHash, Owned: true, Owner: largeTarget, From: largeTarget}
			for range also {
				r.Also = append(r.Also, largeTarget)
			}
			reportBytes(b, &schema.Frame{Body: &schema.Frame_AskReply{AskReply: r}})
		})
	}
}

// BenchmarkRegisterAll reports the time to register all flows, with none and
// with all of them displaced, and the memory of a directory entry.
func BenchmarkRegisterAll(b *testing.B) {
	for _, flows := range []int{500, 1_000, 1_900, 4_000} {
		for _, position := range []int{0, 1} {
			b.Run(fmt.Sprintf("displaced=%d/%d", position, flows), func(b *testing.B) {
				core := newTestCore(flows, schema.TimeoutAction_OPEN_ON_TIMEOUT)
				for i := 0; core.Stats().Flows < flows; i++ {
					key := testKey(i)
					hash := testTable().Hash(key)
					if testTable().Candidates(1, hash, nil)[position] == 1 {
						core.open(settled, hash, []Packet{{Key: key}})
					}
				}
				b.ResetTimer()
				for b.Loop() {
					core.registerAll(settled)
				}
			})
		}
	}
	for _, entries := range []int{4_000, 16_000, 64_000} {
		b.Run(fmt.Sprintf("entries/%d", entries), func(b *testing.B) {
			before := liveHeap()
			d := newDirectory(DefaultLimits())
			for i := range entries {
				d.register(settled, uint64(i)*0x9e3779b97f4a7c15, 1)
			}
			b.ReportMetric((liveHeap()-before)/float64(entries), "heap-B/entry")
			b.ReportMetric(0, "ns/op")
			runtime.KeepAlive(d)
		})
	}
}

func liveHeap() float64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc)
}
