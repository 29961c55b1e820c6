package control

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"google.golang.org/protobuf/proto"

	"github.com/peridotstall/peridotstall/internal/schema"
)

// transferFleet returns a fleet with a configuration of several hundred chunks
// and a process that is not a reader, which pulls it from its peers after a
// restart. It also returns the number of chunks of the content and a function
// that counts the chunks received by the process.
func transferFleet(t *testing.T, seed uint64) (f *fleet, p *proc, content uint64, arrived func() uint64) {
	f = newFleet(t, seed, 12, 3)
	f.service.config = testConfig(1, 8000)
	f.startAll()
	f.loss = 0.005
	readers := map[*proc]bool{}
	for _, w := range f.service.watches {
		readers[w.p] = true
	}
	for _, q := range f.procs {
		if !readers[q] {
			p = q
		}
	}
	began := p.traffic.received[kindConfigChunk].messages.Load()
	arrived = func() uint64 { return p.traffic.received[kindConfigChunk].messages.Load() - began }
	return f, p, uint64(proto.Size(f.service.config) / 1200), arrived
}

// Guards against a transfer that starts over after losses or a failed source,
// which would take another 3/4 of the content. At a loss of 0.5%, repeated
// windows take a fifth of the content.
func TestTransferResumesAfterLossAndFailedSource(t *testing.T) {
	c := qt.New(t)
	f, p, content, arrived := transferFleet(t, 18)
	served := map[string]uint64{}
	for _, q := range f.procs {
		served[q.name] = q.traffic.sent[kindConfigChunk].messages.Load()
	}
	f.service.up = false
	p.start()
	for range 10_000 {
		if f.run(time.Millisecond); arrived() > content*3/4 {
			break
		}
	}
	c.Assert(p.isReady, qt.IsFalse)
	for _, q := range f.procs {
		if q.traffic.sent[kindConfigChunk].messages.Load() > served[q.name]+100 {
			q.up = false
		}
	}
	took := f.runUntil(20*time.Second, func() bool { return p.isReady })
	t.Logf("ready after %v, %d chunks received for a content of %d", took, arrived(), content)
	c.Check(took <= 20*time.Second, qt.IsTrue)
	c.Check(arrived() < content*3/2, qt.IsTrue)
}

// Guards against a transfer that never completes because new revisions are
// published faster than it runs.
func TestTransferCompletesDuringPublications(t *testing.T) {
	c := qt.New(t)
	f, p, content, arrived := transferFleet(t, 27)
	p.start()
	took := f.runUntil(10*time.Second, func() bool {
		f.service.publish()
		return p.isReady
	})
	t.Logf("ready after %v, %d chunks received for a content of %d", took, arrived(), content)
	c.Check(took <= 10*time.Second, qt.IsTrue)
	c.Check(arrived() < content*3/2, qt.IsTrue)
}

// Guards against a process that gets no changes when it reaches the configuration
// service but no peer.
func TestIsolatedProcessReadsService(t *testing.T) {
	c := qt.New(t)
	f := newFleet(t, 19, 60, 3)
	f.startAll()
	isolated := f.procs[7]
	f.blocked = func(from, to *proc) bool { return from == isolated || to == isolated }
	f.run(11 * time.Second)
	revision := f.service.publish()
	c.Check(f.runUntil(inForceLimit, f.inForceEverywhere(revision)) <= inForceLimit, qt.IsTrue)
}

// Guards against a distribution tree that leaves out zones or processes. In a
// small fleet the revision exchange would hide this.
func TestTreeAloneReachesAllZones(t *testing.T) {
	c := qt.New(t)
	f := newFleet(t, 20, 400, 8)
	f.startAll()
	f.drop = func(frame *schema.Frame) bool { return frame.GetRevisionNote().GetReply() }
	f.service.up = false
	revision := f.service.publish()
	p := f.procs[123]
	whole := f.service.config
	f.runAfter(p, 0, func() { p.node.configRead(f.now, whole) })
	c.Check(f.runUntil(inForceLimit, f.inForceEverywhere(revision)) <= inForceLimit, qt.IsTrue)
	// Some of these hosts have children in the tree of their own announcement.
	for _, host := range f.procs[:40] {
		f.runAfter(host, 0, func() { host.node.announce(f.now, schema.HostState_LEAVING) })
		took := f.runUntil(leavingLimit, f.usableNowhere(host))
		c.Check(took <= leavingLimit, qt.IsTrue, qt.Commentf("%s", host.name))
	}
}

// Guards against a failure verdict by a single prober whose path to the host is
// broken.
func TestOneBrokenPathCausesNoVerdict(t *testing.T) {
	c := qt.New(t)
	f := newFleet(t, 26, 60, 3)
	f.startAll()
	host := f.procs[13]
	prober := f.probersOf(host)[0]
	f.blocked = func(from, to *proc) bool { return (from == host && to == prober) || (from == prober && to == host) }
	for range 200 {
		f.run(100 * time.Millisecond)
		c.Assert(f.usableEverywhere(host)(), qt.IsTrue)
	}
}
