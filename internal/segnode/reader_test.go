package segnode

import (
	"bytes"
	"context"
	"io"
	"net/netip"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/peridotstall/peridotstall/internal/peers"
	"github.com/peridotstall/peridotstall/internal/registry"
	"github.com/peridotstall/peridotstall/internal/telemetry"
)

// forgetfulSource is a store that cannot continue any watch.
type forgetfulSource struct {
	silentSource
	calls int
}

func (s *forgetfulSource) Targets(context.Context, time.Duration) (registry.Table, error) {
	s.calls++
	return registry.Table{Epoch: 1, Revision: 9}, nil
}

func (s *forgetfulSource) WatchTargets(context.Context, registry.Position, time.Duration) ([]registry.Change, registry.Position, error) {
	s.calls++
	return nil, registry.Position{}, ErrHistoryLost
}

// Guards against calls without a delay to a store that returns a table but can never continue a
// watch from it, for example because its revision goes back again and again.
func TestLostHistoryIsNoLoopWithoutDelay(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		logger, err := telemetry.NewDecisionLog(io.Discard)
		c.Assert(err, qt.IsNil)
		defer logger.Close()
		source := &forgetfulSource{}
		b := &Balancer{
			options: BalancerOptions{Common: Common{Logger: logger}, Source: source}, clock: newClock(), registry: registry.New(),
			metrics: telemetry.NewSegmentMetrics("balancer/reader-test"),
			peers:   peers.New(0, peers.Self{Address: netip.MustParseAddrPort("127.0.0.1:7000")}, nil),
		}
		const duration = time.Minute
		ctx, cancel := context.WithTimeout(t.Context(), duration)
		defer cancel()
		b.followTargets(ctx)
		// A reader makes two calls a second while nothing changes.
		limit := 2 * int(duration/time.Second)
		c.Check(source.calls <= 2*limit, qt.IsTrue, qt.Commentf("%d calls in %s", source.calls, duration))
		c.Check(source.calls >= limit/4, qt.IsTrue, qt.Commentf("%d calls in %s", source.calls, duration))
	})
}

// operatorStep is a response of the store on what the operator has published.
type operatorStep struct {
	read    registry.Evacuations
	changes []registry.ZoneChange
	// revision is that of the response to a watch; 0 for a lost history.
	revision uint64
}

// operatorSource returns responses in order, and ends the reader after the last one.
type operatorSource struct {
	silentSource
	steps []operatorStep
	after func()
}

func (s *operatorSource) next() operatorStep {
	if len(s.steps) == 0 {
		s.after()
		return operatorStep{}
	}
	step := s.steps[0]
	s.steps = s.steps[1:]
	return step
}

func (s *operatorSource) Routes(context.Context, time.Duration) (registry.Routes, registry.Evacuations, error) {
	return registry.Routes{}, s.next().read, nil
}

func (s *operatorSource) WatchRoutes(context.Context, registry.Position, time.Duration) (*registry.Routes, []registry.ZoneChange, registry.Position, error) {
	step := s.next()
	if step.revision == 0 {
		return nil, nil, registry.Position{}, ErrHistoryLost
	}
	return nil, step.changes, registry.Position{Epoch: 1, Revision: step.revision}, nil
}

// Guards against evacuations that a reader misses or reports again: in changes, and in a list that it
// reads as a whole because the store has lost its history.
func TestReaderFollowsEvacuations(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		var out bytes.Buffer
		logger, err := telemetry.NewDecisionLog(&out)
		c.Assert(err, qt.IsNil)
		ctx, cancel := context.WithCancel(t.Context())
		source := &operatorSource{after: cancel, steps: []operatorStep{
			{read: registry.Evacuations{Epoch: 1, Revision: 9, Zones: []string{"a"}}},
			{revision: 10},
			{revision: 12, changes: []registry.ZoneChange{{Zone: "a"}, {Zone: "a", Evacuated: true}}},
			{},
			{read: registry.Evacuations{Epoch: 1, Revision: 20, Zones: []string{"a"}}},
			{revision: 21, changes: []registry.ZoneChange{{Zone: "b", Evacuated: true}}},
		}}
		b := &Balancer{
			options: BalancerOptions{Common: Common{Logger: logger}, Source: source}, clock: newClock(), registry: registry.New(),
			metrics: telemetry.NewSegmentMetrics("balancer/evacuation-test"),
			peers:   peers.New(0, peers.Self{Address: netip.MustParseAddrPort("127.0.0.1:7000")}, nil),
		}
		b.followRoutes(ctx)
		logger.Close()
		c.Check(b.registry.Evacuations(), qt.DeepEquals, registry.Evacuations{Epoch: 1, Revision: 21, Zones: []string{"a", "b"}})
		c.Check(strings.Count(out.String(), telemetry.ZoneEvacuated.Name), qt.Equals, 2, qt.Commentf(out.String()))
	})
}
