package platform_test

import (
	"fmt"
	"runtime"
	"testing"

	"google.golang.org/protobuf/encoding/protojson"
	"google.golang.org/protobuf/proto"

	"github.com/peridotstall/peridotstall/internal/config"
	"github.com/peridotstall/peridotstall/internal/hostlist"
	"github.com/peridotstall/peridotstall/internal/schema"
)

// BenchmarkHostListBytes reports the bytes per host of the published (JSON) and of
// the encoded host list, and the heap bytes per host of its compact form.
func BenchmarkHostListBytes(b *testing.B) {
	for _, hosts := range []int{5_700, 19_000, 57_000} {
		b.Run(fmt.Sprint(hosts), func(b *testing.B) {
			list := &schema.HostList{Version: 7_000_000}
			for i := range hosts {
				list.Hosts = append(list.Hosts, &schema.Host{
					Name: fmt.Sprintf("host-%05d", i), Zone: fmt.Sprintf("zone-%02d", i%15),
					Address: fmt.Sprintf("10.%d.%d.%d:7000", i>>16, i>>8&255, i&255),
					State:   schema.HostState_LIVE, Role: schema.Role_AGENT,
				})
			}
			text, err := protojson.Marshal(list)
			if err != nil {
				b.Fatal(err)
			}
			before := heapAlloc()
			set, err := hostlist.New(list)
			if err != nil {
				b.Fatal(err)
			}
			n := float64(hosts)
			b.ReportMetric((heapAlloc()-before)/n, "heap-B/host")
			b.ReportMetric(float64(len(text))/n, "json-B/host")
			b.ReportMetric(float64(proto.Size(list))/n, "encoded-B/host")
			b.ReportMetric(0, "ns/op")
			runtime.KeepAlive(set)
			runtime.KeepAlive(list)
		})
	}
}

// BenchmarkPartBytes reports the number of published parts, their bytes per
// target, and the bytes of the index.
func BenchmarkPartBytes(b *testing.B) {
	for _, targets := range []int{5_100, 17_000, 51_000} {
		b.Run(fmt.Sprint(targets), func(b *testing.B) {
			c := &schema.Config{Revision: 7_000_000, HashKey: make([]byte, 16)}
			for i := range targets {
				c.Targets = append(c.Targets, &schema.Target{
					Id: uint32(i + 1), Host: fmt.Sprintf("host-%05d", i), Zone: fmt.Sprintf("zone-%02d", i%15), Member: "museum",
					AgentAddress: fmt.Sprintf("10.%d.%d.%d:7000", i>>16, i>>8&255, i&255),
					Labels:       map[string]string{"service": fmt.Sprintf("s%d", i%3300), "tier": "web"},
					Slots:        4, Connections: 2000, Capacity: 100,
				})
			}
			index, parts, err := config.Split(c, config.MaxValueSize)
			if err != nil {
				b.Fatal(err)
			}
			total := 0
			for _, p := range parts {
				text, _ := protojson.Marshal(p)
				total += len(text)
			}
			text, _ := protojson.Marshal(index)
			b.ReportMetric(float64(total)/float64(targets), "json-B/target")
			b.ReportMetric(float64(len(parts)), "parts")
			b.ReportMetric(float64(len(text)), "index-B")
			b.ReportMetric(0, "ns/op")
		})
	}
}

func heapAlloc() float64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc)
}
