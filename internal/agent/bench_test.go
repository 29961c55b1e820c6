package agent

import (
	"context"
	"fmt"
	"net"
	"net/netip"
	"os"
	"runtime"
	"runtime/debug"
	"slices"
	"syscall"
	"testing"
	"time"

	"github.com/peridotstall/peridotstall/internal/config"
	"github.com/peridotstall/peridotstall/internal/schema"
	"github.com/peridotstall/peridotstall/internal/telemetry"
	"github.com/peridotstall/peridotstall/internal/wire"
)

// burst is the number of datagrams in flight.
const burst = 32

func listenUDP(b *testing.B) *net.UDPConn {
	conn, err := net.ListenUDP("udp", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		b.Fatal(err)
	}
	b.Cleanup(func() { conn.Close() })
	return conn
}

func localAddr(conn *net.UDPConn) netip.AddrPort {
	return conn.LocalAddr().(*net.UDPAddr).AddrPort()
}

// startAgents starts the agents of one service. They share a backend server.
func startAgents(b *testing.B, count int, backend string) []*Agent {
	ctx, cancel := context.WithCancel(context.Background())
	b.Cleanup(cancel)
	c := &schema.Config{
		Revision: 1,
		HashKey:  []byte("0123456789abcdef"),
		Members:  []*schema.Member{{Name: "m", Weight: 1}},
		// With the default action, agents that started together open no flow.
		Policies: []*schema.Policy{{
			Name: "all", Services: &schema.Selector{}, TimeoutAction: schema.TimeoutAction_OPEN_ON_TIMEOUT,
			IdleTimeoutMs: 60000, Classes: []*schema.Class{{Name: "c", Weight: 1, QueueLimit: 64}},
		}},
		Services: []*schema.Service{{
			Id: 1, Name: "s", Member: "m", Mode: schema.Mode_DATAGRAM, Address: "192.0.2.1:7000",
			Targets: &schema.Selector{Requirements: []*schema.Requirement{{Key: "pool", Operator: schema.Requirement_EXISTS}}},
		}},
	}
	var agents []*Agent
	for i := range count {
		host := fmt.Sprintf("h%d", i)
		a, err := New(Options{
			Settings: &schema.AgentSettings{
				Common:     &schema.CommonSettings{Host: host, Zone: "z", ControlAddress: "127.0.0.1:0"},
				Target:     uint32(i + 1),
				BackendUdp: backend,
			},
			Logger:      telemetry.Discard(),
			Metrics:     telemetry.NewMetrics(schema.Role_AGENT, host),
			Seed:        1,
			Incarnation: 1,
		})
		if err != nil {
			b.Fatal(err)
		}
		agents = append(agents, a)
		c.Targets = append(c.Targets, &schema.Target{
			Id: uint32(i + 1), Host: host, Zone: "z", Member: "m", AgentAddress: a.Tunnel().Local().String(),
			Labels: map[string]string{"pool": "p"}, Slots: 4, Connections: 8192, Capacity: 100,
		})
	}
	s, err := config.NewSnapshot(c)
	if err != nil {
		b.Fatal(err)
	}
	for _, a := range agents {
		a.SetConfig(s)
		go a.Run(ctx)
	}
	return agents
}

// firstPacket returns the frame of a balancer for the first packet of flow i.
func firstPacket(i int, size int, returnAddress netip.AddrPort) *schema.Frame {
	caller := netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, byte(i >> 16), byte(i >> 8), byte(i)}), 5000)
	return &schema.Frame{
		Key: wire.FlowKey(1, caller), Revision: 1, ReturnAddress: returnAddress.String(),
		Body: &schema.Frame_Packet{Packet: make([]byte, size)},
	}
}

