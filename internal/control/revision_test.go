package control

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/peridotstall/peridotstall/internal/config"
)

// inForceLimit is the specified time within which a change is in force at all
// processes.
const inForceLimit = 4 * time.Second

// advance publishes revisions until the given one is in force everywhere.
func (f *fleet) advance(c *qt.C, revision uint64) {
	for f.service.config.Revision < revision {
		next := f.service.publish()
		c.Assert(f.runUntil(inForceLimit, f.inForceEverywhere(next)) <= inForceLimit, qt.IsTrue)
	}
}

// Guards against a restarted process that accepts a stale response of the
// configuration service although its peers have a higher revision.
func TestStaleServiceAnswerDoesNotLowerRevision(t *testing.T) {
	c := qt.New(t)
	f := newFleet(t, 11, 40, 4)
	f.startAll()
	f.service.stale = f.service.config
	f.advance(c, 4)
	for i, p := range f.procs[:8] {
		f.service.staleTo[p.name] = true
		// The configuration may be read before the first host list with peers.
		f.service.slowHosts = time.Duration(i%3) * time.Second
		p.start()
		if i%2 == 1 {
			// The service responds before the peers reply.
			f.blocked = func(from, to *proc) bool { return to == p }
			f.run(1600 * time.Millisecond)
			f.blocked = nil
		}
		took := f.runUntil(10*time.Second, func() bool { return p.isReady })
		c.Check(took <= 10*time.Second, qt.IsTrue)
		c.Check(p.inForce, qt.Equals, uint64(4))
		c.Check(p.lowestRevision, qt.Equals, uint64(4))
	}
	c.Check(f.decrease, qt.Equals, "")
}

// Guards against losing the revision of the fleet when every process is restarted
// in turn while the configuration service is stale.
func TestRollingRestartWithStaleServiceKeepsRevision(t *testing.T) {
	c := qt.New(t)
	f := newFleet(t, 12, 30, 3)
	f.loss = 0.1
	f.startAll()
	f.service.stale = f.service.config
	f.advance(c, 3)
	f.service.staleTo["*"] = true
	for _, p := range f.procs {
		p.start()
		f.runUntil(20*time.Second, func() bool { return p.isReady })
	}
	c.Check(f.decrease, qt.Equals, "")
	c.Check(f.inForceEverywhere(3)(), qt.IsTrue)
}

// Guards against one side of a partition that keeps an old revision, or a process
// whose revision decreases, after the partition heals. The service of the old
// side stays stale, so only the revision exchange can correct it.
func TestPartitionHealsToHighestRevision(t *testing.T) {
	c := qt.New(t)
	f := newFleet(t, 13, 80, 4)
	f.startAll()
	side := func(p *proc) bool { return p.zone < "zone-02" }
	f.blocked = func(from, to *proc) bool { return side(from) != side(to) }
	f.service.stale = f.service.config
	for _, p := range f.procs {
		f.service.staleTo[p.name] = !side(p)
	}
	f.service.publish()
	f.service.publish()
	f.run(15 * time.Second)
	for _, p := range f.procs {
		c.Check(p.inForce == 3, qt.Equals, side(p))
	}
	f.blocked = nil
	c.Check(f.runUntil(inForceLimit, f.inForceEverywhere(3)) <= inForceLimit, qt.IsTrue)
	c.Check(f.decrease, qt.Equals, "")
}

// Guards against a process that replaces its content without a higher revision,
// and against a conflict that is not reported.
func TestSameRevisionWithOtherContentIsRejected(t *testing.T) {
	c := qt.New(t)
	f := newFleet(t, 14, 40, 2)
	f.startAll()
	f.blocked = func(from, to *proc) bool { return from.zone != to.zone }
	f.service.stale = testConfig(2, 32)
	f.service.stale.Targets[7].Slots = 9
	for _, p := range f.procs {
		f.service.staleTo[p.name] = p.zone == "zone-01"
	}
	f.service.publish()
	f.run(2 * time.Second)
	first := map[string]string{}
	for _, p := range f.procs {
		c.Check(p.inForce, qt.Equals, uint64(2))
		first[p.name] = string(p.store.Current().Digest())
	}
	f.blocked = nil
	f.run(10 * time.Second)
	conflicts := 0
	for _, p := range f.procs {
		c.Check(string(p.store.Current().Digest()), qt.Equals, first[p.name])
		for _, r := range p.rejections {
			if r.Decision == config.Conflict {
				conflicts++
			}
		}
	}
	c.Check(conflicts, qt.Equals, len(f.procs))
	clear(f.service.staleTo)
	c.Check(f.runUntil(inForceLimit, f.inForceEverywhere(f.service.publish())) <= inForceLimit, qt.IsTrue)
	for _, p := range f.procs {
		c.Check(string(p.store.Current().Digest()), qt.Equals, string(f.procs[0].store.Current().Digest()))
	}
}

// Guards against a change that does not reach every process within the limit
// while datagrams are lost and interior processes of the tree have just failed.
func TestChangeInForceWithinLimitWithService(t *testing.T) {
	c := qt.New(t)
	f := newFleet(t, 15, 600, 4)
	f.startAll()
	f.loss = 0.05
	for range 3 {
		for range 20 {
			f.procs[f.rng.IntN(len(f.procs))].up = false
		}
		took := f.runUntil(inForceLimit, f.inForceEverywhere(f.service.publish()))
		t.Logf("in force after %v", took)
		c.Check(took <= inForceLimit, qt.IsTrue)
		f.run(2 * time.Second)
	}
}

// Guards against a change that spreads only through the configuration service:
// the service fails after one process has read the change.
func TestChangeInForceWithinLimitFromOneProcess(t *testing.T) {
	c := qt.New(t)
	f := newFleet(t, 16, 600, 4)
	f.startAll()
	f.loss = 0.05
	for range 3 {
		f.service.up = false
		revision := f.service.publish()
		p := f.procs[f.rng.IntN(len(f.procs))]
		next := f.service.config
		f.runAfter(p, 0, func() { p.node.configRead(f.now, next) })
		took := f.runUntil(inForceLimit, f.inForceEverywhere(revision))
		t.Logf("in force after %v", took)
		c.Check(took <= inForceLimit, qt.IsTrue)
	}
}

// Guards against processes that keep an old host list, and against pulling the
// full list for every change.
func TestHostListReachesAllProcesses(t *testing.T) {
	c := qt.New(t)
	f := newFleet(t, 17, 200, 4)
	f.startAll()
	f.loss = 0.05
	before := f.bytes(kindConfigChunk)
	list := f.hostList(2)
	list.Hosts[20].State = 2
	f.service.publishHosts(list)
	everywhere := func() bool { return f.all(func(p *proc) bool { return p.node.syncer.Hosts().Version() == 2 }) }
	c.Check(f.runUntil(inForceLimit, everywhere) <= inForceLimit, qt.IsTrue)
	// A full list of 200 hosts is 8 KB; a change reaches a process in one datagram.
	c.Check(f.bytes(kindConfigChunk)-before < 1000*uint64(len(f.procs)), qt.IsTrue)
}

// bytes returns the bytes sent in messages of a type by all processes.
func (f *fleet) bytes(k kind) uint64 {
	var sum uint64
	for _, p := range f.procs {
		sum += p.traffic.sent[k].bytes.Load()
	}
	return sum
}
