// Package control runs the control plane of a process: it joins the cores of
// confsync and membership with the sockets, the configuration service and the
// clock. Decisions are made in the cores.
package control

import (
	"context"
	"math/rand/v2"
	"net/netip"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/peridotstall/peridotstall/internal/config"
	"github.com/peridotstall/peridotstall/internal/confsync"
	"github.com/peridotstall/peridotstall/internal/hostlist"
	"github.com/peridotstall/peridotstall/internal/membership"
	"github.com/peridotstall/peridotstall/internal/schema"
)

// tickEvery is the period of the cores' timers. All of their times are
// multiples of it, or much longer.
const tickEvery = 100 * time.Millisecond

// Settings of a control plane. The callbacks are called by one goroutine, in
// order; a state that was replaced before it could be passed on is skipped.
type Settings struct {
	// Host is the name of the process in the host list.
	Host string
	// Target is the target ID of an agent, 0 for a balancer.
	Target uint32
	// Incarnation must be higher than that of the previous process of this
	// host; zero takes the time of the call of New in milliseconds.
	Incarnation uint64
	// Peers are asked for their revision before a host list is known.
	Peers []netip.AddrPort
	// Store decides which configuration is accepted.
	Store *config.Store
	// Platform reads from the configuration service.
	Platform Platform
	// Send sends a frame; it must not block.
	Send func(to netip.AddrPort, f *schema.Frame)
	// OnConfig receives the configuration in force.
	OnConfig func(*config.Snapshot)
	// OnView receives the view of the hosts.
	OnView func(*membership.View)
	// OnConfirmed receives false when the process was paused and its revision is
	// not confirmed any more, and true when it is again; optional.
	OnConfirmed func(bool)
	// OnRejected receives configurations that were not accepted; optional.
	OnRejected func(confsync.Rejected)
	// OnLinkDoubt receives changes of the doubt of the own link; optional.
	OnLinkDoubt func(membership.LinkDoubt)
}

// Control is the control plane of one process. It is safe for concurrent use.
type Control struct {
	settings Settings
	reader   *reader
	traffic  traffic
	readyCh  chan struct{}
	changed  chan struct{}
	reads    [readKinds]chan confsync.Read

	mu      sync.Mutex
	node    *node
	pending pending
}

// pending holds what waits for the callbacks, and frames to be sent.
type pending struct {
	snapshot  *config.Snapshot
	view      *membership.View
	confirmed []bool
	rejected  []confsync.Rejected
	doubts    []membership.LinkDoubt
	frames    []outgoing
}

type outgoing struct {
	to    netip.AddrPort
	frame *schema.Frame
}

// readKinds is the number of kinds of reads, each with a goroutine of its own.
const readKinds = 3

// New returns a control plane; Run starts it.
func New(settings Settings) (*Control, error) {
	if settings.Host == "" || settings.Store == nil || settings.Platform == nil || settings.Send == nil {
		return nil, errors.New("control needs a host name, a store, a platform client and a send function")
	}
	if settings.Incarnation == 0 {
		settings.Incarnation = uint64(time.Now().UnixMilli())
	}
	c := &Control{
		settings: settings,
		reader:   &reader{platform: settings.Platform},
		readyCh:  make(chan struct{}),
		changed:  make(chan struct{}, 1),
	}
	for kind := range c.reads {
		c.reads[kind] = make(chan confsync.Read, 1)
	}
	sync := confsync.Settings{Host: settings.Host, Peers: settings.Peers}
	member := membership.Settings{Host: settings.Host, Incarnation: settings.Incarnation, Target: settings.Target}
	rng := rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	c.node = newNode(sync, member, settings.Store, rng, (*controlSink)(c))
	return c, nil
}

// Run runs the control plane until the context ends.
func (c *Control) Run(ctx context.Context) {
	var jobs sync.WaitGroup
	jobs.Go(func() { c.runTicks(ctx) })
	jobs.Go(func() { c.runCallbacks(ctx) })
	jobs.Go(func() { c.runIndex(ctx) })
	jobs.Go(func() { c.runParts(ctx) })
	jobs.Go(func() { c.runHosts(ctx) })
	jobs.Wait()
}

// Ready is closed when the process has a confirmed revision.
func (c *Control) Ready() <-chan struct{} { return c.readyCh }

