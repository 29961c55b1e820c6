package demo

import (
	"context"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/peridotstall/peridotstall/internal/telemetry"
)

// Guards against daemons that break a promise when they run together over real sockets.
// Promises about time are checked only by the command, since times on a shared host vary.
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
	c.Check(report.ChangedFlows, qt.Equals, 0)
	c.Check(report.Wrong, qt.Equals, 0)
	c.Check(report.FalseRefusals, qt.Equals, 0)
	c.Check(report.MaxRuns, qt.Equals, 1)
	c.Check(report.Correct > 0, qt.IsTrue)
}
