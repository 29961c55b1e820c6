package segnode

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/pkg/errors"

	"github.com/peridotstall/peridotstall/internal/peers"
	"github.com/peridotstall/peridotstall/internal/platform"
	"github.com/peridotstall/peridotstall/internal/registry"
	"github.com/peridotstall/peridotstall/internal/telemetry"
)

const (
	// watchTimeout is how long a watch waits for a change. Each response, also
	// an empty one, shows that the store is reachable; the responses to the two
	// watches alternate every half second.
	watchTimeout = time.Second
	// readTimeout bounds a call to the store, and a watch beyond its watchTimeout. A slow
	// store takes up to 100 times the usual 4 ms. A read of many pages goes on while each
	// of them arrives in time.
	readTimeout = 700 * time.Millisecond
	// batchDelay is the time between a response with changes and the next watch,
	// so that one call returns changes in quick succession together.
	batchDelay = 150 * time.Millisecond
	// retryMinDelay and retryMaxDelay bound the time between attempts after a
	// failure.
	retryMinDelay = 150 * time.Millisecond
	retryMaxDelay = time.Second
)

// updateReading starts or stops reading the store as the view of the peers
// requires. The caller must hold b.mu.
func (b *Balancer) updateReading(now time.Duration) {
	shouldRead := b.peers.ShouldRead(now)
	switch {
	case shouldRead && b.stopReading == nil:
		ctx, cancel := context.WithCancel(b.ctx)
		b.stopReading = cancel
		b.options.Logger.Log(telemetry.ReaderChosen, "contact_age", formatContactAge(b.peers.ContactAge(now)))
		b.run(func() error { b.followRoutes(ctx); return nil })
		b.run(func() error { b.followTargets(ctx); return nil })
	case !shouldRead && b.stopReading != nil && b.peers.HasReader(now):
		b.stopReading()
		b.stopReading = nil
		b.peers.StopReading()
		b.options.Logger.Log(telemetry.ReaderReleased)
	}
}

// formatContactAge formats the age of the store's last response for a log line.
func formatContactAge(age time.Duration) string {
	if age == peers.Never {
		return "never"
	}
	return age.Round(time.Millisecond).String()
}

// recordCall records the result of a call to the store. It reports whether the
// next call may follow without a delay.
func (b *Balancer) recordCall(ctx context.Context, start time.Duration, err error) bool {
	if ctx.Err() != nil {
		return false
	}
	now := b.clock.now()
	b.metrics.StoreCalls.Inc()
	b.metrics.StoreCall.Record(now - start)
	b.mu.Lock()
	defer b.mu.Unlock()
	if err == nil || errors.Is(err, ErrHistoryLost) {
		b.peers.StoreResponded(now)
		if !b.storeReachable {
			b.storeReachable = true
			b.options.Logger.Log(telemetry.StoreReachable)
		}
		return true
	}
	b.metrics.StoreErrors.Inc()
	b.peers.StoreFailed()
	b.storeFailed = true
	event := telemetry.StoreCallFailed
	if b.storeReachable {
		b.storeReachable = false
		event = telemetry.StoreUnreachable
	}
	if b.options.Logger.Allow(event) {
		b.options.Logger.Log(event, "waited", (now - start).Round(time.Millisecond), "error", err)
	}
	return false
}

