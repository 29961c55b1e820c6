package balancer

import (
	"fmt"
	"net"
	"net/netip"
	"runtime"
	"slices"
	"syscall"
	"testing"
	"time"

	"github.com/peridotstall/peridotstall/internal/config"
	"github.com/peridotstall/peridotstall/internal/schema"
	"github.com/peridotstall/peridotstall/internal/telemetry"
)

// processorTime returns the user and system time of the process.
func processorTime() time.Duration {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		panic(err)
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// transfer sends bursts to an address and returns the processor time in
// nanoseconds that the process spends per packet.
func transfer(b *testing.B, sender, sink *net.UDPConn, to netip.AddrPort, size int) float64 {
	payload := make([]byte, size)
	buf := make([]byte, 2048)
	begin := processorTime()
	for range 200 {
		for range burst {
			if _, err := sender.WriteToUDPAddrPort(payload, to); err != nil {
				b.Fatal(err)
			}
		}
		for range burst {
			if _, _, err := sink.ReadFromUDPAddrPort(buf); err != nil {
				b.Fatal(err)
			}
		}
	}
	return float64(processorTime()-begin) / (200 * burst)
}

// BenchmarkPacketProcessorTime reports the processor time that a balancer adds to
// a packet: the median difference between the paths with and without the balancer,
// from alternating samples.
func BenchmarkPacketProcessorTime(b *testing.B) {
	for _, size := range []int{100, 400, 1200} {
		b.Run(fmt.Sprint(size), func(b *testing.B) {
			sink, err := net.ListenUDP("udp", &net.UDPAddr{IP: net.IPv4zero})
			if err != nil {
				b.Fatal(err)
			}
			defer sink.Close()
			port := uint16(sink.LocalAddr().(*net.UDPAddr).Port)
			loopback := netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 0, 1}), port)
			balancerAddr := startBalancer(b, 15, loopback)
			sender := listenUDP(b)
			var added []float64
			for range samples {
				direct := transfer(b, sender, sink, loopback, size)
				added = append(added, transfer(b, sender, sink, balancerAddr, size)-direct)
			}
			slices.Sort(added)
			b.ReportMetric(added[samples/2], "processor-ns/packet")
			b.ReportMetric(0, "ns/op")
		})
	}
}

// BenchmarkListeners reports the memory of a balancer per service address.
func BenchmarkListeners(b *testing.B) {
	for _, count := range []int{250, 1000, 3300} {
		b.Run(fmt.Sprint(count), func(b *testing.B) {
			c := &schema.Config{Revision: 1, HashKey: make([]byte, 16), Members: []*schema.Member{{Name: "m", Weight: 1}}}
			settings := &schema.BalancerSettings{Common: &schema.CommonSettings{Host: "b", Zone: "z", ControlAddress: "127.0.0.1:0"}}
			for i := range count {
				address := fmt.Sprintf("192.0.2.1:%d", 7000+i)
				c.Services = append(c.Services, &schema.Service{
					Id: uint32(i + 1), Name: fmt.Sprint("s", i), Member: "m", Mode: schema.Mode_DATAGRAM, Address: address,
					Targets: &schema.Selector{Requirements: []*schema.Requirement{{Key: "pool", Operator: schema.Requirement_EXISTS}}},
				})
				settings.Listeners = append(settings.Listeners, &schema.Listener{Service: address, Bind: "127.0.0.1:0"})
			}
			s, err := config.NewSnapshot(c)
			if err != nil {
				b.Fatal(err)
			}
			balancer, err := New(Options{Settings: settings, Logger: telemetry.Discard(), Metrics: telemetry.NewMetrics(schema.Role_BALANCER, "b")})
			if err != nil {
				b.Fatal(err)
			}
			defer balancer.Close()
			heap, stacks := memory()
			goroutines := runtime.NumGoroutine()
			balancer.SetConfig(s)
			heapAfter, stacksAfter := memory()
			n := float64(count)
			b.ReportMetric((heapAfter-heap)/n, "heap-B/address")
			b.ReportMetric((stacksAfter-stacks)/n, "stack-B/address")
			b.ReportMetric(float64(runtime.NumGoroutine()-goroutines)/n, "goroutines/address")
			b.ReportMetric(0, "ns/op")
		})
	}
}

func memory() (heap, stacks float64) {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc), float64(m.StackInuse)
}
