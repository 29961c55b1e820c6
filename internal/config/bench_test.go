package config

import (
	"fmt"
	"runtime"
	"slices"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/peridotstall/peridotstall/internal/schema"
)

// largeConfig returns a configuration of the design size: 3,300 service addresses
// and 51,000 targets.
func largeConfig() *schema.Config {
	c := &schema.Config{Revision: 1, HashKey: make([]byte, HashKeySize), Members: []*schema.Member{{Name: "shop", Weight: 1}}}
	for i := range uint32(3300) {
		c.Services = append(c.Services, testService(i+1, fmt.Sprintf("s%d", i)))
	}
	for i := range uint32(51_000) {
		c.Targets = append(c.Targets, testTarget(i+1, fmt.Sprintf("s%d", i%3300)))
	}
	for i := range uint32(100) {
		c.Policies = append(c.Policies, testPolicy(fmt.Sprintf("p%d", i), i, labelIn("tier", fmt.Sprintf("s%d", i))))
	}
	return c
}

func BenchmarkSnapshotTargetSize(b *testing.B) {
	c := largeConfig()
	for b.Loop() {
		if _, err := NewSnapshot(c); err != nil {
			b.Fatal(err)
		}
	}
}

func BenchmarkDeltaTargetSize(b *testing.B) {
	s := NewStore(testWindow)
	if _, err := s.Offer(start, largeConfig()); err != nil {
		b.Fatal(err)
	}
	now := start
	for b.Loop() {
		b.StopTimer()
		current := s.Current()
		target := proto.Clone(current.Config().GetTargets()[100]).(*schema.Target)
		target.Capacity = target.Capacity%100 + 1
		next, _ := applyUnverified(current, &schema.ConfigDelta{FromRevision: current.Revision(), ToRevision: current.Revision() + 1, Targets: []*schema.Target{target}})
		d := Diff(current, next)
		now = now.Add(4500 * time.Millisecond)
		b.StartTimer()
		if _, err := s.OfferDelta(now, d); err != nil {
			b.Fatal(err)
		}
	}
}

// BenchmarkReaderTargetSize measures the work of a reader of the configuration
// service for a change of one target.
func BenchmarkReaderTargetSize(b *testing.B) {
	c := largeConfig()
	s := NewStore(testWindow)
	var cache PartCache
	next := func() (*schema.Index, []*schema.Part) {
		c.Revision++
		c.Targets[100] = proto.Clone(c.Targets[100]).(*schema.Target)
		c.Targets[100].Capacity = uint32(c.Revision%100 + 1)
		index, parts, err := Split(c, MaxValueSize)
		if err != nil {
			b.Fatal(err)
		}
		missing := cache.Missing(index)
		return index, slices.DeleteFunc(parts, func(p *schema.Part) bool { return !slices.Contains(missing, p.GetName()) })
	}
	index, parts := next()
	assembleAndOffer(b, s, &cache, index, parts)
	for b.Loop() {
		b.StopTimer()
		index, parts = next()
		b.StartTimer()
		assembleAndOffer(b, s, &cache, index, parts)
	}
}

func assembleAndOffer(b *testing.B, s *Store, cache *PartCache, index *schema.Index, parts []*schema.Part) {
	full, err := cache.Assemble(index, parts)
	if err != nil {
		b.Fatal(err)
	}
	if _, err := s.Offer(start, full); err != nil {
		b.Fatal(err)
	}
}

// applyUnverified applies a delta without checking the digest of the result.
func applyUnverified(base *Snapshot, d *schema.ConfigDelta) (*Snapshot, error) {
	b := newBuilder(base)
	b.fromDelta(d)
	return b.finish()
}

func BenchmarkMemoryTargetSize(b *testing.B) {
	for b.Loop() {
		var before, after runtime.MemStats
		runtime.GC()
		runtime.ReadMemStats(&before)
		data, _ := proto.Marshal(largeConfig())
		c := &schema.Config{}
		if err := proto.Unmarshal(data, c); err != nil {
			b.Fatal(err)
		}
		data = nil
		runtime.GC()
		runtime.ReadMemStats(&after)
		b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/1e6, "config-MB")
		s, err := NewSnapshot(c)
		if err != nil {
			b.Fatal(err)
		}
		runtime.GC()
		runtime.ReadMemStats(&after)
		b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/1e6, "total-MB")
		runtime.KeepAlive(s)
	}
}