// sleep waits for d. It reports whether it did so before the context ended.
func sleep(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// follow reads a whole value and then watches it for changes. It reads the
// whole value again when the store no longer has the history of the watched
// revision or was restored.
func (b *Balancer) follow(ctx context.Context, value string, read func(context.Context) (registry.Position, error),
	watch func(context.Context, registry.Position) (position registry.Position, changed bool, err error)) {
	backoff := platform.Backoff{Min: retryMinDelay, Max: retryMaxDelay}
	rng := rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	// position is the zero value while the whole value has to be read.
	var position registry.Position
	// watched is set if the last whole read could be continued by a watch. Without it,
	// reads that end in ErrHistoryLost would follow each other without a delay.
	watched := true
	for ctx.Err() == nil {
		start := b.clock.now()
		var err error
		changed := false
		if position.Revision == 0 {
			position, err = read(ctx)
			if err == nil {
				b.options.Logger.Log(telemetry.StoreRead, "value", value, "epoch", position.Epoch, "revision", position.Revision)
			}
		} else {
			var next registry.Position
			call, cancel := context.WithTimeout(ctx, watchTimeout+readTimeout)
			next, changed, err = watch(call, position)
			cancel()
			if err == nil {
				watched = true
				position.Revision = max(position.Revision, next.Revision)
			} else if errors.Is(err, ErrHistoryLost) {
				b.options.Logger.Log(telemetry.HistoryLost, "value", value, "epoch", position.Epoch, "revision", position.Revision)
				position = registry.Position{}
			}
		}
		switch {
		case !b.recordCall(ctx, start, err) || errors.Is(err, ErrHistoryLost) && !watched:
			if !sleep(ctx, backoff.Next(rng)) {
				return
			}
		case errors.Is(err, ErrHistoryLost):
			watched = false
		case changed:
			backoff.Reset()
			if !sleep(ctx, batchDelay) {
				return
			}
		case watched:
			backoff.Reset()
		}
	}
}

// recordUnusable logs and counts an entry of the store, or a part of one, that is left
// out.
func (b *Balancer) recordUnusable(u registry.Unusable) {
	b.metrics.EntriesUnusable.Inc()
	event := telemetry.EntryUnusable
	if u.Configuration {
		event = telemetry.RoutesUnusable
		b.metrics.RoutesUnusable.Set(1)
	}
	if b.options.Logger.Allow(event) {
		b.options.Logger.Log(event, "key", u.Key, "error", u.Err)
	}
}

// followRoutes keeps the configuration and the evacuated zones current until ctx is done.
func (b *Balancer) followRoutes(ctx context.Context) {
	source := b.options.Source
	var zones registry.Evacuations
	b.follow(ctx, "routes", func(ctx context.Context) (registry.Position, error) {
		begun := b.clock.now()
		routes, read, err := source.Routes(ctx, readTimeout)
		if err != nil {
			return registry.Position{}, err
		}
		zones = read
		b.readEvacuations(zones, begun)
		if routes.Version != 0 {
			b.acceptRoutes(routes, storeSource)
		}
		return zones.Position(), nil
	}, func(ctx context.Context, after registry.Position) (registry.Position, bool, error) {
		begun := b.clock.now()
		routes, changes, position, err := source.WatchRoutes(ctx, after, watchTimeout)
		if err != nil {
			return registry.Position{}, false, err
		}
		if _, ahead := b.aheadOfStore(latest(after, position), begun); ahead {
			return registry.Position{}, false, ErrHistoryLost
		}
		if len(changes) > 0 {
			zones = zones.Apply(changes, position.Revision)
			b.acceptEvacuations(zones, storeSource)
		}
		if routes != nil {
			b.acceptRoutes(*routes, storeSource)
		}
		return position, routes != nil || len(changes) > 0, nil
	})
}

// followTargets keeps the table of targets current until ctx is done.
func (b *Balancer) followTargets(ctx context.Context) {
	source := b.options.Source
	// The second watch begins half a watchTimeout later, so that the
	// responses alternate.
	if b.hasTable() && !sleep(ctx, watchTimeout/2) {
		return
	}
	var table registry.Table
	b.follow(ctx, "targets", func(ctx context.Context) (registry.Position, error) {
		begun := b.clock.now()
		read, err := source.Targets(ctx, readTimeout)
		if err != nil {
			return registry.Position{}, err
		}
		table = read
		b.readTable(table, begun)
		return table.Position(), nil
	}, func(ctx context.Context, after registry.Position) (registry.Position, bool, error) {
		begun := b.clock.now()
		changes, position, err := source.WatchTargets(ctx, after, watchTimeout)
		if err != nil {
			return registry.Position{}, false, err
		}
		if ahead, _ := b.aheadOfStore(latest(after, position), begun); ahead {
			// The whole read decides whether the state in force is the store's.
			return registry.Position{}, false, ErrHistoryLost
		}
		table = table.Apply(changes, position.Revision)
		if len(changes) > 0 {
			b.acceptTable(table, storeSource)
		}
		return position, len(changes) > 0, nil
	})
}

// latest returns the position of a watch that continues at another one. A store that does not state
// its position in an answer is at least where the watch began.
func latest(after, position registry.Position) registry.Position {
	return registry.Position{Epoch: after.Epoch, Revision: max(after.Revision, position.Revision)}
}

// hasTable reports whether the balancer has a table of targets.
func (b *Balancer) hasTable() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.registry.Table().Revision != 0
}

// Reading reports whether this balancer reads the store.
func (b *Balancer) Reading() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.stopReading != nil
}
