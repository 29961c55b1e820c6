// Package soak runs the programs as separate processes on loopback, injects faults
// from outside and checks what callers and targets observe. The faults and their
// times are determined by a seed; the reactions of the processes are not.
package soak

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"net/netip"
	"os"
	"sync"
	"syscall"
	"time"

	"github.com/pkg/errors"

	"github.com/peridotstall/peridotstall/internal/httptransport"
	"github.com/peridotstall/peridotstall/internal/segment"
	"github.com/peridotstall/peridotstall/platform/standin"
)

// Options configure a run.
type Options struct {
	Seed     uint64
	Duration time.Duration
	// Balancers, Targets (of each service) and Callers are the numbers of each.
	Balancers, Targets, Callers int
	// Dir is the directory for settings and logs of the processes.
	Dir string
	// Out receives the injected faults and the result of the run.
	Out io.Writer
}

const (
	// readyTimeout limits the time until all balancers are ready.
	readyTimeout = 20 * time.Second
	// routerTimeout limits a readiness check by the router.
	routerTimeout = time.Second
	// requestTimeout limits the opening of a flow and each request.
	requestTimeout = 8 * time.Second
	// requestCalmWindow is the time without faults before a request after which a
	// failure of the request is a violation.
	requestCalmWindow = requestTimeout + calmWindow
	// settleDuration is the time for which callers continue after the faults: until
	// the fleet counts as calm, plus a few requests of each caller.
	settleDuration = requestCalmWindow + 6*time.Second
	// targetSlots is the number of requests that a target runs at a time.
	targetSlots = 4
	// faultDurationRange limits the random part of the duration of a fault, to which
	// 200 ms are added.
	faultDurationRange = 3 * time.Second
)

// services are the names of the services. Each has an address that callers use.
var services = []string{"shop", "intake"}

// run is the state of one run.
type run struct {
	Options
	fleet   *fleet
	checker *checker
	caller  *standin.Caller
	client  *http.Client

	mu               sync.Mutex
	rng              *rand.Rand
	targets          []*target
	addr             map[string]segment.Endpoint
	version          uint64
	attempts         []attempt
	startedTargets   []*standin.Target
	storeDisturbedAt time.Time
	answered         int

	operator operator
}

// target is a backend server that is replaced by its next incarnation after a
// crash or drain.
type target struct {
	mu          sync.Mutex
	index       int
	service     string
	incarnation int
	current     *standin.Target
	crashed     time.Time
	// closed is set when the run has ended; restarts may be scheduled for later.
	closed bool
	agent  *process
}

// Run runs the soak test and returns the violations. The error is not nil if the
// fleet did not start.
func Run(ctx context.Context, options Options) ([]Violation, error) {
	r := &run{
		Options: options, checker: newChecker(), client: &http.Client{Transport: httptransport.New(0, routerTimeout), Timeout: routerTimeout},
		rng: rand.New(rand.NewPCG(options.Seed, 0)), addr: make(map[string]segment.Endpoint),
		fleet: &fleet{
			loopbackNet: byte(17 + (os.Getpid()+int(options.Seed))%200), store: standin.NewStore(), router: &standin.Router{},
			ports: standin.Ports{Packets: 22172, Control: 22166, Ready: 22167, Outbound: 22162, App: 22165, Link: 22720},
		},
	}
	defer r.close()
	if err := r.start(); err != nil {
		return nil, err
	}
	ctx, cancel := context.WithTimeout(ctx, options.Duration)
	defer cancel()
	r.runCallers(ctx, 1, r.injectFaults)
	r.checkRecovery()
	r.checkCalmFleet()
	r.report()
	return r.checker.violations, nil
}

// runCallers runs the callers, the watch and the task concurrently until ctx is
// done. Each caller has its own stream of random numbers, numbered from stream on.
func (r *run) runCallers(ctx context.Context, stream uint64, task func(context.Context)) {
	var group sync.WaitGroup
	for i := range r.Callers {
		group.Go(func() { r.runCaller(ctx, rand.New(rand.NewPCG(r.Seed, stream+uint64(i)))) })
	}
	group.Go(func() { r.watch(ctx) })
	task(ctx)
	group.Wait()
}

