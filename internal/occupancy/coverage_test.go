package occupancy

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// Guards against negative replies for flows that the target has held since before the
// agent started, and against an agent that never sends any, so that segments of each
// lost flow go to all targets (end of trouble-1 of ssa-subastas-grown: 90,000 returned
// segments per second).
func TestCoverage(t *testing.T) {
	const start = 1_700_000_000_000
	tests := []struct {
		name string
		born int64
		idle time.Duration
		now  time.Duration
		want bool
	}{
		{"nothing received", 0, 0, time.Hour, false},
		{"target is older", start - 60_000, 12 * time.Second, 5 * time.Second, false},
		{"longer than a flow is idle", start - 60_000, 12 * time.Second, 13 * time.Second, true},
		{"target is newer", start + 2_000, 12 * time.Second, 3 * time.Second, true},
		{"both started together", start - 200, 12 * time.Second, 3 * time.Second, true},
		{"another agent may have been there", start - 500, 12 * time.Second, 3 * time.Second, false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			coverage := NewCoverage(time.Second, start)
			coverage.Update(test.born, test.idle)
			qt.New(t).Check(coverage.Complete(test.now), qt.Equals, test.want)
		})
	}
}

// Guards against an older table of a balancer that hides the current incarnation.
func TestNewestIncarnationTakesPrecedence(t *testing.T) {
	coverage := NewCoverage(time.Second, 1000)
	coverage.Update(5000, time.Minute)
	coverage.Update(10, time.Minute)
	qt.New(t).Check(coverage.Complete(2*time.Second), qt.IsTrue)
}
