// Package soak runs the real programs as separate processes on loopback, injects
// faults from outside and checks what callers and targets see. Its faults and
// their times follow from a seed; what the processes make of them does not.
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

	"github.com/peridotstall/peridotstall/internal/segment"
	"github.com/peridotstall/peridotstall/platform/standin"
)

// Options describe a run.
type Options struct {
	Seed     uint64
	Duration time.Duration
	// Balancers, Targets (of each service) and Callers are numbers.
	Balancers, Targets, Callers int
	// Dir takes settings and logs of the processes.
	Dir string
	// Out takes the story of the run.
	Out io.Writer
}

const (
	// readyLimit bounds the start of the fleet.
	readyLimit = 20 * time.Second
	// requestLimit is the time limit of a request.
	requestLimit = 8 * time.Second
	// calm is the time without faults before a request whose failure is none of them.
	calm = requestLimit + inTouch
	// settleTime is the time for which callers go on after the faults: until the
	// fleet counts as calm, and a few requests of each caller.
	settleTime = calm + 3*time.Second
	// targetSlots is the number of requests that a target runs at a time.
	targetSlots = 4
	// pauseMax bounds a pause or a fault of the store, downMax a dead target.
	pauseMax = 3 * time.Second
)

// services of the soak, each with an address that callers use.
var services = []string{"shop", "intake"}

// run is one run.
type run struct {
	Options
	fleet   *fleet
	checker *checker
	caller  *standin.Caller
	client  *http.Client

	mu       sync.Mutex
	rng      *rand.Rand
	targets  []*target
	addr     map[string]segment.Endpoint
	version  uint64
	attempts []attempt
	past     []*standin.Target
	storeBad time.Time
	answered int
}

// target is a place for a backend server and the one that runs there now.
type target struct {
	mu      sync.Mutex
	index   int
	service string
	life    int
	now     *standin.Target
	crashed time.Time
	agent   *process
}

// Run plays one seed and returns the broken promises.
func Run(ctx context.Context, options Options) ([]Violation, error) {
	r := &run{
		Options: options, checker: newChecker(), client: &http.Client{Timeout: time.Second},
		rng: rand.New(rand.NewPCG(options.Seed, 0)), addr: make(map[string]segment.Endpoint),
		fleet: &fleet{
			network: byte(17 + (os.Getpid()+int(options.Seed))%200), store: standin.NewStore(), router: &standin.Router{},
			ports: standin.Ports{Packets: 22172, Control: 22166, Ready: 22167, Outbound: 22162, App: 22165, Link: 22720},
		},
	}
	defer r.close()
	if err := r.start(); err != nil {
		return nil, err
	}
	ctx, cancel := context.WithTimeout(ctx, options.Duration)
	defer cancel()
	r.use(ctx, 1, r.disturb)
	r.recover()
	r.settle()
	r.finish()
	return r.checker.violations, nil
}

// use lets callers work, each with its own stream of random numbers from the first
// one on, while something else happens.
func (r *run) use(ctx context.Context, stream uint64, meanwhile func(context.Context)) {
	var group sync.WaitGroup
	for i := range r.Callers {
		group.Go(func() { r.call(ctx, rand.New(rand.NewPCG(r.Seed, stream+uint64(i)))) })
	}
	group.Go(func() { r.watch(ctx) })
	meanwhile(ctx)
	group.Wait()
}

// settle checks the promises of a calm fleet, which faults in quick succession
// leave no time for: that flows open and requests are answered, and that a
// draining target gets no new flow.
func (r *run) settle() {
	ctx, cancel := context.WithTimeout(context.Background(), settleTime)
	defer cancel()
	r.use(ctx, 1<<32, func(ctx context.Context) {
		pause(ctx, inTouch+time.Second)
		var drained []*standin.Target
		for _, service := range services {
			if t := r.firstOf(service); t != nil {
				r.say("target %s drains in a calm fleet", t.ID)
				t.Drain()
				drained = append(drained, t)
			}
		}
		at := time.Now()
		pause(ctx, drainLimit+2*time.Second)
		for _, t := range drained {
			late := t.LastAccepted().Sub(at)
			r.checker.check("drain", late <= drainLimit, "%s took a new flow %s after its drain", t.ID, late)
		}
		<-ctx.Done()
	})
}

