package offer_test

import (
	"fmt"
	"runtime"
	"testing"

	"github.com/peridotstall/peridotstall/internal/offer"
	"github.com/peridotstall/peridotstall/internal/schema"
)

// BenchmarkRetained reports the heap memory of a retained request with its
// response.
func BenchmarkRetained(b *testing.B) {
	for _, requests := range []int{1000, 2000, 4000} {
		for _, size := range []int{0, 800, 3200} {
			b.Run(fmt.Sprintf("requests=%d/answer=%d", requests, size), func(b *testing.B) {
				m := offer.New(offer.Settings{Target: 3, Incarnation: 99}, newFakeAdmission(1, 10, 2))
				before := liveHeap()
				for i := range requests {
					runRequest(m, uint64(i+1), size)
				}
				if m.Stats().Retained != requests {
					b.Fatalf("%d of %d requests are retained", m.Stats().Retained, requests)
				}
				b.ReportMetric((liveHeap()-before)/float64(requests), "heap-B/request")
				b.ReportMetric(0, "ns/op")
				runtime.KeepAlive(m)
			})
		}
	}
}

// runRequest runs one request until its response is retained.
func runRequest(m *offer.Machine, id uint64, answer int) {
	opened := m.Handle(epoch, testPeer, testService, &schema.CallerPacket{
		RequestId: id, Body: &schema.CallerPacket_Open{Open: &schema.Open{Size: 3, DeadlineMs: 10_000}},
	})
	started := m.Handle(epoch, testPeer, testService, &schema.CallerPacket{
		RequestId: id, Token: sent(opened)[0].Token,
		Body: &schema.CallerPacket_Request{Request: &schema.Fragment{Count: 1, Data: []byte("bid")}},
	})
	m.BackendDone(epoch, starts(started)[0], offer.Response{Status: 200, Body: make([]byte, answer)})
}

func liveHeap() float64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc)
}