// Announce states the own state to the fleet. LIVE is announced by itself when
// the process is ready.
func (c *Control) Announce(state schema.HostState) {
	c.update(func(now time.Time) { c.node.announce(now, state) })
}

// Handles reports whether Receive takes a frame.
func Handles(f *schema.Frame) bool { return handles(f) }

// Receive takes a frame of a peer.
func (c *Control) Receive(from netip.AddrPort, f *schema.Frame) {
	c.traffic.countReceived(f)
	c.update(func(now time.Time) { c.node.receive(now, from, f) })
}

// View returns the current view of the hosts.
func (c *Control) View() *membership.View {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.node.detect.View()
}

// Traffic returns the control messages and bytes so far.
func (c *Control) Traffic() Traffic { return c.traffic.read() }

// update runs a step of the node and sends its frames afterwards, so that a
// slow socket does not hold the lock.
func (c *Control) update(step func(now time.Time)) {
	c.mu.Lock()
	step(time.Now())
	frames := c.pending.frames
	c.pending.frames = nil
	c.mu.Unlock()
	for _, out := range frames {
		c.traffic.countSent(out.frame)
		c.settings.Send(out.to, out.frame)
	}
}

func (c *Control) runTicks(ctx context.Context) {
	ticker := time.NewTicker(tickEvery)
	defer ticker.Stop()
	c.update(c.node.tick)
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			c.update(c.node.tick)
		}
	}
}

// runCallbacks passes changes on. Only the latest state counts, therefore a
// slow callback delays nothing and never sees an older revision after a newer.
func (c *Control) runCallbacks(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-c.changed:
			c.callBack()
		}
	}
}

func (c *Control) callBack() {
	c.mu.Lock()
	p := c.pending
	c.pending = pending{frames: p.frames}
	c.mu.Unlock()
	if p.snapshot != nil && c.settings.OnConfig != nil {
		c.settings.OnConfig(p.snapshot)
	}
	if p.view != nil && c.settings.OnView != nil {
		c.settings.OnView(p.view)
	}
	for _, x := range p.confirmed {
		c.confirm(x)
	}
	for _, x := range p.rejected {
		if c.settings.OnRejected != nil {
			c.settings.OnRejected(x)
		}
	}
	for _, x := range p.doubts {
		if c.settings.OnLinkDoubt != nil {
			c.settings.OnLinkDoubt(x)
		}
	}
}

// confirm closes the ready channel after the callbacks have seen the
// configuration, so that a process that waits for it has its tables.
func (c *Control) confirm(confirmed bool) {
	if confirmed {
		select {
		case <-c.readyCh:
		default:
			close(c.readyCh)
		}
	}
	if c.settings.OnConfirmed != nil {
		c.settings.OnConfirmed(confirmed)
	}
}

// controlSink collects the actions of the node; the lock is held.
type controlSink Control

func (c *controlSink) send(to netip.AddrPort, f *schema.Frame) {
	c.pending.frames = append(c.pending.frames, outgoing{to, f})
}

// read hands a read to the goroutine of its kind. The core starts another one
// only after the result or a timeout, when the earlier one is still running.
func (c *controlSink) read(r confsync.Read) {
	select {
	case c.reads[r.Kind] <- r:
	default:
	}
}

func (c *controlSink) notify() {
	select {
	case c.changed <- struct{}{}:
	default:
	}
}

func (c *controlSink) config(s *config.Snapshot) {
	c.pending.snapshot = s
	c.notify()
}

func (c *controlSink) hosts(*hostlist.Set) {}

func (c *controlSink) view(v *membership.View) {
	c.pending.view = v
	c.notify()
}

func (c *controlSink) ready() {
	c.pending.confirmed = append(c.pending.confirmed, true)
	c.notify()
}

func (c *controlSink) unconfirmed() {
	c.pending.confirmed = append(c.pending.confirmed, false)
	c.notify()
}

func (c *controlSink) rejected(r confsync.Rejected) {
	c.pending.rejected = append(c.pending.rejected, r)
	c.notify()
}

func (c *controlSink) linkDoubt(d membership.LinkDoubt) {
	c.pending.doubts = append(c.pending.doubts, d)
	c.notify()
}