// firstOf returns a target of a service that is up, nil if there is none.
func (r *run) firstOf(service string) *standin.Target {
	for _, t := range r.targets {
		if now := t.present(); now != nil && t.service == service {
			return now
		}
	}
	return nil
}

// pause waits for a time or until the context ends.
func pause(ctx context.Context, d time.Duration) {
	select {
	case <-time.After(d):
	case <-ctx.Done():
	}
}

// start brings the fleet up.
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
	ended := func(p *process, err error) {
		r.checker.check("exit", false, "%s ended by itself: %v", p.host.Name, err)
	}
	for i := range len(services) * r.Targets {
		service := services[i%len(services)]
		agent, err := r.fleet.newProcess(r.Dir, "agent", service, i, ended)
		if err != nil {
			return err
		}
		r.fleet.agents = append(r.fleet.agents, agent)
		t := &target{index: i, service: service, agent: agent}
		r.targets = append(r.targets, t)
		if err := agent.start(); err != nil {
			return err
		}
		if err := r.revive(t); err != nil {
			return err
		}
	}
	for i := range r.Balancers {
		balancer, err := r.fleet.newProcess(r.Dir, "balancer", "", i, ended)
		if err != nil {
			return err
		}
		r.fleet.balancers = append(r.fleet.balancers, balancer)
		if err := balancer.start(); err != nil {
			return err
		}
	}
	for begun := time.Now(); r.fleet.rotate(r.client) < r.Balancers; time.Sleep(50 * time.Millisecond) {
		if time.Since(begun) > readyLimit {
			return errors.New("the fleet did not become ready")
		}
	}
	return nil
}

// revive starts the next lifetime of a target that is down.
func (r *run) revive(t *target) error {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.now != nil {
		return nil
	}
	t.life++
	ip := t.agent.host.IP
	next, err := standin.StartTarget(r.fleet.store, fmt.Sprintf("t%d-%d", t.index, t.life), t.service, t.agent.host.Zone,
		netip.AddrPortFrom(ip, r.fleet.ports.App), netip.AddrPortFrom(ip, r.fleet.ports.Outbound), targetSlots)
	if err != nil {
		return err
	}
	t.now = next
	r.mu.Lock()
	r.past = append(r.past, next)
	r.mu.Unlock()
	return nil
}

// configure publishes the next version.
func (r *run) configure() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.version += 1 + uint64(r.rng.IntN(3))
	standin.Routes(r.fleet.store, r.version, r.addr)
}

// call sends requests until the context ends.
func (r *run) call(ctx context.Context, rng *rand.Rand) {
	for number := 0; ctx.Err() == nil; number++ {
		service := services[rng.IntN(len(services))]
		long := rng.IntN(2) == 0
		count := 1
		if long {
			count = 2 + rng.IntN(20)
		}
		r.flow(ctx, rng, service, count, !long)
	}
}

// flow sends requests over one flow.
func (r *run) flow(ctx context.Context, rng *rand.Rand, service string, count int, once bool) {
	begun := time.Now()
	opening, cancel := context.WithTimeout(context.Background(), requestLimit)
	defer cancel()
	flow, err := r.caller.Open(opening, r.addr[service])
	if err != nil {
		r.record(attempt{request: r.request(rng), service: service, notRun: true, once: once})
		r.checker.check("open", !r.calmSince(begun.Add(-calm)), "no flow to %s opened in a calm fleet: %v", service, err)
		return
	}
	defer flow.Close()
	holder := ""
	for range count {
		request := r.request(rng)
		r.record(attempt{request: request, service: service, once: once})
		sent := time.Now()
		limited, cancel := context.WithTimeout(context.Background(), requestLimit)
		answer, err := flow.Request(limited, request)
		cancel()
		switch {
		case err == nil:
			r.checker.check("flow", holder == "" || holder == answer, "a flow went from %s to %s", holder, answer)
			holder = answer
			r.mu.Lock()
			r.answered++
			r.mu.Unlock()
		case errors.Is(err, standin.ErrReset):
			r.checker.check("reset", holder == "" || !r.lives(holder), "the flow of %s was reset and %s lives", request, holder)
			return
		default:
			r.checker.check("answer", !r.calmSince(sent.Add(-calm)), "no answer to %s in a calm fleet: %v", request, err)
			return
		}
		select {
		case <-time.After(time.Duration(rng.IntN(400)) * time.Millisecond):
		case <-ctx.Done():
			return
		}
	}
}

