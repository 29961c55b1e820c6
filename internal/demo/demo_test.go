package demo

import (
	"context"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/peridotstall/peridotstall/internal/telemetry"
)

// Guards against daemons that break a promise when they run together over real
// sockets. Promises about time are left to the command, since the clock of a
// shared machine is no measure.
func TestPromisesHoldOverRealSockets(t *testing.T) {
	if testing.Short() {
		t.Skip("takes several seconds")
	}
	c := qt.New(t)
	report, err := Run(context.Background(), Options{
		Duration: MinDuration,
		Flows:    50,
		Seed:     20261204,
		Logger:   telemetry.Discard(),
	})
	c.Assert(err, qt.IsNil)
	t.Logf("seed %d: %d flows, %d requests", report.Seed, report.Flows, report.Requests)
	c.Check(report.Flows, qt.Equals, 100)
	c.Check(report.Changed, qt.Equals, 0)
	c.Check(report.Mixed, qt.Equals, 0)
	c.Check(report.Untrue, qt.Equals, 0)
	c.Check(report.MostRuns, qt.Equals, 1)
	c.Check(report.Whole > 0, qt.IsTrue)
}
