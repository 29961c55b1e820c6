package segnode

import (
	"context"
	"io"
	"math"
	"net/netip"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/peridotstall/peridotstall/internal/peers"
	"github.com/peridotstall/peridotstall/internal/registry"
	"github.com/peridotstall/peridotstall/internal/telemetry"
)

// steadySource is a store that always has the same state.
type steadySource struct {
	silentSource
	table registry.Table
	zones registry.Evacuations
}

func (s *steadySource) Routes(context.Context, time.Duration) (registry.Routes, registry.Evacuations, error) {
	return registry.Routes{}, s.zones, nil
}

func (s *steadySource) WatchRoutes(ctx context.Context, after registry.Position, _ time.Duration) (*registry.Routes, []registry.ZoneChange, registry.Position, error) {
	sleep(ctx, 10*time.Millisecond)
	return nil, nil, after, ctx.Err()
}

func (s *steadySource) Targets(context.Context, time.Duration) (registry.Table, error) {
	return s.table, nil
}

func (s *steadySource) WatchTargets(ctx context.Context, after registry.Position, _ time.Duration) ([]registry.Change, registry.Position, error) {
	sleep(ctx, 10*time.Millisecond)
	return nil, after, ctx.Err()
}

// Guards against one table or list of evacuated zones with a position in the far future, from one
// peer, that makes a balancer ignore the store until it is restarted.
func TestStoreOverrulesAPeer(t *testing.T) {
	for name, far := range map[string]registry.Position{
		"epoch":         {Epoch: math.MaxUint64, Revision: 1},
		"next epoch":    {Epoch: 2, Revision: 1},
		"revision":      {Epoch: 1, Revision: math.MaxUint64},
		"next revision": {Epoch: 1, Revision: 10},
	} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			entry := registry.Target{ID: "a", Service: "web", Zone: "z", Address: netip.MustParseAddrPort("127.0.0.9:80"), Slots: 3, Born: 5}
			invented := registry.Target{ID: "x", Service: "web", Zone: "z", Address: netip.MustParseAddrPort("127.0.0.10:80"), Slots: 3, Born: 6}
			at := registry.Position{Epoch: 1, Revision: 9}
			source := &steadySource{
				table: registry.Table{Epoch: 1, Revision: 9, Targets: []registry.Target{entry}},
				zones: registry.Evacuations{Epoch: 1, Revision: 9},
			}
			logger, err := telemetry.NewDecisionLog(io.Discard)
			c.Assert(err, qt.IsNil)
			c.Cleanup(logger.Close)
			b, err := StartBalancer(BalancerOptions{
				Common: Common{Host: "overrule-test-" + name, Zone: "a", Packets: freeAddress(c), Link: freeAddress(c), Logger: logger},
				Source: source, LinkRate: 1e8, Cores: 1,
			})
			c.Assert(err, qt.IsNil)
			c.Cleanup(func() {
				ctx, cancel := context.WithCancel(context.Background())
				cancel()
				b.Stop(ctx)
			})
			has := func() (peers.Versions, []registry.Target, bool) {
				b.mu.Lock()
				defer b.mu.Unlock()
				return b.versions(), b.registry.Table().Targets, b.registry.Evacuations().Contains("z")
			}
			await := func(condition func() bool) {
				for deadline := time.Now().Add(20 * time.Second); !condition(); time.Sleep(time.Millisecond) {
					if time.Now().After(deadline) {
						versions, targets, evacuated := has()
						c.Fatalf("targets %s, evacuations %s: %v, zone evacuated: %v", versions.Targets, versions.Evacuations, targets, evacuated)
					}
				}
			}
			atStore := func() bool {
				versions, _, _ := has()
				return versions.Targets == at && versions.Evacuations == at
			}
			await(atStore)
			c.Assert(b.pullFrom(startScriptedPeer(c, Knowledge{
				Table:       &registry.Table{Epoch: far.Epoch, Revision: far.Revision, Targets: []registry.Target{invented}},
				Evacuations: &registry.Evacuations{Epoch: far.Epoch, Revision: far.Revision, Zones: []string{"z"}},
			}), Have{}), qt.IsNil)
			// The invented target stays for the grace period of a target without an entry, a
			// zone that it took for evacuated before a restore for that of a restore.
			await(func() bool {
				_, targets, evacuated := has()
				return atStore() && len(targets) == 1 && targets[0].ID == "a" && !targets[0].Lapsed && !evacuated
			})
		})
	}
}