func (r *run) request(rng *rand.Rand) string {
	return fmt.Sprintf("r%x %d", rng.Uint64(), rng.IntN(20))
}

func (r *run) record(a attempt) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.attempts = append(r.attempts, a)
}

// lives reports whether a lifetime of a target still runs.
func (r *run) lives(id string) bool {
	for _, t := range r.targets {
		t.mu.Lock()
		found := t.now != nil && t.now.ID == id
		t.mu.Unlock()
		if found {
			return true
		}
	}
	return false
}

// calmSince reports whether there was no disturbance since a time.
func (r *run) calmSince(since time.Time) bool {
	r.mu.Lock()
	calm := r.storeBad.Before(since)
	r.mu.Unlock()
	for _, list := range [][]*process{r.fleet.balancers, r.fleet.agents} {
		for _, p := range list {
			calm = calm && p.calmSince(since)
		}
	}
	for _, t := range r.targets {
		t.mu.Lock()
		calm = calm && t.crashed.Before(since)
		t.mu.Unlock()
	}
	return calm
}

// watch keeps the rotation current and looks at the processes' resources.
func (r *run) watch(ctx context.Context) {
	for tick := 0; ctx.Err() == nil; tick++ {
		r.fleet.rotate(r.client)
		if tick%4 == 0 {
			for _, p := range append(r.fleet.balancers, r.fleet.agents...) {
				r.checker.resources(p.host.Name, p.id())
			}
		}
		select {
		case <-time.After(250 * time.Millisecond):
		case <-ctx.Done():
		}
	}
}

// recover ends all faults and checks that service is back.
func (r *run) recover() {
	r.fleet.store.SetFault(standin.Healthy)
	for _, p := range append(r.fleet.balancers, r.fleet.agents...) {
		p.proxy.set(passing)
		p.signal(syscall.SIGCONT)
	}
	for _, t := range r.targets {
		if err := r.revive(t); err != nil {
			r.checker.check("soak", false, "target %d does not start: %v", t.index, err)
		}
	}
	deadline := time.Now().Add(recoveryLimit)
	for _, service := range services {
		served := false
		for !served && time.Now().Before(deadline) {
			r.fleet.rotate(r.client)
			ctx, cancel := context.WithDeadline(context.Background(), deadline)
			if flow, err := r.caller.Open(ctx, r.addr[service]); err == nil {
				request := fmt.Sprintf("last-%s-%d 1", service, time.Now().UnixNano())
				r.record(attempt{request: request, service: service})
				_, err = flow.Request(ctx, request)
				served = err == nil
				flow.Close()
			}
			cancel()
		}
		r.checker.check("recovery", served, "%s is not served %s after the last fault", service, recoveryLimit)
	}
}

// finish checks what ran and prints the result.
func (r *run) finish() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, service := range services {
		var parts []map[string]int
		for _, t := range r.past {
			if t.Service == service {
				parts = append(parts, t.Requests())
			}
		}
		r.checker.runs(r.attempts, service, total(parts))
	}
	starts := 0
	for _, p := range append(r.fleet.balancers, r.fleet.agents...) {
		starts += p.starts
	}
	fmt.Fprintf(r.Out, "seed %d: %d requests, %d answered, %d starts of processes, %d calls to the store\n",
		r.Seed, len(r.attempts), r.answered, starts, r.fleet.store.Calls())
	for _, name := range r.checker.names() {
		fmt.Fprintf(r.Out, "  %-12s checked %d times\n", name, r.checker.made[name])
	}
	for _, v := range r.checker.violations {
		fmt.Fprintf(r.Out, "  BROKEN at %s: %s: %s\n", v.At, v.Check, v.Detail)
	}
}

// close ends everything that the soak started.
func (r *run) close() {
	for _, p := range append(r.fleet.balancers, r.fleet.agents...) {
		p.stop()
	}
	if r.caller != nil {
		r.caller.Close()
	}
	r.fleet.store.Close()
}