// processorTime returns the user and system time of the process.
func processorTime() time.Duration {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		panic(err)
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// resident returns the resident memory of the process in bytes.
func resident() float64 {
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

// memory returns the live heap and the stacks in bytes.
func memory() (heap, stacks float64) {
	runtime.GC()
	debug.FreeOSMemory()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc), float64(m.StackInuse)
}

// BenchmarkOpenFlows reports memory, goroutines and processor time per open plain
// flow. Each flow has its own socket.
func BenchmarkOpenFlows(b *testing.B) {
	for _, flows := range []int{500, 1000, 2000, 4000} {
		b.Run(fmt.Sprint(flows), func(b *testing.B) {
			sink := listenUDP(b)
			a := startAgents(b, 1, localAddr(sink).String())[0]
			buf := make([]byte, wire.MaxPacket)
			heap, stacks := memory()
			rss := resident()
			goroutines := runtime.NumGoroutine()
			var samples []float64
			for i := 0; i < flows; {
				begin := processorTime()
				for range 100 {
					a.handleFrame(localAddr(sink), 0, firstPacket(i, 100, localAddr(sink)))
					if _, _, err := sink.ReadFromUDPAddrPort(buf); err != nil {
						b.Fatal(err)
					}
					i++
				}
				samples = append(samples, float64(processorTime()-begin)/100)
			}
			slices.Sort(samples)
			heapAfter, stacksAfter := memory()
			n := float64(flows)
			b.ReportMetric((heapAfter-heap)/n, "heap-B/flow")
			b.ReportMetric((stacksAfter-stacks)/n, "stack-B/flow")
			b.ReportMetric((resident()-rss)/n, "resident-B/flow")
			b.ReportMetric(float64(runtime.NumGoroutine()-goroutines)/n, "goroutines/flow")
			b.ReportMetric(samples[len(samples)/2], "processor-ns/flow")
			b.ReportMetric(0, "ns/op")
		})
	}
}

// transfer sends bursts and returns the processor time in nanoseconds that the
// process spends per packet.
func transfer(b *testing.B, bursts int, send func(), sink *net.UDPConn) float64 {
	buf := make([]byte, wire.MaxFrame)
	begin := processorTime()
	for range bursts {
		for range burst {
			send()
		}
		for range burst {
			if _, _, err := sink.ReadFromUDPAddrPort(buf); err != nil {
				b.Fatal(err)
			}
		}
	}
	return float64(processorTime()-begin) / float64(bursts*burst)
}

// BenchmarkPacketProcessorTime reports the processor time that an agent adds to a
// packet of an open flow: the median difference between the paths with and without
// the agent, from alternating samples.
func BenchmarkPacketProcessorTime(b *testing.B) {
	for _, size := range []int{100, 400, 1200} {
		b.Run(fmt.Sprint(size), func(b *testing.B) {
			sink := listenUDP(b)
			sender := listenUDP(b)
			a := startAgents(b, 1, localAddr(sink).String())[0]
			data, err := wire.AppendFrame(nil, firstPacket(1, size, localAddr(sender)))
			if err != nil {
				b.Fatal(err)
			}
			sendTo := func(to netip.AddrPort) func() {
				return func() { sender.WriteToUDPAddrPort(data, to) }
			}
			var added []float64
			for range 15 {
				direct := transfer(b, 200, sendTo(localAddr(sink)), sink)
				added = append(added, transfer(b, 200, sendTo(a.Tunnel().Local()), sink)-direct)
			}
			slices.Sort(added)
			b.ReportMetric(added[len(added)/2], "processor-ns/packet")
			b.ReportMetric(0, "ns/op")
		})
	}
}

// BenchmarkAnswerProcessorTime reports the processor time that an agent adds to a
// packet from the backend server to the balancer.
func BenchmarkAnswerProcessorTime(b *testing.B) {
	for _, size := range []int{100, 400, 1200} {
		b.Run(fmt.Sprint(size), func(b *testing.B) {
			backend := listenUDP(b)
			balancer := listenUDP(b)
			a := startAgents(b, 1, localAddr(backend).String())[0]
			a.handleFrame(localAddr(balancer), 0, firstPacket(1, size, localAddr(balancer)))
			_, flowAddr, err := backend.ReadFromUDPAddrPort(make([]byte, wire.MaxPacket))
			if err != nil {
				b.Fatal(err)
			}
			data := make([]byte, size)
			var added []float64
			for range 15 {
				direct := transfer(b, 200, func() { backend.WriteToUDPAddrPort(data, localAddr(balancer)) }, balancer)
				added = append(added, transfer(b, 200, func() { backend.WriteToUDPAddrPort(data, flowAddr) }, balancer)-direct)
			}
			slices.Sort(added)
			b.ReportMetric(added[len(added)/2], "processor-ns/packet")
			b.ReportMetric(0, "ns/op")
		})
	}
}

// deliveryTimeout bounds the wait for a packet that the agent should deliver.
const deliveryTimeout = 10 * time.Second

// BenchmarkQueryRound reports the time from the first packet of a flow to its
// delivery while the agent is unsettled and queries the other candidates, and the
// total processor time of all agents. With one target there are no queries.
func BenchmarkQueryRound(b *testing.B) {
	for _, targets := range []int{1, 2, 3, 4} {
		b.Run(fmt.Sprintf("queries=%d", targets-1), func(b *testing.B) {
			sink := listenUDP(b)
			sender := listenUDP(b)
			a := startAgents(b, targets, localAddr(sink).String())[0]
			buf := make([]byte, wire.MaxPacket)
			var waits []time.Duration
			begin := processorTime()
			// The agents are unsettled for 14 s, far longer than this loop takes.
			for i := range 500 {
				data, _ := wire.AppendFrame(nil, firstPacket(i, 100, localAddr(sender)))
				sent := time.Now()
				sender.WriteToUDPAddrPort(data, a.Tunnel().Local())
				if err := sink.SetReadDeadline(sent.Add(deliveryTimeout)); err != nil {
					b.Fatal(err)
				}
				if _, _, err := sink.ReadFromUDPAddrPort(buf); err != nil {
					b.Fatal(err)
				}
				waits = append(waits, time.Since(sent))
			}
			spent := processorTime() - begin
			slices.Sort(waits)
			b.ReportMetric(float64(waits[250].Microseconds()), "p50-us")
			b.ReportMetric(float64(waits[495].Microseconds()), "p99-us")
			b.ReportMetric(float64(spent.Nanoseconds())/500, "processor-ns/flow")
			b.ReportMetric(0, "ns/op")
		})
	}
}

// BenchmarkView reports the time and memory of the view that an agent derives from
// a configuration with 15 targets per service address.
func BenchmarkView(b *testing.B) {
	for _, targets := range []int{5_100, 17_000, 51_000} {
		b.Run(fmt.Sprint(targets), func(b *testing.B) {
			s, err := config.NewSnapshot(configWithTargets(targets))
			if err != nil {
				b.Fatal(err)
			}
			before, _ := memory()
			v := newView(s, nil, 1)
			after, _ := memory()
			for b.Loop() {
				v = newView(s, nil, 1)
			}
			b.ReportMetric((after-before)/float64(targets), "heap-B/target")
			runtime.KeepAlive(v)
			runtime.KeepAlive(s)
		})
	}
}

func configWithTargets(targets int) *schema.Config {
	c := &schema.Config{Revision: 1, HashKey: make([]byte, 16), Members: []*schema.Member{{Name: "m", Weight: 1}}}
	for i := range targets {
		service := i / 15
		pool := fmt.Sprintf("p%d", service)
		if i%15 == 0 {
			c.Services = append(c.Services, &schema.Service{
				Id: uint32(service + 1), Name: pool, Member: "m", Mode: schema.Mode_DATAGRAM,
				Address: fmt.Sprintf("10.%d.%d.%d:80", service>>16, service>>8&255, service&255),
				Targets: &schema.Selector{Requirements: []*schema.Requirement{{
					Key: "pool", Operator: schema.Requirement_IN, Values: []string{pool}}}},
			})
		}
		c.Targets = append(c.Targets, &schema.Target{
			Id: uint32(i + 1), Host: fmt.Sprintf("h%d", i), Zone: "z", Member: "m",
			AgentAddress: fmt.Sprintf("11.%d.%d.%d:7000", i>>16, i>>8&255, i&255),
			Labels:       map[string]string{"pool": pool}, Slots: 4, Connections: 2000, Capacity: 100,
		})
	}
	return c
}
