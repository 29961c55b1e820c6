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
	// watchWait is how long a watch waits. Each answer, also an empty one, says
	// that the store is there; two watches answer in turn every half second.
	watchWait = time.Second
	// readTimeout bounds a call beyond its wait. A slow store takes up to 100
	// times the usual 4 ms.
	readTimeout = 700 * time.Millisecond
	// batchPause is the time between an answer with changes and the next watch,
	// so that changes in quick succession cost one call together.
	batchPause = 150 * time.Millisecond
	// retryMin and retryMax bound the time between attempts after a failure.
	retryMin = 150 * time.Millisecond
	retryMax = time.Second
)

// steerReading begins or ends reading the store; the caller holds the lock.
func (b *Balancer) steerReading(now time.Duration) {
	should := b.peers.ShouldRead(now)
	switch {
	case should && b.reading == nil:
		ctx, cancel := context.WithCancel(b.ctx)
		b.reading = cancel
		b.options.Logger.Log(telemetry.ReaderChosen, "contact_age", contactText(b.peers.ContactAge(now)))
		b.run(func() error { b.followRoutes(ctx); return nil })
		b.run(func() error { b.followTargets(ctx); return nil })
	case !should && b.reading != nil && b.peers.HasReader(now):
		b.reading()
		b.reading = nil
		b.peers.Stopped()
		b.options.Logger.Log(telemetry.ReaderReleased)
	}
}

// contactText returns the age of the store's last answer for a log line.
func contactText(age time.Duration) string {
	if age == peers.Never {
		return "never"
	}
	return age.Round(time.Millisecond).String()
}

// outcome records the result of a call to the store; false means that the
// caller waits before the next one.
func (b *Balancer) outcome(ctx context.Context, began time.Duration, err error) bool {
	if ctx.Err() != nil {
		return false
	}
	now := b.clock.now()
	b.metrics.StoreCalls.Inc()
	b.metrics.StoreCall.Record(now - began)
	b.mu.Lock()
	defer b.mu.Unlock()
	if err == nil || errors.Is(err, ErrHistoryLost) {
		b.peers.Answered(now)
		if !b.known {
			b.known = true
			b.options.Logger.Log(telemetry.StoreReachable)
		}
		return true
	}
	b.metrics.StoreErrors.Inc()
	b.peers.Failed()
	if b.known {
		b.known = false
		b.options.Logger.Log(telemetry.StoreUnreachable, "waited", (now - began).Round(time.Millisecond), "error", err)
	}
	return false
}

// pause waits; false when the context ended.
func pause(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// follow reads a whole value, watches it from there and begins again when the
// history is lost or a call fails.
func (b *Balancer) follow(ctx context.Context, read func(context.Context) (uint64, error),
	watch func(context.Context, uint64) (revision uint64, changed bool, err error)) {
	backoff := platform.Backoff{Min: retryMin, Max: retryMax}
	rng := rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	revision := uint64(0)
	for ctx.Err() == nil {
		began := b.clock.now()
		callCtx, cancel := context.WithTimeout(ctx, watchWait+readTimeout)
		var err error
		changed := false
		if revision == 0 {
			readCtx, cancelRead := context.WithTimeout(ctx, readTimeout)
			revision, err = read(readCtx)
			cancelRead()
		} else {
			var next uint64
			next, changed, err = watch(callCtx, revision)
			if err == nil {
				revision = max(revision, next)
			} else if errors.Is(err, ErrHistoryLost) {
				revision = 0
			}
		}
		cancel()
		switch {
		case !b.outcome(ctx, began, err):
			if !pause(ctx, backoff.Next(rng)) {
				return
			}
		case changed:
			backoff.Reset()
			if !pause(ctx, batchPause) {
				return
			}
		default:
			backoff.Reset()
		}
	}
}

// followRoutes keeps the configuration current.
func (b *Balancer) followRoutes(ctx context.Context) {
	source := b.options.Source
	b.follow(ctx, func(ctx context.Context) (uint64, error) {
		routes, revision, err := source.Routes(ctx)
		if err != nil {
			return 0, err
		}
		b.acceptRoutes(routes, "store")
		return revision, nil
	}, func(ctx context.Context, after uint64) (uint64, bool, error) {
		routes, revision, err := source.WatchRoutes(ctx, after, watchWait)
		if err == nil && routes != nil {
			b.acceptRoutes(*routes, "store")
		}
		return revision, routes != nil, err
	})
}

// followTargets keeps the table of targets current.
func (b *Balancer) followTargets(ctx context.Context) {
	source := b.options.Source
	// The second watch begins half a wait later, so that the answers alternate.
	if b.knowsTargets() && !pause(ctx, watchWait/2) {
		return
	}
	var table registry.Table
	b.follow(ctx, func(ctx context.Context) (uint64, error) {
		read, err := source.Targets(ctx)
		if err != nil {
			return 0, err
		}
		table = read
		b.acceptTable(table, "store")
		return table.Revision, nil
	}, func(ctx context.Context, after uint64) (uint64, bool, error) {
		changes, revision, err := source.WatchTargets(ctx, after, watchWait)
		if err != nil {
			return 0, false, err
		}
		table = table.Apply(changes, revision)
		if len(changes) > 0 {
			b.acceptTable(table, "store")
		}
		return revision, len(changes) > 0, nil
	})
}

// knowsTargets reports whether a table is in force.
func (b *Balancer) knowsTargets() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.registry.Table().Revision != 0
}

// Reading reports whether this balancer reads the store.
func (b *Balancer) Reading() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.reading != nil
}