// checkCalmFleet checks that flows open, requests are answered and draining
// targets get no new flow in a fleet without faults. While faults are injected,
// they follow each other too fast for these checks to apply.
func (r *run) checkCalmFleet() {
	ctx, cancel := context.WithTimeout(context.Background(), settleDuration)
	defer cancel()
	r.runCallers(ctx, 1<<32, func(ctx context.Context) {
		sleep(ctx, calmWindow+time.Second)
		var drained []*standin.Target
		for _, service := range services {
			if t := r.targetToDrain(service); t != nil {
				r.logf("target %s drains in a calm fleet", t.ID)
				t.Drain()
				drained = append(drained, t)
			}
		}
		at := time.Now()
		if r.evacuatedZone() == "" {
			if zone, ok := r.zoneToEvacuate(drained); ok {
				r.evacuate(zone)
			}
		}
		sleep(ctx, drainTimeout+2*time.Second)
		for _, t := range drained {
			late := t.LastAccepted().Sub(at)
			r.checker.check("drain", late <= drainTimeout, "%s accepted a new flow %s after its drain", t.ID, late)
		}
		sleep(ctx, time.Until(at.Add(evacuateTimeout+judgedTime)))
		r.checkTakenBack(ctx, drained)
		<-ctx.Done()
	})
}

// targetToDrain returns a running target of a service, or nil. While a zone is evacuated, it
// leaves another target outside of the zone.
func (r *run) targetToDrain(service string) *standin.Target {
	zone := r.evacuatedZone()
	var outside []*standin.Target
	for _, t := range r.targets {
		if current := t.currentTarget(); current != nil && t.service == service && current.Zone != zone {
			outside = append(outside, current)
		}
	}
	if len(outside) == 0 || zone != "" && len(outside) == 1 {
		return nil
	}
	return outside[0]
}

// sleep waits for d or until ctx is done.
func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-time.After(d):
	case <-ctx.Done():
	}
}

// start starts the caller, agents, targets and balancers, and waits until all
// balancers are ready.
func (r *run) start() error {
	for i, name := range services {
		address := netip.AddrPortFrom(netip.AddrFrom4([4]byte{198, 18, 0, byte(i + 1)}), 443)
		r.addr[name], _ = segment.EndpointFrom(address)
	}
	r.configure()
	caller, err := standin.StartCaller(r.fleet.router, netip.AddrPortFrom(r.fleet.address(1, 0), r.fleet.ports.Packets))
	if err != nil {
		return err
	}
	r.caller = caller
	onExit := func(p *process, err error) {
		r.checker.check("exit", false, "%s exited unexpectedly: %v", p.host.Name, err)
	}
	for i := range len(services) * r.Targets {
		service := services[i%len(services)]
		agent, err := r.fleet.newProcess(r.Dir, "agent", service, i, onExit)
		if err != nil {
			return err
		}
		r.fleet.agents = append(r.fleet.agents, agent)
		t := &target{index: i, service: service, agent: agent}
		r.targets = append(r.targets, t)
		if err := agent.start(); err != nil {
			return err
		}
		if err := r.startTarget(t); err != nil {
			return err
		}
	}
	for i := range r.Balancers {
		balancer, err := r.fleet.newProcess(r.Dir, "balancer", "", i, onExit)
		if err != nil {
			return err
		}
		r.fleet.balancers = append(r.fleet.balancers, balancer)
		if err := balancer.start(); err != nil {
			return err
		}
	}
	for started := time.Now(); r.fleet.updateRouter(r.client) < r.Balancers; time.Sleep(50 * time.Millisecond) {
		if time.Since(started) > readyTimeout {
			return errors.Errorf("fewer than %d balancers were ready after %s", r.Balancers, readyTimeout)
		}
	}
	return nil
}

