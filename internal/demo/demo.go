package demo

import (
	"context"
	"io"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/peridotstall/peridotstall/internal/schema"
	"github.com/peridotstall/peridotstall/internal/telemetry"
)

const (
	// applyLimit is the time within which a change must be in force everywhere.
	applyLimit = 4 * time.Second
	// applyPoll is the interval at which the demo looks whether it is.
	applyPoll = 10 * time.Millisecond
	// MinDuration leaves time for all changes.
	MinDuration = 4 * time.Second
)

// Options configure a run.
type Options struct {
	// Duration is the time for which callers work.
	Duration time.Duration
	// Flows is the number of plain flows of each member.
	Flows int
	// Seed sets the choices of the callers.
	Seed uint64
	// Baseline runs plain hashing without owners, for comparison.
	Baseline bool
	// Progress receives one line per step; nil means none.
	Progress io.Writer
	// Logger receives the log of the daemons.
	Logger *telemetry.Logger
}

// run is the state of one demo.
type run struct {
	options  Options
	fleet    *fleet
	begin    time.Time
	flows    []*plainFlow
	requests []*requester

	mu    sync.Mutex
	apply []time.Duration
}

// Run runs the demo and returns what it saw.
func Run(ctx context.Context, o Options) (*Report, error) {
	if o.Duration < MinDuration {
		return nil, errors.Errorf("duration %v is not allowed, must be at least %v", o.Duration, MinDuration)
	}
	if o.Flows < 1 {
		return nil, errors.Errorf("%d flows are not allowed, must be at least 1", o.Flows)
	}
	fleet, err := startFleet(fleetOptions{baseline: o.Baseline, logger: o.Logger})
	if err != nil {
		return nil, errors.Wrap(err, "start fleet")
	}
	defer fleet.close()
	r := &run{options: o, fleet: fleet, begin: time.Now()}
	r.progress("fleet serves: %d targets, %d balancers", len(fleet.targets), 2*3)
	return r.work(ctx)
}

func (r *run) work(ctx context.Context) (*Report, error) {
	work, cancel := context.WithTimeout(ctx, r.options.Duration)
	defer cancel()
	if err := r.openAll(); err != nil {
		return nil, err
	}
	defer r.closeAll()
	var callers sync.WaitGroup
	for _, p := range r.flows {
		callers.Go(func() {
			p.run(work, func() []addr { return r.fleet.addresses(p.member, p.service) })
		})
	}
	for _, q := range r.requests {
		callers.Go(func() { q.run(work) })
	}
	if err := r.changes(work); err != nil {
		cancel()
		callers.Wait()
		return nil, err
	}
	callers.Wait()
	if err := ctx.Err(); err != nil {
		return nil, err
	}
	return r.report(time.Now()), nil
}

func (r *run) openAll() error {
	for _, d := range deployments {
		for _, p := range d.pools {
			for _, s := range p.services {
				if err := r.openService(d, s); err != nil {
					return err
				}
			}
		}
	}
	return nil
}

func (r *run) openService(d deployment, s service) error {
	if s.mode == schema.Mode_REQUEST {
		q, err := newRequester(d.member, s, r.fleet.addresses(d.member, s.id), r.options.Seed)
		if err != nil {
			return err
		}
		r.requests = append(r.requests, q)
		return nil
	}
	for i := range r.options.Flows {
		p, err := openPlain(d.member, s.id, r.options.Seed+uint64(i))
		if err != nil {
			return err
		}
		r.flows = append(r.flows, p)
	}
	return nil
}

func (r *run) closeAll() {
	for _, p := range r.flows {
		p.conn.Close()
	}
	for _, q := range r.requests {
		q.client.Close()
	}
}

// changes carries out the planned changes, spread over the run.
func (r *run) changes(ctx context.Context) error {
	steps := []struct {
		at float64
		do func(context.Context) error
	}{
		{0.15, r.replaceBalancers},
		{0.35, r.drainTarget},
		{0.50, r.changeConfiguration},
		{0.65, r.replaceBalancers},
		{0.75, r.returnTarget},
	}
	for _, step := range steps {
		at := r.begin.Add(time.Duration(step.at * float64(r.options.Duration)))
		if err := sleep(ctx, time.Until(at)); err != nil {
			return nil
		}
		if err := step.do(ctx); err != nil {
			return err
		}
	}
	return nil
}

func sleep(ctx context.Context, d time.Duration) error {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-timer.C:
		return nil
	}
}

func (r *run) replaceBalancers(ctx context.Context) error {
	for _, d := range deployments {
		r.progress("replace a balancer of %s", d.member)
		if err := r.fleet.replaceBalancer(ctx, d); err != nil {
			if ctx.Err() != nil {
				return nil
			}
			return err
		}
		for _, q := range r.requests {
			if q.member != d.member {
				continue
			}
			if err := q.client.SetBalancers(r.fleet.addresses(d.member, q.service)); err != nil {
				return err
			}
		}
	}
	return nil
}

// drained is the index of the target that leaves and returns, one of 7 of the
// storefront.
const drained = 1

func (r *run) drainTarget(context.Context) error {
	r.progress("drain backend server of target %d", r.fleet.targets[drained].id)
	r.fleet.targets[drained].backend.SetDraining(true)
	return nil
}

func (r *run) returnTarget(context.Context) error {
	r.progress("target %d returns", r.fleet.targets[drained].id)
	r.fleet.targets[drained].backend.SetDraining(false)
	return nil
}

// changeConfiguration moves capacity between targets, so that candidates of
// many flows change, and measures until the change is in force everywhere.
func (r *run) changeConfiguration(ctx context.Context) error {
	begin := time.Now()
	revision, err := r.fleet.change(func(c *schema.Config) {
		for i, t := range c.Targets {
			t.Capacity = capacities[(i+3)%len(capacities)]
		}
	})
	if err != nil {
		return err
	}
	for r.fleet.lowestRevision() < revision {
		if time.Since(begin) > 2*applyLimit {
			break
		}
		if sleep(ctx, applyPoll) != nil {
			break
		}
	}
	took := time.Since(begin)
	r.progress("revision %d in force everywhere after %v", revision, took.Round(time.Millisecond))
	r.mu.Lock()
	defer r.mu.Unlock()
	r.apply = append(r.apply, took)
	return nil
}
