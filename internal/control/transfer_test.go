package control

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"google.golang.org/protobuf/proto"

	"github.com/peridotstall/peridotstall/internal/schema"
)

// transferFleet has a configuration of several hundred chunks, which one
// process that is not a reader pulls from its peers after a restart. It returns the process, the number
// of chunks of the content and a count of those that arrived.
func transferFleet(t *testing.T, seed uint64) (f *fleet, p *proc, content uint64, arrived func() uint64) {
	f = newFleet(t, seed, 12, 3)
	f.service.config = testConfig(1, 8000)
	f.startAll()
	f.loss = 0.005
	reads := map[*proc]bool{}
	for _, w := range f.service.watches {
		reads[w.p] = true
	}
	for _, q := range f.procs {
		if !reads[q] {
			p = q
		}
	}
	began := p.traffic.received[kindTransfer].messages.Load()
	arrived = func() uint64 { return p.traffic.received[kindTransfer].messages.Load() - began }
	return f, p, uint64(proto.Size(f.service.config) / 1200), arrived
}

// Guards against a transfer that starts over, after losses or when its source
// fails: that would take 3/4 of the content more. Windows repeated after a
// loss of 0.5% take a fifth of it.
func TestTransferResumesAfterLossAndFailedSource(t *testing.T) {
	c := qt.New(t)
	f, p, content, arrived := transferFleet(t, 18)
	served := map[string]uint64{}
	for _, q := range f.procs {
		served[q.name] = q.traffic.sent[kindTransfer].messages.Load()
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
		if q.traffic.sent[kindTransfer].messages.Load() > served[q.name]+100 {
			q.up = false
		}
	}
	took := f.until(20*time.Second, func() bool { return p.isReady })
	t.Logf("ready after %v, %d chunks received for a content of %d", took, arrived(), content)
	c.Check(took <= 20*time.Second, qt.IsTrue)
	c.Check(arrived() < content*3/2, qt.IsTrue)
}

// Guards against a transfer that never ends because new revisions appear
// before it is complete.
func TestTransferEndsWhileRevisionsAppear(t *testing.T) {
	c := qt.New(t)
	f, p, content, arrived := transferFleet(t, 27)
	p.start()
	took := f.until(10*time.Second, func() bool {
		f.service.publish()
		return p.isReady
	})
	t.Logf("ready after %v, %d chunks received for a content of %d", took, arrived(), content)
	c.Check(took <= 10*time.Second, qt.IsTrue)
	c.Check(arrived() < content*3/2, qt.IsTrue)
}

// Guards against a process that stays without news when no peer reaches it
// although the configuration service does.
func TestIsolatedProcessReadsService(t *testing.T) {
	c := qt.New(t)
	f := newFleet(t, 19, 60, 3)
	f.startAll()
	lonely := f.procs[7]
	f.cut = func(from, to *proc) bool { return from == lonely || to == lonely }
	f.run(11 * time.Second)
	revision := f.service.publish()
	c.Check(f.until(inForceLimit, f.everywhere(revision)) <= inForceLimit, qt.IsTrue)
}

// Guards against a tree that leaves out zones or processes, which the revision
// exchange would hide in a small fleet.
func TestTreeAloneReachesAllZones(t *testing.T) {
	c := qt.New(t)
	f := newFleet(t, 20, 400, 8)
	f.startAll()
	f.drop = func(frame *schema.Frame) bool { return frame.GetRevisionNote().GetReply() }
	f.service.up = false
	revision := f.service.publish()
	p := f.procs[123]
	whole := f.service.config
	f.after(p, 0, func() { p.node.configRead(f.now, whole) })
	c.Check(f.until(inForceLimit, f.everywhere(revision)) <= inForceLimit, qt.IsTrue)
	// Some of these hosts have children in the tree of their own announcement.
	for _, host := range f.procs[:40] {
		f.after(host, 0, func() { host.node.announce(f.now, schema.HostState_LEAVING) })
		took := f.until(leavingLimit, f.usableNowhere(host))
		c.Check(took <= leavingLimit, qt.IsTrue, qt.Commentf("%s", host.name))
	}
}

// Guards against a verdict of a single prober that alone cannot reach the host.
func TestOneBrokenPathCausesNoVerdict(t *testing.T) {
	c := qt.New(t)
	f := newFleet(t, 26, 60, 3)
	f.startAll()
	host := f.procs[13]
	prober := f.probersOf(host)[0]
	f.cut = func(from, to *proc) bool { return (from == host && to == prober) || (from == prober && to == host) }
	for range 200 {
		f.run(100 * time.Millisecond)
		c.Assert(f.usableEverywhere(host)(), qt.IsTrue)
	}
}