// startTarget starts the next incarnation of a target that is down. It is cold unless it is
// the first one.
func (r *run) startTarget(t *target) error {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.current != nil || t.closed {
		return nil
	}
	t.incarnation++
	ip := t.agent.host.IP
	cold := time.Duration(0)
	if t.incarnation > 1 {
		cold = warmup.Duration
	}
	next, err := standin.StartColdTarget(r.fleet.store, fmt.Sprintf("t%d-%d", t.index, t.incarnation), t.service, t.agent.host.Zone,
		netip.AddrPortFrom(ip, r.fleet.ports.App), netip.AddrPortFrom(ip, r.fleet.ports.Outbound), targetSlots, cold)
	if err != nil {
		return err
	}
	t.current = next
	r.mu.Lock()
	r.startedTargets = append(r.startedTargets, next)
	r.mu.Unlock()
	return nil
}

// configure publishes the routes under a higher version.
func (r *run) configure() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.version += 1 + uint64(r.rng.IntN(3))
	standin.PutRoutesWithWarmup(r.fleet.store, r.version, r.addr, warmup)
}

// runCaller opens flows and sends requests on them until ctx is done.
func (r *run) runCaller(ctx context.Context, rng *rand.Rand) {
	for n := 0; ctx.Err() == nil; n++ {
		service := services[rng.IntN(len(services))]
		multiple := rng.IntN(2) == 0
		count := 1
		if multiple {
			count = 2 + rng.IntN(20)
		}
		r.runFlow(ctx, rng, service, count, !multiple)
	}
}

// runFlow opens a flow and sends count requests on it.
func (r *run) runFlow(ctx context.Context, rng *rand.Rand, service string, count int, once bool) {
	started := time.Now()
	openCtx, cancel := context.WithTimeout(context.Background(), requestTimeout)
	defer cancel()
	flow, err := r.caller.Open(openCtx, r.addr[service])
	if err != nil {
		r.recordAttempt(attempt{request: r.newRequest(rng), service: service, notRun: true, once: once})
		r.checker.check("open", !r.calmSince(started.Add(-requestCalmWindow)), "no flow to %s opened in a calm fleet: %v", service, err)
		return
	}
	defer flow.Close()
	owner := ""
	for range count {
		request := r.newRequest(rng)
		r.recordAttempt(attempt{request: request, service: service, once: once})
		sent := time.Now()
		requestCtx, cancel := context.WithTimeout(context.Background(), requestTimeout)
		answer, err := flow.Request(requestCtx, request)
		cancel()
		switch {
		case err == nil:
			r.checker.check("flow", owner == "" || owner == answer, "a flow moved from %s to %s", owner, answer)
			owner = answer
			r.mu.Lock()
			r.answered++
			r.mu.Unlock()
		case errors.Is(err, standin.ErrReset):
			r.checker.check("reset", owner == "" || !r.running(owner), "the flow of %s was reset although %s runs", request, owner)
			return
		default:
			r.checker.check("answer", !r.calmSince(sent.Add(-requestCalmWindow)), "no answer to %s in a calm fleet: %v", request, err)
			return
		}
		select {
		case <-time.After(time.Duration(rng.IntN(400)) * time.Millisecond):
		case <-ctx.Done():
			return
		}
	}
}

func (r *run) newRequest(rng *rand.Rand) string {
	return fmt.Sprintf("r%x %d", rng.Uint64(), rng.IntN(20))
}

func (r *run) recordAttempt(a attempt) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.attempts = append(r.attempts, a)
}

// running reports whether the target incarnation with the ID still runs.
func (r *run) running(id string) bool {
	for _, t := range r.targets {
		t.mu.Lock()
		found := t.current != nil && t.current.ID == id
		t.mu.Unlock()
		if found {
			return true
		}
	}
	return false
}

// calmSince reports whether no fault affected the fleet since a time.
func (r *run) calmSince(since time.Time) bool { return r.lastFault().Before(since) }

