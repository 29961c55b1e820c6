package route

import (
	"fmt"
	"runtime"
	"testing"

	"github.com/peridotstall/peridotstall/internal/config"
	"github.com/peridotstall/peridotstall/internal/schema"
)

// targetsPerService is the mean at the design size of a fleet: 51,000 targets
// behind 3,300 service addresses.
const targetsPerService = 15

func sizedConfig(targets int) *schema.Config {
	c := &schema.Config{
		Revision: 1,
		HashKey:  []byte("0123456789abcdef"),
		Members:  []*schema.Member{{Name: "m", Weight: 1}},
	}
	for i := range targets {
		service := i / targetsPerService
		pool := fmt.Sprintf("p%d", service)
		if i%targetsPerService == 0 {
			c.Services = append(c.Services, &schema.Service{
				Id: uint32(service + 1), Name: pool, Member: "m", Mode: schema.Mode_DATAGRAM,
				Address: fmt.Sprintf("10.%d.%d.%d:80", service>>16, service>>8&255, service&255),
				Targets: &schema.Selector{Requirements: []*schema.Requirement{{
					Key: "pool", Operator: schema.Requirement_IN, Values: []string{pool},
				}}},
			})
		}
		c.Targets = append(c.Targets, &schema.Target{
			Id: uint32(i + 1), Host: fmt.Sprintf("h%d", i), Zone: "z", Member: "m",
			AgentAddress: fmt.Sprintf("11.%d.%d.%d:7000", i>>16, i>>8&255, i&255),
			Labels:       map[string]string{"pool": pool},
			Slots:        4, Connections: 2000, Capacity: 100,
		})
	}
	return c
}

func heapBytes() uint64 {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return stats.HeapAlloc
}

var sink any

// BenchmarkMemory reports the memory of an accepted configuration and of the
// table of a balancer, in bytes per target.
func BenchmarkMemory(b *testing.B) {
	for _, targets := range []int{5_100, 17_000, 51_000} {
		b.Run(fmt.Sprint(targets), func(b *testing.B) {
			begin := heapBytes()
			s, err := config.NewSnapshot(sizedConfig(targets))
			if err != nil {
				b.Fatal(err)
			}
			sink = s
			snapshot := heapBytes()
			table := New(s, func(string) bool { return true }, Candidates)
			sink = table
			end := heapBytes()
			b.ReportMetric(float64(snapshot-begin)/float64(targets), "config-B/target")
			b.ReportMetric(float64(end-snapshot)/float64(targets), "table-B/target")
			b.ReportMetric(0, "ns/op")
			runtime.KeepAlive(table)
			sink = nil
		})
	}
}
