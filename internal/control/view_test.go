package control

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/peridotstall/peridotstall/internal/hostlist"
	"github.com/peridotstall/peridotstall/internal/schema"
)

// leavingLimit is the specified time after which a leaving host gets no new
// flows.
const leavingLimit = 3 * time.Second

// failureLimit bounds the wait for a failure verdict. The design specifies no
// bound; 3 probes at 1 s, 3 s for the distribution and as much for replaced
// probers stay below it.
const failureLimit = 15 * time.Second

// usableNowhere returns a condition that reports whether no other process would
// place a flow on the host.
func (f *fleet) usableNowhere(host *proc) func() bool {
	return func() bool {
		return f.all(func(p *proc) bool { return p == host || !p.lastView.Usable(host.name) })
	}
}

// usableEverywhere returns a condition that reports whether all other processes
// would place a flow on the host.
func (f *fleet) usableEverywhere(host *proc) func() bool {
	return func() bool {
		return f.all(func(p *proc) bool { return p == host || p.lastView.Usable(host.name) })
	}
}

// falselyDead counts the running hosts that at least one other process does not
// use.
func (f *fleet) falselyDead() int {
	count := 0
	for _, h := range f.procs {
		if h.up && !f.usableEverywhere(h)() {
			count++
		}
	}
	return count
}

// Guards against new flows on a leaving host after the specified time when
// datagrams are lost, and against the LEAVING state being reverted later.
func TestLeavingHostGetsNoNewFlows(t *testing.T) {
	c := qt.New(t)
	f := newFleet(t, 21, 600, 4)
	f.startAll()
	f.loss = 0.1
	for range 3 {
		p := f.procs[f.rng.IntN(len(f.procs))]
		f.runAfter(p, 0, func() { p.node.announce(f.now, schema.HostState_LEAVING) })
		took := f.runUntil(leavingLimit, f.usableNowhere(p))
		t.Logf("%s unusable everywhere after %v", p.name, took)
		c.Check(took <= leavingLimit, qt.IsTrue)
		f.run(5 * time.Second)
		c.Check(f.usableNowhere(p)(), qt.IsTrue)
		c.Check(f.procs[0].lastView.State(p.name), qt.Equals, schema.HostState_LEAVING)
	}
}

// Guards against a paused process that resumes with a stale revision, considers
// its peers dead, or stays dead for its peers.
func TestPausedProcessRecovers(t *testing.T) {
	c := qt.New(t)
	f := newFleet(t, 22, 100, 4)
	f.startAll()
	p := f.procs[33]
	p.paused = true
	c.Check(f.runUntil(failureLimit, f.usableNowhere(p)) <= failureLimit, qt.IsTrue)
	f.run(20 * time.Second)
	revision := f.service.publish()
	f.run(2 * time.Second)
	p.paused, p.isReady = false, false
	took := f.runUntil(inForceLimit, f.inForceEverywhere(revision))
	t.Logf("revision confirmed after %v", took)
	c.Check(took <= inForceLimit, qt.IsTrue)
	took = f.runUntil(inForceLimit, f.usableEverywhere(p))
	t.Logf("usable everywhere after %v more", took)
	c.Check(took <= inForceLimit, qt.IsTrue)
	f.run(10 * time.Second)
	c.Check(f.falselyDead(), qt.Equals, 0)
}

// Guards against verdicts of processes with a faulty link: a fifth of the fleet
// sends but receives nothing, and its processes would agree that all others are
// dead.
func TestFaultyOwnLinkCausesNoVerdict(t *testing.T) {
	c := qt.New(t)
	f := newFleet(t, 23, 100, 4)
	f.startAll()
	receivesNothing := func(p *proc) bool { return p.addr.Addr().As4()[3]%5 == 0 }
	f.blocked = func(from, to *proc) bool { return receivesNothing(to) }
	f.run(12 * time.Second)
	for _, h := range f.procs {
		if receivesNothing(h) {
			c.Check(h.lastView.Doubt(), qt.IsTrue, qt.Commentf("%s", h.name))
			c.Check(h.lastView.Usable(f.procs[1].name), qt.IsTrue)
			continue
		}
		for _, p := range f.procs {
			c.Check(p.lastView.Usable(h.name), qt.IsTrue, qt.Commentf("%s at %s", h.name, p.name))
		}
	}
	f.blocked = nil
	c.Check(f.runUntil(failureLimit, func() bool { return f.falselyDead() == 0 }) <= failureLimit, qt.IsTrue)
	for _, p := range f.procs {
		c.Check(p.lastView.Doubt(), qt.IsFalse)
	}
}

// probersOf returns the processes that probe a host.
func (f *fleet) probersOf(host *proc) []*proc {
	var out []*proc
	for _, p := range f.procs {
		if p != host && p.node.detector.Probes(hostlist.IDOf(host.name)) {
			out = append(out, p)
		}
	}
	return out
}

// Guards against a failure that is not reported because the probers of the host
// fail too, and against a second failure of a restarted host being taken for the
// first.
func TestRepeatedHostFailureIsDetected(t *testing.T) {
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
	took := f.runUntil(2*failureLimit, f.usableNowhere(victim))
	t.Logf("dead everywhere after %v", took)
	c.Check(took <= 2*failureLimit, qt.IsTrue)

	for range 2 {
		victim.start()
		c.Check(f.runUntil(failureLimit, f.usableEverywhere(victim)) <= failureLimit, qt.IsTrue)
		victim.up = false
		took = f.runUntil(failureLimit, f.usableNowhere(victim))
		t.Logf("dead everywhere again after %v", took)
		c.Check(took <= failureLimit, qt.IsTrue)
	}
}

// Guards against a flood of verdicts when a whole zone fails: every process must
// stay within its byte rate while the verdicts spread.
func TestZoneFailureStaysWithinByteRate(t *testing.T) {
	c := qt.New(t)
	f := newFleet(t, 25, 480, 8)
	f.startAll()
	for _, p := range f.procs {
		p.up = p.zone != "zone-03"
	}
	worst := uint64(0)
	verdictsReceived := func() bool {
		began := f.totals()
		f.run(time.Second)
		for name, total := range f.totals() {
			worst = max(worst, total-began[name])
		}
		return f.all(func(p *proc) bool {
			for _, h := range f.procs {
				if h.up == !p.lastView.Usable(h.name) {
					return false
				}
			}
			return true
		})
	}
	took := f.runUntil(2*failureLimit, verdictsReceived)
	t.Logf("verdicts everywhere after %v, at most %d bytes per second sent and received", took, worst)
	c.Check(took <= 2*failureLimit, qt.IsTrue)
	c.Check(worst <= 26<<10, qt.IsTrue)
}

// totals returns the bytes sent and received by each process.
func (f *fleet) totals() map[string]uint64 {
	out := map[string]uint64{}
	for _, p := range f.procs {
		for k := range kindCount {
			out[p.name] += p.traffic.sent[k].bytes.Load() + p.traffic.received[k].bytes.Load()
		}
	}
	return out
}
