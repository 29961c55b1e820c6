package control

import (
	"math/rand/v2"
	"net/netip"
	"time"

	"github.com/peridotstall/peridotstall/internal/config"
	"github.com/peridotstall/peridotstall/internal/confsync"
	"github.com/peridotstall/peridotstall/internal/hostlist"
	"github.com/peridotstall/peridotstall/internal/membership"
	"github.com/peridotstall/peridotstall/internal/schema"
)

// sink carries out the actions of confsync and membership.
type sink interface {
	send(to netip.AddrPort, f *schema.Frame)
	read(r confsync.Read)
	config(s *config.Snapshot)
	hosts(s *hostlist.Set)
	view(v *membership.View)
	ready()
	unconfirmed()
	rejected(r confsync.Rejected)
	linkDoubt(d membership.LinkDoubt)
}

// node connects the Syncer and the Detector of a process. It has no goroutine and
// no clock, so that tests can run many nodes on a virtual clock.
type node struct {
	store    confsync.Store
	syncer   *confsync.Syncer
	detector *membership.Detector
	sink     sink
	// draining is set by the first announcement of LEAVING.
	draining bool
}

// newNode returns a node. The Syncer and the Detector have separate random
// generators, so that the calls of one do not change the numbers of the other.
func newNode(syncSettings confsync.Settings, memberSettings membership.Settings, store confsync.Store, rng *rand.Rand, out sink) *node {
	n := &node{store: store, sink: out}
	n.detector = membership.New(memberSettings, rand.New(rand.NewPCG(rng.Uint64(), 1)))
	n.syncer = confsync.New(syncSettings, store, n.detector, rand.New(rand.NewPCG(rng.Uint64(), 2)))
	return n
}

func (n *node) tick(now time.Time) {
	n.runSyncer(now, n.syncer.Tick(now))
	n.runDetector(n.detector.Tick(now))
}

func (n *node) receive(now time.Time, from netip.AddrPort, f *schema.Frame) {
	switch body := f.GetBody().(type) {
	case *schema.Frame_Probe, *schema.Frame_ProbeReply, *schema.Frame_Announce, *schema.Frame_Verdict:
		n.runDetector(n.detector.Receive(now, from, f))
	case *schema.Frame_ConfigChunk:
		if body.ConfigChunk.GetContent() == schema.ConfigChunk_CONTENT_UNSPECIFIED {
			n.runDetector(n.detector.Receive(now, from, f))
			return
		}
		n.runSyncer(now, n.syncer.Receive(now, from, f))
	case *schema.Frame_RevisionNote, *schema.Frame_ConfigPull, *schema.Frame_ConfigDelta:
		n.runSyncer(now, n.syncer.Receive(now, from, f))
	}
}

// handles reports whether a frame is control traffic.
func handles(f *schema.Frame) bool { return kindOf(f) != kindOther }

func (n *node) announce(now time.Time, state schema.HostState) {
	n.draining = n.draining || state == schema.HostState_LEAVING
	n.runDetector(n.detector.Announce(now, state))
}

func (n *node) indexRead(now time.Time, index *schema.Index) {
	n.runSyncer(now, n.syncer.IndexRead(now, index))
}

func (n *node) configRead(now time.Time, c *schema.Config) {
	n.runSyncer(now, n.syncer.ConfigRead(now, c))
}

func (n *node) hostsRead(now time.Time, list *schema.HostList) {
	n.runSyncer(now, n.syncer.HostsRead(now, list))
}

// runSyncer carries out the actions of confsync.
func (n *node) runSyncer(now time.Time, actions []confsync.Action) {
	for _, a := range actions {
		switch a := a.(type) {
		case confsync.Send:
			n.sink.send(a.To, a.Frame)
		case confsync.Read:
			n.sink.read(a)
		case confsync.ConfigChanged:
			n.sink.config(n.store.Current())
		case confsync.HostsChanged:
			n.sink.hosts(a.Hosts)
			n.runDetector(n.detector.SetHosts(now, a.Hosts))
		case confsync.SyncEvents:
			n.runDetector(n.detector.SyncWith(now, a.To))
		case confsync.Ready:
			n.ready(now)
		case confsync.Unconfirmed:
			n.sink.unconfirmed()
		case confsync.Rejected:
			n.sink.rejected(a)
		}
	}
}

// ready announces the process as LIVE unless it has begun to drain.
func (n *node) ready(now time.Time) {
	n.sink.ready()
	if !n.draining {
		n.runDetector(n.detector.Announce(now, schema.HostState_LIVE))
	}
}

// runDetector carries out the actions of membership.
func (n *node) runDetector(actions []membership.Action) {
	for _, a := range actions {
		switch a := a.(type) {
		case membership.Send:
			n.sink.send(a.To, a.Frame)
		case membership.ViewChanged:
			n.syncer.MembersChanged()
			n.sink.view(a.View)
		case membership.LinkDoubt:
			n.sink.linkDoubt(a)
		}
	}
}
