package soak

import (
	"context"
	"fmt"
	"syscall"
	"time"

	"github.com/peridotstall/peridotstall/platform/standin"
)

// disturb injects faults until the context ends. Faults overlap: each runs in a
// task of its own and the next may begin before it ends.
func (r *run) disturb(ctx context.Context) {
	for ctx.Err() == nil {
		r.mu.Lock()
		kind, gap := r.rng.IntN(faultKinds), time.Duration(200+r.rng.IntN(2500))*time.Millisecond
		lasts := 200*time.Millisecond + time.Duration(r.rng.Int64N(int64(pauseMax)))
		who, how := r.rng.IntN(1<<20), r.rng.IntN(1<<20)
		r.mu.Unlock()
		r.inject(ctx, kind, who, how, lasts)
		select {
		case <-time.After(gap):
		case <-ctx.Done():
		}
	}
}

// faultKinds is the number of cases of inject.
const faultKinds = 12

// inject begins one fault.
func (r *run) inject(ctx context.Context, kind, who, how int, lasts time.Duration) {
	all := append(append([]*process(nil), r.fleet.balancers...), r.fleet.agents...)
	p := all[who%len(all)]
	t := r.targets[who%len(r.targets)]
	switch kind {
	case 0:
		r.say("kill %s", p.host.Name)
		p.signal(syscall.SIGKILL)
	case 1:
		r.say("stop %s", p.host.Name)
		p.signal(syscall.SIGTERM)
	case 2:
		r.say("pause %s for %s", p.host.Name, lasts)
		p.signal(syscall.SIGSTOP)
		r.later(lasts, func() { p.signal(syscall.SIGCONT) })
	case 3:
		r.say("reload %s", p.host.Name)
		p.signal(syscall.SIGHUP)
	case 4:
		m := mode(1 + how%(int(modeCount)-1))
		r.say("connections of %s to the store are %s for %s", p.host.Name, modeNames[m], lasts)
		p.touch()
		p.proxy.set(m)
		r.later(lasts, func() { p.touch(); p.proxy.set(passing) })
	case 5:
		fault := standin.Fault(1 + how%3)
		r.say("store fault %d for %s", fault, lasts)
		r.storeDisturbed()
		r.fleet.store.SetFault(fault)
		r.later(lasts, func() { r.storeDisturbed(); r.fleet.store.SetFault(standin.Healthy) })
	case 6:
		r.say("store forgets its history")
		r.storeDisturbed()
		r.fleet.store.Forget()
	case 7, 8:
		r.say("configuration changes")
		r.configure()
	case 9:
		r.crash(t, lasts)
	case 10:
		r.replace(ctx, t)
	case 11:
		r.say("kill half of all processes")
		for i, p := range all {
			if i%2 == how%2 {
				p.signal(syscall.SIGKILL)
			}
		}
	}
}

func (r *run) say(format string, args ...any) {
	fmt.Fprintf(r.Out, "  %8s  %s\n", time.Since(r.checker.begun).Round(time.Millisecond), fmt.Sprintf(format, args...))
}

// later runs a task after a time.
func (r *run) later(d time.Duration, task func()) { time.AfterFunc(d, task) }

func (r *run) storeDisturbed() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.storeBad = time.Now()
}

// end ends a lifetime of the target without a word; false when it is not the
// present one.
func (t *target) end(which *standin.Target) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if which == nil || t.now != which {
		return false
	}
	// The address is free before another task sees that the target is down.
	which.Crash()
	t.now, t.crashed = nil, time.Now()
	return true
}

// present returns the present lifetime, nil while the target is down.
func (t *target) present() *standin.Target {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.now
}

// crash ends a target without a word and starts its next lifetime later.
func (r *run) crash(t *target, lasts time.Duration) {
	old := t.present()
	if !t.end(old) {
		return
	}
	r.say("target %s crashes for %s", old.ID, lasts)
	r.later(lasts, func() { r.restart(t, old) })
}

// replace drains a target, checks that it gets no new flow, and starts another
// lifetime at its place.
func (r *run) replace(ctx context.Context, t *target) {
	old := t.present()
	if old == nil {
		return
	}
	r.say("target %s drains", old.ID)
	drained := time.Now()
	old.Drain()
	r.later(drainLimit+time.Second, func() {
		if r.calmSince(drained.Add(-inTouch)) {
			late := old.LastAccepted().Sub(drained)
			r.checker.check("drain", late <= drainLimit, "%s took a new flow %s after its drain", old.ID, late)
		}
		if ctx.Err() == nil && t.end(old) {
			r.restart(t, old)
		}
	})
}

// restart removes the entry of an ended target and starts the next one.
func (r *run) restart(t *target, old *standin.Target) {
	old.Unpublish()
	if err := r.revive(t); err != nil {
		r.checker.check("soak", false, "target %d does not start: %v", t.index, err)
	}
}
