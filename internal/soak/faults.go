package soak

import (
	"bytes"
	"context"
	"fmt"
	"net/netip"
	"slices"
	"syscall"
	"time"

	"github.com/peridotstall/peridotstall/platform/standin"
)

// injectFaults injects faults until ctx is done. Faults overlap: the next one may
// begin before the previous one ends.
func (r *run) injectFaults(ctx context.Context) {
	r.returnCold(ctx, services[r.Seed%uint64(len(services))], time.Second)
	for ctx.Err() == nil {
		r.mu.Lock()
		kind, gap := r.rng.IntN(faultKindCount), time.Duration(200+r.rng.IntN(2500))*time.Millisecond
		duration := 200*time.Millisecond + time.Duration(r.rng.Int64N(int64(faultDurationRange)))
		selector, variant := r.rng.IntN(1<<20), r.rng.IntN(1<<20)
		r.mu.Unlock()
		r.inject(ctx, kind, selector, variant, duration)
		select {
		case <-time.After(gap):
		case <-ctx.Done():
		}
	}
}

// faultKindCount is the number of cases of inject.
const faultKindCount = 17

// inject starts a fault of the given kind. The selector chooses the process or
// target, the variant its form; temporary faults end after the duration.
func (r *run) inject(ctx context.Context, kind, selector, variant int, duration time.Duration) {
	all := append(append([]*process(nil), r.fleet.balancers...), r.fleet.agents...)
	p := all[selector%len(all)]
	t := r.targets[selector%len(r.targets)]
	switch kind {
	case 0:
		r.logf("kill %s", p.host.Name)
		p.signal(syscall.SIGKILL)
	case 1:
		r.logf("stop %s", p.host.Name)
		p.signal(syscall.SIGTERM)
	case 2:
		r.logf("pause %s for %s", p.host.Name, duration)
		p.signal(syscall.SIGSTOP)
		r.schedule(duration, func() { p.signal(syscall.SIGCONT) })
	case 3:
		r.logf("reload %s", p.host.Name)
		p.signal(syscall.SIGHUP)
	case 4:
		m := mode(1 + variant%(int(modeCount)-1))
		r.logf("connections of %s to the store are %s for %s", p.host.Name, modeNames[m], duration)
		p.markDisturbed()
		r.setProxy(p, m)
		r.schedule(duration, func() { p.markDisturbed(); r.setProxy(p, passing) })
	case 5:
		fault := standin.Fault(1 + variant%3)
		r.logf("store fault %d for %s", fault, duration)
		r.markStoreDisturbed()
		r.fleet.store.SetFault(fault)
		r.schedule(duration, func() { r.markStoreDisturbed(); r.fleet.store.SetFault(standin.Healthy) })
	case 6:
		r.logf("store drops its history")
		r.markStoreDisturbed()
		r.fleet.store.DropHistory()
	case 12:
		r.logf("copy of the store; it is restored from it in %s", duration)
		c := r.fleet.store.Copy()
		r.schedule(duration, func() { r.restoreStore(c) })
	case 13:
		r.writeForeignEntry(t, variant, duration)
	case 7, 8:
		r.logf("configuration changes")
		r.configure()
	case 9:
		r.crashTarget(t, duration)
	case 10:
		r.replaceTarget(ctx, t)
	case 14:
		if zone := r.targets[selector%len(r.targets)].agent.host.Zone; r.canEvacuate(zone) {
			r.evacuate(zone)
			if variant%2 == 0 {
				r.schedule(duration, r.takeBack)
			}
		}
	case 15:
		if zone := r.targets[selector%len(r.targets)].agent.host.Zone; r.canEvacuate(zone) {
			r.evacuateRepeatedly(zone, 2+variant%4)
		}
	case 16:
		r.returnCold(ctx, t.service, duration)
	case 11:
		r.logf("kill half of all processes")
		for i, p := range all {
			if i%2 == variant%2 {
				p.signal(syscall.SIGKILL)
			}
		}
	}
}

// setProxy changes the mode of a process's proxy.
func (r *run) setProxy(p *process, m mode) {
	if err := p.proxy.set(m); err != nil {
		r.checker.check("soak", false, "the proxy of %s does not become %s: %v", p.host.Name, modeNames[m], err)
	}
}

