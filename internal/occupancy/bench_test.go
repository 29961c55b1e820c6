package occupancy

import (
	"fmt"
	"testing"
	"time"

	"github.com/peridotstall/peridotstall/internal/segment"
	"github.com/peridotstall/peridotstall/internal/waitline"
)

// BenchmarkAdmit measures the decision on an opening at a busy target, with idle flows in the
// tracker. One op is one opening of a new flow.
func BenchmarkAdmit(b *testing.B) {
	for _, flows := range []int{10, 1000, 100_000} {
		b.Run(fmt.Sprintf("flows=%d", flows), func(b *testing.B) {
			tracker := New("web")
			tracker.SetSlots(2)
			now := time.Second
			record := func(i int) segment.Head {
				head := benchOpening(i)
				tracker.Delivered(now, head, segment.Mark{}, 0, nil)
				tracker.Answered(now, segment.Head{Source: head.Destination, Destination: head.Source, Opening: true, Accepted: true}, Succeeded)
				return head
			}
			for i := range flows {
				head := record(i)
				tracker.Answered(now, segment.Head{Source: head.Destination, Destination: head.Source, Ended: true}, Succeeded)
				if i == flows/2 {
					// The flows fill two generations.
					now += flowTTL
					tracker.Tick(now)
				}
			}
			// Requests in both slots and three in the queue.
			for i := range 5 {
				head := record(flows + i)
				head.Opening, head.DataLength = false, 100
				tracker.Delivered(now, head, segment.Mark{}, 0, []byte("r"))
			}
			tracker.work.service = 10 * time.Millisecond
			mark := segment.Mark{Tag: segment.TagOf("web"), Budget: 200 * time.Millisecond, Priority: 2}
			first := flows + 5
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				tracker.Admit(now, benchOpening(first+i&0xffff), mark)
			}
			if got := tracker.flows.Len(); got != first {
				b.Fatalf("%d flows recorded, want %d", got, first)
			}
		})
	}
}

func benchOpening(i int) segment.Head {
	return segment.Head{
		Source:      segment.Endpoint{IP: [4]byte{100, byte(i >> 24), byte(i >> 16), byte(i >> 8)}, Port: uint16(1024 + i&0xff)},
		Destination: segment.Endpoint{IP: [4]byte{198, 18, 0, 1}, Port: 443}, Opening: true,
	}
}

// BenchmarkAdmitWaiting measures the decision on an opening that joins the line of a busy
// target, and its end. One op is one opening.
func BenchmarkAdmitWaiting(b *testing.B) {
	const now = 10 * time.Second
	for _, waiting := range []int{10, 1000, waitline.MaxOpenings - 1} {
		b.Run(fmt.Sprintf("waiting=%d", waiting), func(b *testing.B) {
			tracker := busyTracker(5)
			mark := lateMark(time.Minute, true)
			for i := range waiting {
				if !tracker.Wait(now, benchOpening(i), mark, 0, nil) {
					b.Fatal("no room")
				}
			}
			joins := benchOpening(waiting)
			b.ReportAllocs()
			for b.Loop() {
				if tracker.Admit(now, joins, mark) != Waits || !tracker.Wait(now, joins, mark, 0, nil) {
					b.Fatal("the opening does not wait")
				}
				tracker.Withdraw(joins.FromCaller(), 0)
				tracker.demand = rate{}
			}
		})
	}
}
