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
	// maxApplyTime is the time within which a change must be in force at every process.
	maxApplyTime = 4 * time.Second
	// applyPollInterval is the time between two checks of the revisions in force.
	applyPollInterval = 10 * time.Millisecond
	// MinDuration is the shortest duration of a run that leaves time for all changes.
	MinDuration = 4 * time.Second
)

// Options configure a run.
type Options struct {
	// Duration is the time for which callers send, at least MinDuration.
	Duration time.Duration
	// Flows is the number of plain flows of each datagram service, at least 1.
	Flows int
	// Seed is the seed of the random choices of the callers.
	Seed uint64
	// Baseline selects plain hashing without owners, for comparison.
	Baseline bool
	// Progress receives one line per step; nil disables it.
	Progress io.Writer
	// Logger receives the log of the daemons.
	Logger *telemetry.Logger
}

// run is the state of one run of the demo.
type run struct {
	options  Options
	fleet    *fleet
	begin    time.Time
	flows    []*plainFlow
	requests []*requester

	mu         sync.Mutex
	applyTimes []time.Duration
}

// Run runs the demo and returns its report. It returns an error if an option is
// invalid, a process cannot be started or ctx is cancelled.
func Run(ctx context.Context, o Options) (*Report, error) {
	if o.Duration < MinDuration {
		return nil, errors.Errorf("duration %v is too short, must be at least %v", o.Duration, MinDuration)
	}
	if o.Flows < 1 {
		return nil, errors.Errorf("number of flows %d is invalid, must be at least 1", o.Flows)
	}
	fleet, err := startFleet(fleetOptions{baseline: o.Baseline, logger: o.Logger})
	if err != nil {
		return nil, errors.Wrap(err, "start fleet")
	}
	defer fleet.close()
	r := &run{options: o, fleet: fleet, begin: time.Now()}
	r.progress("fleet is serving: %d targets, %d balancers", len(fleet.targets), 2*3)
	return r.execute(ctx)
}

func (r *run) execute(ctx context.Context) (*Report, error) {
	workCtx, cancel := context.WithTimeout(ctx, r.options.Duration)
	defer cancel()
	if err := r.openCallers(); err != nil {
		return nil, err
	}
	defer r.closeCallers()
	var callers sync.WaitGroup
	for _, p := range r.flows {
		callers.Go(func() {
			p.run(workCtx, func() []addr { return r.fleet.addresses(p.member, p.service) })
		})
	}
	for _, q := range r.requests {
		callers.Go(func() { q.run(workCtx) })
	}
	if err := r.makeChanges(workCtx); err != nil {
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

func (r *run) openCallers() error {
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

func (r *run) closeCallers() {
	for _, p := range r.flows {
		p.conn.Close()
	}
	for _, q := range r.requests {
		q.client.Close()
	}
}

// makeChanges makes the planned changes, each at a fraction of the duration of the run.
func (r *run) makeChanges(ctx context.Context) error {
	steps := []struct {
		at float64
		do func(context.Context) error
	}{
		{0.15, r.replaceBalancers},
		{0.35, r.drainTarget},
		{0.50, r.changeConfiguration},
		{0.65, r.replaceBalancers},
		{0.75, r.resumeTarget},
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
		r.progress("replacing a balancer of %s", d.member)
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

// drainedIndex is the index of the target that drains and resumes, one of the 7 targets
// of the storefront.
const drainedIndex = 1

func (r *run) drainTarget(context.Context) error {
	r.progress("draining the backend server of target %d", r.fleet.targets[drainedIndex].id)
	r.fleet.targets[drainedIndex].backend.SetDraining(true)
	return nil
}

func (r *run) resumeTarget(context.Context) error {
	r.progress("target %d accepts new flows again", r.fleet.targets[drainedIndex].id)
	r.fleet.targets[drainedIndex].backend.SetDraining(false)
	return nil
}

// changeConfiguration exchanges the capacities of targets, which changes the candidates
// of many flows, and measures the time until every process has applied the change. It
// stops waiting after twice maxApplyTime.
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
		if time.Since(begin) > 2*maxApplyTime {
			break
		}
		if sleep(ctx, applyPollInterval) != nil {
			break
		}
	}
	took := time.Since(begin)
	r.progress("revision %d in force at all processes after %v", revision, took.Round(time.Millisecond))
	r.mu.Lock()
	defer r.mu.Unlock()
	r.applyTimes = append(r.applyTimes, took)
	return nil
}
