package confsync

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/peridotstall/peridotstall/internal/config"
	"github.com/peridotstall/peridotstall/internal/hostlist"
	"github.com/peridotstall/peridotstall/internal/schema"
)

// noFailures is a Membership without dead hosts.
type noFailures struct{}

func (noFailures) Dead(hostlist.ID) bool { return false }
func (noFailures) EventDigest() uint64   { return 0 }

// serviceCallRate is the number of calls per second that the configuration
// service permits.
const serviceCallRate = 2000

const targetSize = 57_000

func targetList() *schema.HostList {
	list := &schema.HostList{Version: 1}
	for i := range targetSize {
		list.Hosts = append(list.Hosts, &schema.Host{Name: fmt.Sprintf("h%d", i), Zone: fmt.Sprint(i % 15), Address: fmt.Sprintf("10.%d.%d.%d:1", i>>16, i>>8&255, i&255)})
	}
	return list
}

// Guards against overload of the configuration service by a fleet of the design
// size in which no process receives messages from others, whether the service
// responds or fails.
func TestFallbackReadsStayBelowServiceRate(t *testing.T) {
	list := targetList()
	for _, fails := range []bool{false, true} {
		c := qt.New(t)
		now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
		s := New(Settings{Host: "h1"}, config.NewStore(time.Second), noFailures{}, rand.New(rand.NewPCG(41, 0)))
		s.Tick(now)
		s.HostsRead(now, list)
		c.Assert(s.readerRank(), qt.Equals, -1)
		s.join.phase = joinDone
		calls, minutes := 0, 120
		for range minutes * 600 {
			now = now.Add(100 * time.Millisecond)
			for _, a := range s.Tick(now) {
				r, ok := a.(Read)
				if !ok {
					continue
				}
				calls++
				switch {
				case fails:
					s.ReadFailed(now, r.Kind)
				case r.Kind == ReadHosts:
					s.HostsRead(now, nil)
				default:
					s.IndexRead(now, nil)
				}
			}
		}
		rate := float64(calls) / float64(minutes) / 60 * targetSize
		t.Logf("service fails %v: %.0f calls/s for %d processes", fails, rate, targetSize)
		c.Check(calls > 0, qt.IsTrue)
		c.Check(rate < serviceCallRate, qt.IsTrue)
	}
}

// Guards against a reader that exceeds the byte rate of a process by reading a
// host list of several megabytes that changes every few seconds.
func TestReaderLimitsReadsOfLargeHostList(t *testing.T) {
	c := qt.New(t)
	now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	list := targetList()
	set, err := hostlist.New(list)
	c.Assert(err, qt.IsNil)
	s := New(Settings{Host: set.Readers(0, noFailures{}.Dead)[0].Name}, config.NewStore(time.Second), noFailures{}, rand.New(rand.NewPCG(42, 0)))
	s.Tick(now)
	s.HostsRead(now, list)
	c.Assert(s.readerRank(), qt.Equals, 0)
	s.join.phase = joinDone
	reads, hours := 0, 3
	// 100 reads already are 58 KB/s.
	for range hours * 36_000 {
		if reads == 100 {
			break
		}
		now = now.Add(100 * time.Millisecond)
		for _, a := range s.Tick(now) {
			if r, ok := a.(Read); ok && r.Kind == ReadHosts {
				reads++
				list.Version++
				s.HostsRead(now, list)
			}
		}
	}
	rate := float64(reads*targetSize*110) / float64(hours) / 3600
	t.Logf("%d reads in %d hours, %.0f bytes/s", reads, hours, rate)
	c.Check(reads > 0, qt.IsTrue)
	c.Check(rate < 26<<10, qt.IsTrue)
}