// writeForeignEntry writes an entry of another writer for the host of a target, with a later
// start, and removes it after a time. It disturbs nothing: no check is relaxed for it.
func (r *run) writeForeignEntry(t *target, variant int, duration time.Duration) {
	host := t.agent.host
	other := services[(slices.Index(services, t.service)+1)%len(services)]
	entry := standin.Entry{
		Service: t.service, Address: netip.AddrPortFrom(host.IP, host.Ports.App), Zone: host.Zone, Slots: 3, State: "ready", Sequence: 1,
		Born: time.Now().Add(time.Second).UnixMilli(),
	}
	otherPort := netip.AddrPortFrom(host.IP, host.Ports.App+1)
	const unreadable = "that cannot be read"
	kinds := []struct {
		name   string
		change func()
	}{
		{"of an unnamed service", func() { entry.Service, entry.Address = "exporter", otherPort }},
		{"of an unnamed service at its address", func() { entry.Service = "exporter" }},
		{"of another service", func() { entry.Service, entry.Address = other, otherPort }},
		{"of another service at its address", func() { entry.Service = other }},
		{"of its service at another port", func() { entry.Address = otherPort }},
		{"without some fields", func() { entry.Partial = true }},
		{unreadable, func() {}},
	}
	kind := kinds[variant%len(kinds)]
	kind.change()
	r.logf("entry %s on the host of target %d for %s", kind.name, t.index, duration)
	id := fmt.Sprintf("foreign-%d", variant)
	if kind.name == unreadable {
		standin.PutValue(r.fleet.store, id, bytes.Repeat([]byte{0xff}, 1<<20))
	} else {
		standin.PutEntry(r.fleet.store, id, entry)
	}
	r.schedule(duration, func() { standin.DeleteEntry(r.fleet.store, id) })
}

// restoreStore restores the store from a copy. The operator and the targets write again what
// it has lost.
func (r *run) restoreStore(c standin.Copy) {
	r.logf("store is restored from its copy")
	r.markStoreDisturbed()
	r.fleet.store.Restore(c)
	r.mu.Lock()
	standin.PutRoutesWithWarmup(r.fleet.store, r.version, r.addr, warmup)
	started := slices.Clone(r.startedTargets)
	r.mu.Unlock()
	r.writeEvacuations()
	for _, t := range r.targets {
		if current := t.currentTarget(); current != nil {
			current.Publish()
		}
	}
	// Entries of targets that have ended expire.
	for _, old := range started {
		if !slices.ContainsFunc(r.targets, func(t *target) bool { return t.currentTarget() == old }) {
			old.Unpublish()
		}
	}
}

func (r *run) logf(format string, args ...any) {
	fmt.Fprintf(r.Out, "  %8s  %s\n", time.Since(r.checker.started).Round(time.Millisecond), fmt.Sprintf(format, args...))
}

// schedule runs a task after a delay.
func (r *run) schedule(d time.Duration, task func()) { time.AfterFunc(d, task) }

func (r *run) markStoreDisturbed() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.storeDisturbedAt = time.Now()
}

// crash ends an incarnation of the target without a drain. It reports whether the
// incarnation was the current one.
func (t *target) crash(expected *standin.Target) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if expected == nil || t.current != expected {
		return false
	}
	// Crash releases the address before another goroutine can see that the target
	// is down and start the next incarnation.
	expected.Crash()
	t.current, t.crashed = nil, time.Now()
	return true
}

// currentTarget returns the current incarnation, or nil while the target is down.
func (t *target) currentTarget() *standin.Target {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.current
}

// crashTarget ends a target without a drain and starts its next incarnation after
// the downtime.
func (r *run) crashTarget(t *target, downtime time.Duration) {
	old := t.currentTarget()
	if !t.crash(old) {
		return
	}
	r.logf("target %s crashes for %s", old.ID, downtime)
	r.schedule(downtime, func() { r.restartTarget(t, old) })
}

// replaceTarget drains a target, checks that it gets no new flow, and starts its
// next incarnation.
func (r *run) replaceTarget(ctx context.Context, t *target) {
	old := t.currentTarget()
	if old == nil {
		return
	}
	r.logf("target %s drains", old.ID)
	drained := time.Now()
	old.Drain()
	r.schedule(drainTimeout+time.Second, func() {
		if r.calmSince(drained.Add(-calmWindow)) {
			late := old.LastAccepted().Sub(drained)
			r.checker.check("drain", late <= drainTimeout, "%s accepted a new flow %s after its drain", old.ID, late)
		}
		if ctx.Err() == nil && t.crash(old) {
			r.restartTarget(t, old)
		}
	})
}

// restartTarget removes the store entry of an ended incarnation and starts the
// next one.
func (r *run) restartTarget(t *target, old *standin.Target) {
	old.Unpublish()
	if err := r.startTarget(t); err != nil {
		r.checker.check("soak", false, "target %d does not start: %v", t.index, err)
	}
}
