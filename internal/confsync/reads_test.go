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

// quiet is a membership in which nobody is dead.
type quiet struct{}

func (quiet) Dead(hostlist.ID) bool { return false }
func (quiet) EventDigest() uint64   { return 0 }

// serviceRate is what the configuration service permits, in calls a second.
const serviceRate = 2000

// Guards against a fleet of the target size that overloads the configuration
// service when no process hears another one, whether the service answers or fails.
func TestFallbackReadsStayBelowServiceRate(t *testing.T) {
	const size = 57_000
	list := &schema.HostList{Version: 1}
	for i := range size {
		list.Hosts = append(list.Hosts, &schema.Host{Name: fmt.Sprintf("h%d", i), Zone: fmt.Sprint(i % 15), Address: fmt.Sprintf("10.%d.%d.%d:1", i>>16, i>>8&255, i&255)})
	}
	for _, fails := range []bool{false, true} {
		c := qt.New(t)
		now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
		s := New(Settings{Host: "h1"}, config.NewStore(time.Second), quiet{}, rand.New(rand.NewPCG(41, 0)))
		s.Tick(now)
		s.HostsRead(now, list)
		c.Assert(s.readerRank(), qt.Equals, -1)
		s.join.phase = joined
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
		rate := float64(calls) / float64(minutes) / 60 * size
		t.Logf("service fails %v: %.0f calls/s for %d processes", fails, rate, size)
		c.Check(calls > 0, qt.IsTrue)
		c.Check(rate < serviceRate, qt.IsTrue)
	}
}
