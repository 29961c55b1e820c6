package control

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/peridotstall/peridotstall/internal/hostlist"
	"github.com/peridotstall/peridotstall/internal/schema"
)

// leavingLimit is the stated time after which a leaving host gets no new flows.
const leavingLimit = 3 * time.Second

// failureLimit bounds the wait for a failure verdict. The design states no
// bound; 3 probes at 1 s, 3 s for the spread and as much for replaced probers
// stay below it.
const failureLimit = 15 * time.Second

// usableNowhere reports whether no other process would place a flow on the host.
func (f *fleet) usableNowhere(host *proc) func() bool {
	return func() bool {
		return f.all(func(p *proc) bool { return p == host || !p.seen.Usable(host.name) })
	}
}

// usableEverywhere reports whether all others would place a flow on the host.
func (f *fleet) usableEverywhere(host *proc) func() bool {
	return func() bool {
		return f.all(func(p *proc) bool { return p == host || p.seen.Usable(host.name) })
	}
}

// falselyDead counts the running hosts that another process does not use.
func (f *fleet) falselyDead() int {
	count := 0
	for _, h := range f.procs {
		if h.up && !f.usableEverywhere(h)() {
			count++
		}
	}
	return count
}

// Guards against new flows on a leaving host after the stated time, although
// datagrams are lost, and against a state that is lost again later.
func TestLeavingHostGetsNoNewFlows(t *testing.T) {
	c := qt.New(t)
	f := newFleet(t, 21, 600, 4)
	f.startAll()
	f.loss = 0.1
	for range 3 {
		p := f.procs[f.rng.IntN(len(f.procs))]
		f.after(p, 0, func() { p.node.announce(f.now, schema.HostState_LEAVING) })
		took := f.until(leavingLimit, f.usableNowhere(p))
		t.Logf("%s unusable everywhere after %v", p.name, took)
		c.Check(took <= leavingLimit, qt.IsTrue)
		f.run(5 * time.Second)
		c.Check(f.usableNowhere(p)(), qt.IsTrue)
		c.Check(f.procs[0].seen.State(p.name), qt.Equals, schema.HostState_LEAVING)
	}
}

// Guards against a process that was paused and goes on with a stale revision,
// takes its peers for dead, or stays dead for the others.
func TestPauseAndLateWakeUp(t *testing.T) {
	c := qt.New(t)
	f := newFleet(t, 22, 100, 4)
	f.startAll()
	p := f.procs[33]
	p.paused = true
	c.Check(f.until(failureLimit, f.usableNowhere(p)) <= failureLimit, qt.IsTrue)
	f.run(20 * time.Second)
	revision := f.service.publish()
	f.run(2 * time.Second)
	p.paused, p.isReady = false, false
	took := f.until(inForceLimit, f.everywhere(revision))
	t.Logf("revision confirmed after %v", took)
	c.Check(took <= inForceLimit, qt.IsTrue)
	took = f.until(inForceLimit, f.usableEverywhere(p))
	t.Logf("usable everywhere after %v more", took)
	c.Check(took <= inForceLimit, qt.IsTrue)
	f.run(10 * time.Second)
	c.Check(f.falselyDead(), qt.Equals, 0)
}

// Guards against verdicts of processes whose own link is faulty: a fifth of
// the fleet sends but receives nothing, and would agree that everyone is dead.
func TestFaultyOwnLinkCausesNoVerdict(t *testing.T) {
	c := qt.New(t)
	f := newFleet(t, 23, 100, 4)
	f.startAll()
	deaf := func(p *proc) bool { return p.addr.Addr().As4()[3]%5 == 0 }
	f.cut = func(from, to *proc) bool { return deaf(to) }
	f.run(12 * time.Second)
	for _, h := range f.procs {
		if deaf(h) {
			c.Check(h.seen.Doubt(), qt.IsTrue, qt.Commentf("%s", h.name))
			c.Check(h.seen.Usable(f.procs[1].name), qt.IsTrue)
			continue
		}
		for _, p := range f.procs {
			c.Check(p.seen.Usable(h.name), qt.IsTrue, qt.Commentf("%s at %s", h.name, p.name))
		}
	}
	f.cut = nil
	c.Check(f.until(failureLimit, func() bool { return f.falselyDead() == 0 }) <= failureLimit, qt.IsTrue)
	for _, p := range f.procs {
		c.Check(p.seen.Doubt(), qt.IsFalse)
	}
}

// probersOf returns the processes that probe a host, as the cores choose them.
func (f *fleet) probersOf(host *proc) []*proc {
	var out []*proc
	for _, p := range f.procs {
		if p != host && p.node.detect.Probes(hostlist.IDOf(host.name)) {
			out = append(out, p)
		}
	}
	return out
}

// Guards against a failure that nobody reports because the probers of the host
// fail too, and against a second failure of a restarted host that is taken for
// the first.
func TestDeathTwiceInARow(t *testing.T) {
	c := qt.New(t)
	f := newFleet(t, 24, 100, 4)
	f.startAll()
	victim := f.procs[50]
	probers := f.probersOf(victim)
	c.Assert(probers, qt.HasLen, 3)
	victim.up = false
	f.run(time.Second)
	for _, p := range probers {
		p.up = false
	}
	took := f.until(2*failureLimit, f.usableNowhere(victim))
	t.Logf("dead everywhere after %v", took)
	c.Check(took <= 2*failureLimit, qt.IsTrue)

	for range 2 {
		victim.start()
		c.Check(f.until(failureLimit, f.usableEverywhere(victim)) <= failureLimit, qt.IsTrue)
		victim.up = false
		took = f.until(failureLimit, f.usableNowhere(victim))
		t.Logf("dead everywhere again after %v", took)
		c.Check(took <= failureLimit, qt.IsTrue)
	}
}

// Guards against verdicts that drown in their own number: a whole zone fails,
// and every process stays within its byte rate while it learns of it.
func TestZoneFailureStaysInsideByteBudget(t *testing.T) {
	c := qt.New(t)
	f := newFleet(t, 25, 480, 8)
	f.startAll()
	for _, p := range f.procs {
		p.up = p.zone != "zone-03"
	}
	worst := uint64(0)
	learned := func() bool {
		began := f.totals()
		f.run(time.Second)
		for name, total := range f.totals() {
			worst = max(worst, total-began[name])
		}
		return f.all(func(p *proc) bool {
			for _, h := range f.procs {
				if h.up == !p.seen.Usable(h.name) {
					return false
				}
			}
			return true
		})
	}
	took := f.until(2*failureLimit, learned)
	t.Logf("learned after %v, at most %d bytes a second sent and received", took, worst)
	c.Check(took <= 2*failureLimit, qt.IsTrue)
	c.Check(worst <= 26<<10, qt.IsTrue)
}

// totals returns the bytes sent and received by each running process.
func (f *fleet) totals() map[string]uint64 {
	out := map[string]uint64{}
	for _, p := range f.procs {
		for k := range kindCount {
			out[p.name] += p.traffic.sent[k].bytes.Load() + p.traffic.received[k].bytes.Load()
		}
	}
	return out
}