// lastFault returns the time of the last fault that affected the fleet.
func (r *run) lastFault() time.Time {
	r.mu.Lock()
	last := r.storeDisturbedAt
	r.mu.Unlock()
	for _, list := range [][]*process{r.fleet.balancers, r.fleet.agents} {
		for _, p := range list {
			last = latest(last, p.disturbedAt())
		}
	}
	for _, t := range r.targets {
		t.mu.Lock()
		last = latest(last, t.crashed)
		t.mu.Unlock()
	}
	return last
}

func latest(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// watch updates the router and checks the resources of the processes until ctx is
// done.
func (r *run) watch(ctx context.Context) {
	for tick := 0; ctx.Err() == nil; tick++ {
		r.fleet.updateRouter(r.client)
		r.judgeEvacuation()
		if tick%4 == 0 {
			for _, p := range append(r.fleet.balancers, r.fleet.agents...) {
				r.checker.checkResources(p.host.Name, p.pid())
			}
		}
		select {
		case <-time.After(250 * time.Millisecond):
		case <-ctx.Done():
		}
	}
}

// checkRecovery ends all faults and checks that a request to every service succeeds
// within recoveryTimeout.
func (r *run) checkRecovery() {
	r.fleet.store.SetFault(standin.Healthy)
	for _, p := range append(r.fleet.balancers, r.fleet.agents...) {
		p.proxy.set(passing)
		p.signal(syscall.SIGCONT)
	}
	for _, t := range r.targets {
		if err := r.startTarget(t); err != nil {
			r.checker.check("soak", false, "target %d does not start: %v", t.index, err)
		}
	}
	deadline := time.Now().Add(recoveryTimeout)
	for _, service := range services {
		served := false
		for !served && time.Now().Before(deadline) {
			r.fleet.updateRouter(r.client)
			ctx, cancel := context.WithDeadline(context.Background(), deadline)
			if flow, err := r.caller.Open(ctx, r.addr[service]); err == nil {
				request := fmt.Sprintf("last-%s-%d 1", service, time.Now().UnixNano())
				r.recordAttempt(attempt{request: request, service: service})
				_, err = flow.Request(ctx, request)
				served = err == nil
				flow.Close()
			}
			cancel()
		}
		r.checker.check("recovery", served, "%s is not served %s after the last fault", service, recoveryTimeout)
	}
}

// report checks the requests that ran at the targets and prints the result.
func (r *run) report() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, service := range services {
		var parts []map[string]int
		for _, t := range r.startedTargets {
			if t.Service == service {
				parts = append(parts, t.Requests())
			}
		}
		r.checker.checkRuns(r.attempts, service, sumRuns(parts))
	}
	for _, t := range r.startedTargets {
		r.checkCold(t)
	}
	starts := 0
	for _, p := range append(r.fleet.balancers, r.fleet.agents...) {
		starts += p.starts
	}
	fmt.Fprintf(r.Out, "seed %d: %d requests, %d answered, %d starts of processes, %d calls to the store\n",
		r.Seed, len(r.attempts), r.answered, starts, r.fleet.store.Calls())
	for _, name := range r.checker.names() {
		fmt.Fprintf(r.Out, "  %-12s checked %d times\n", name, r.checker.counts[name])
	}
	for _, v := range r.checker.violations {
		fmt.Fprintf(r.Out, "  BROKEN at %s: %s: %s\n", v.At, v.Check, v.Detail)
	}
}

// close stops the processes, the caller and the store.
func (r *run) close() {
	for _, p := range append(r.fleet.balancers, r.fleet.agents...) {
		p.stop()
	}
	for _, t := range r.targets {
		t.close()
	}
	if r.caller != nil {
		r.caller.Close()
	}
	r.fleet.store.Close()
}

// close ends the target for good, so that a later run can have its address.
func (t *target) close() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.closed = true
	if t.current != nil {
		t.current.Crash()
		t.current = nil
	}
}
