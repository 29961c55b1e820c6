package config

import (
	"fmt"
	"os"
	"runtime"
	"syscall"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/peridotstall/peridotstall/internal/schema"
)

// BenchmarkSupersededMemory reports the memory of each superseded configuration
// kept within the window, the memory of the configuration in force, and the live
// heap and resident memory after changes of one target.
func BenchmarkSupersededMemory(b *testing.B) {
	for _, targets := range []int{5_100, 17_000, 51_000} {
		b.Run(fmt.Sprint(targets), func(b *testing.B) {
			before := liveHeap()
			c := largeConfig()
			c.Targets = c.Targets[:targets]
			c.Services = c.Services[:targets*3300/51_000]
			data, _ := proto.Marshal(c)
			size := len(data)
			c = &schema.Config{}
			if err := proto.Unmarshal(data, c); err != nil {
				b.Fatal(err)
			}
			data = nil
			s := NewStore(time.Minute)
			begin := cpuTime()
			if _, err := s.Offer(start, c); err != nil {
				b.Fatal(err)
			}
			b.ReportMetric(float64(cpuTime()-begin)/1e6, "accept-ms")
			c = nil
			one := liveHeap()
			now := start
			var spent time.Duration
			change := func(count int) {
				for range count {
					current := s.Current()
					target := proto.Clone(current.Config().GetTargets()[100]).(*schema.Target)
					target.Capacity = target.Capacity%100 + 1
					next, _ := applyUnverified(current, &schema.ConfigDelta{FromRevision: current.Revision(), ToRevision: current.Revision() + 1, Targets: []*schema.Target{target}})
					delta := Diff(current, next)
					now = now.Add(4500 * time.Millisecond)
					begin := time.Now()
					if _, err := s.OfferDelta(now, delta); err != nil {
						b.Fatal(err)
					}
					spent += time.Since(begin)
				}
			}
			change(60)
			held := len(s.Previous(now))
			live := liveHeap()
			change(60)
			b.ReportMetric(residentMemory()/1e6, "resident-MB")
			b.ReportMetric(float64(spent.Microseconds())/120, "us/change")
			b.ReportMetric(gcCPUMillis(), "collection-ms")
			b.ReportMetric((one-before)/float64(targets), "config-B/target")
			b.ReportMetric((live-one)/float64(held)/float64(targets), "held-B/target")
			b.ReportMetric(float64(held), "held")
			b.ReportMetric(float64(size)/float64(targets), "encoded-B/target")
			b.ReportMetric(live/1e6, "live-MB")
			b.ReportMetric(0, "ns/op")
			runtime.KeepAlive(s)
		})
	}
}

func liveHeap() float64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc)
}

// gcCPUMillis returns the processor time of one garbage collection in
// milliseconds, as the mean of ten.
func gcCPUMillis() float64 {
	begin := cpuTime()
	for range 10 {
		runtime.GC()
	}
	return float64(cpuTime()-begin) / 10 / 1e6
}

// cpuTime returns the user and system processor time of the process.
func cpuTime() time.Duration {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		panic(err)
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// residentMemory returns the resident memory of the process in bytes.
func residentMemory() float64 {
	data, err := os.ReadFile("/proc/self/statm")
	if err != nil {
		panic(err)
	}
	var size, pages float64
	if _, err := fmt.Sscan(string(data), &size, &pages); err != nil {
		panic(err)
	}
	return pages * float64(os.Getpagesize())
}
