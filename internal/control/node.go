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

// sink carries out the actions of the cores.
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

// node joins the two cores of a process. It has no goroutine and no clock of
// its own, so that tests run many of them on a virtual clock.
type node struct {
	store  confsync.Store
	sync   *confsync.Syncer
	detect *membership.Detector
	sink   sink
	// draining is set by the first announcement of LEAVING.
	draining bool
}

// newNode returns a node whose cores draw from generators of their own, so
// that the one does not depend on the calls of the other.
func newNode(sync confsync.Settings, member membership.Settings, store confsync.Store, rng *rand.Rand, out sink) *node {
	n := &node{store: store, sink: out}
	n.detect = membership.New(member, rand.New(rand.NewPCG(rng.Uint64(), 1)))
	n.sync = confsync.New(sync, store, n.detect, rand.New(rand.NewPCG(rng.Uint64(), 2)))
	return n
}

func (n *node) tick(now time.Time) {
	n.runSync(now, n.sync.Tick(now))
	n.runDetect(n.detect.Tick(now))
}

func (n *node) receive(now time.Time, from netip.AddrPort, f *schema.Frame) {
	switch body := f.GetBody().(type) {
	case *schema.Frame_Probe, *schema.Frame_ProbeReply, *schema.Frame_Announce, *schema.Frame_Verdict:
		n.runDetect(n.detect.Receive(now, from, f))
	case *schema.Frame_ConfigChunk:
		if body.ConfigChunk.GetContent() == schema.ConfigChunk_CONTENT_UNSPECIFIED {
			n.runDetect(n.detect.Receive(now, from, f))
			return
		}
		n.runSync(now, n.sync.Receive(now, from, f))
	case *schema.Frame_RevisionNote, *schema.Frame_ConfigPull, *schema.Frame_ConfigDelta:
		n.runSync(now, n.sync.Receive(now, from, f))
	}
}

// handles reports whether a frame belongs to the control traffic.
func handles(f *schema.Frame) bool { return kindOf(f) != kindOther }

func (n *node) announce(now time.Time, state schema.HostState) {
	n.draining = n.draining || state == schema.HostState_LEAVING
	n.runDetect(n.detect.Announce(now, state))
}

func (n *node) indexRead(now time.Time, index *schema.Index) {
	n.runSync(now, n.sync.IndexRead(now, index))
}

func (n *node) configRead(now time.Time, c *schema.Config) {
	n.runSync(now, n.sync.ConfigRead(now, c))
}

func (n *node) hostsRead(now time.Time, list *schema.HostList) {
	n.runSync(now, n.sync.HostsRead(now, list))
}

// runSync carries out the actions of confsync.
func (n *node) runSync(now time.Time, actions []confsync.Action) {
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
			n.runDetect(n.detect.SetHosts(now, a.Hosts))
		case confsync.SyncEvents:
			n.runDetect(n.detect.SyncWith(now, a.To))
		case confsync.Ready:
			n.ready(now)
		case confsync.Unconfirmed:
			n.sink.unconfirmed()
		case confsync.Rejected:
			n.sink.rejected(a)
		}
	}
}

// ready announces the process, unless it began to drain before.
func (n *node) ready(now time.Time) {
	n.sink.ready()
	if !n.draining {
		n.runDetect(n.detect.Announce(now, schema.HostState_LIVE))
	}
}

// runDetect carries out the actions of membership.
func (n *node) runDetect(actions []membership.Action) {
	for _, a := range actions {
		switch a := a.(type) {
		case membership.Send:
			n.sink.send(a.To, a.Frame)
		case membership.ViewChanged:
			n.sync.MembersChanged()
			n.sink.view(a.View)
		case membership.LinkDoubt:
			n.sink.linkDoubt(a)
		}
	}
}
