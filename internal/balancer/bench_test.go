package balancer

import (
	"context"
	"fmt"
	"net"
	"net/netip"
	"sort"
	"testing"
	"time"

	"github.com/peridotstall/peridotstall/internal/config"
	"github.com/peridotstall/peridotstall/internal/schema"
	"github.com/peridotstall/peridotstall/internal/telemetry"
)

const (
	// burst is the number of datagrams in flight.
	burst = 32
	// rounds is the number of bursts in one sample. Samples of both paths
	// alternate, so that noise of the host affects both.
	rounds  = 500
	samples = 15
)

// startRelay starts a plain UDP relay with the structure of a balancer: one input
// socket, one output socket, one goroutine.
func startRelay(b *testing.B, to netip.AddrPort) netip.AddrPort {
	in := listenUDP(b)
	out := listenUDP(b)
	go func() {
		buf := make([]byte, 2048)
		for {
			n, _, err := in.ReadFromUDPAddrPort(buf)
			if err != nil {
				return
			}
			if _, err := out.WriteToUDPAddrPort(buf[:n], to); err != nil {
				return
			}
		}
	}()
	return in.LocalAddr().(*net.UDPAddr).AddrPort()
}

func listenUDP(b *testing.B) *net.UDPConn {
	conn, err := net.ListenUDP("udp", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		b.Fatal(err)
	}
	b.Cleanup(func() { conn.Close() })
	return conn
}

func startBalancer(b *testing.B, targets int, sink netip.AddrPort) netip.AddrPort {
	c := &schema.Config{
		Revision: 1,
		HashKey:  []byte("0123456789abcdef"),
		Members:  []*schema.Member{{Name: "m", Weight: 1}},
		Services: []*schema.Service{{
			Id: 1, Name: "s", Member: "m", Mode: schema.Mode_DATAGRAM, Address: "192.0.2.1:7000",
			Targets: &schema.Selector{Requirements: []*schema.Requirement{{
				Key: "pool", Operator: schema.Requirement_EXISTS,
			}}},
		}},
	}
	for i := range targets {
		c.Targets = append(c.Targets, &schema.Target{
			Id: uint32(i + 1), Host: fmt.Sprintf("h%d", i), Zone: "z", Member: "m",
			// Each target needs its own address. All addresses reach the sink.
			AgentAddress: netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, byte(i >> 8), byte(i&255) + 1}), sink.Port()).String(),
			Labels:       map[string]string{"pool": "p"},
			Slots:        1, Connections: 1, Capacity: 100,
		})
	}
	s, err := config.NewSnapshot(c)
	if err != nil {
		b.Fatal(err)
	}
	balancer, err := New(Options{
		Settings: &schema.BalancerSettings{
			Common:    &schema.CommonSettings{Host: "b", Zone: "z", ControlAddress: "127.0.0.1:0"},
			Listeners: []*schema.Listener{{Service: "192.0.2.1:7000", Bind: "127.0.0.1:0"}},
		},
		Logger:  telemetry.Discard(),
		Metrics: telemetry.NewMetrics(schema.Role_BALANCER, "b"),
	})
	if err != nil {
		b.Fatal(err)
	}
	balancer.SetConfig(s)
	ctx, cancel := context.WithCancel(context.Background())
	b.Cleanup(cancel)
	go balancer.Run(ctx)
	address, _ := balancer.ListenerAddress(1)
	return address
}

// sample sends bursts to an address and returns the packets per second that arrive
// at the sink.
func sample(b *testing.B, sender, sink *net.UDPConn, to netip.AddrPort) float64 {
	payload := make([]byte, 200)
	buf := make([]byte, 2048)
	begin := time.Now()
	for range rounds {
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
	return rounds * burst / time.Since(begin).Seconds()
}

// BenchmarkForwarding reports the packets per second of a balancer, absolute and
// relative to a plain relay, as medians of alternating samples.
func BenchmarkForwarding(b *testing.B) {
	for _, targets := range []int{7, 15, 1000} {
		b.Run(fmt.Sprintf("targets=%d", targets), func(b *testing.B) {
			sink, err := net.ListenUDP("udp", &net.UDPAddr{IP: net.IPv4zero})
			if err != nil {
				b.Fatal(err)
			}
			defer sink.Close()
			port := uint16(sink.LocalAddr().(*net.UDPAddr).Port)
			loopback := netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 0, 1}), port)
			relayAddr := startRelay(b, loopback)
			balancerAddr := startBalancer(b, targets, loopback)
			sender := listenUDP(b)
			var ratios, absolute []float64
			for range samples {
				plain := sample(b, sender, sink, relayAddr)
				balanced := sample(b, sender, sink, balancerAddr)
				ratios = append(ratios, balanced/plain)
				absolute = append(absolute, balanced)
			}
			sort.Float64s(ratios)
			sort.Float64s(absolute)
			b.ReportMetric(ratios[samples/2], "ratio")
			b.ReportMetric(absolute[samples/2], "packets/s")
			b.ReportMetric(0, "ns/op")
		})
	}
}
