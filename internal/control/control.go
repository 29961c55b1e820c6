// Package control runs the control plane of a process. It connects confsync and
// membership, which make the decisions, with the sockets, the configuration
// service and the clock.
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

// tickInterval is the time between two ticks of confsync and membership. Their
// timeouts are multiples of it, or much longer.
const tickInterval = 100 * time.Millisecond

// Settings configures a Control. All callbacks are called in order by one
// goroutine. A configuration or view that is replaced before its callback runs is
// skipped.
type Settings struct {
	// Host is the name of the process in the host list.
	Host string
	// Target is the target ID of an agent, 0 for a balancer.
	Target uint32
	// Incarnation must be higher than that of the previous process of this host; 0
	// selects the time of the call of New in milliseconds.
	Incarnation uint64
	// Peers are the processes queried for their revision before the first host list.
	Peers []netip.AddrPort
	// Store decides which configuration is accepted.
	Store *config.Store
	// Platform is the client of the configuration service.
	Platform Platform
	// Send sends a frame; it must not block.
	Send func(to netip.AddrPort, f *schema.Frame)
	// OnConfig receives the configuration in force.
	OnConfig func(*config.Snapshot)
	// OnView receives the view of the hosts.
	OnView func(*membership.View)
	// OnConfirmed receives false when the revision is no longer confirmed after a
	// pause of the process, and true when it is confirmed; optional.
	OnConfirmed func(bool)
	// OnRejected receives configurations and host lists that were not accepted;
	// optional.
	OnRejected func(confsync.Rejected)
	// OnLinkDoubt receives each beginning and end of doubt about the own link;
	// optional.
	OnLinkDoubt func(membership.LinkDoubt)
}

// Control is the control plane of one process. It is safe for concurrent use.
type Control struct {
	settings Settings
	reader   *configReader
	traffic  traffic
	readyCh  chan struct{}
	changed  chan struct{}
	reads    [readKinds]chan confsync.Read

	mu      sync.Mutex
	node    *node
	pending pending
}

// pending holds the arguments of callbacks that have not run, and frames to send.
type pending struct {
	snapshot  *config.Snapshot
	view      *membership.View
	confirmed []bool
	rejected  []confsync.Rejected
	doubts    []membership.LinkDoubt
	frames    []outgoingFrame
}

type outgoingFrame struct {
	to    netip.AddrPort
	frame *schema.Frame
}

// readKinds is the number of confsync read kinds; each has its own goroutine.
const readKinds = 3

// New returns a control plane, which Run starts. It returns an error if a
// required setting is missing.
func New(settings Settings) (*Control, error) {
	if settings.Host == "" || settings.Store == nil || settings.Platform == nil || settings.Send == nil {
		return nil, errors.New("control settings: host name, store, platform client or send function is missing")
	}
	if settings.Incarnation == 0 {
		settings.Incarnation = uint64(time.Now().UnixMilli())
	}
	c := &Control{
		settings: settings,
		reader:   &configReader{platform: settings.Platform},
		readyCh:  make(chan struct{}),
		changed:  make(chan struct{}, 1),
	}
	for kind := range c.reads {
		c.reads[kind] = make(chan confsync.Read, 1)
	}
	syncSettings := confsync.Settings{Host: settings.Host, Peers: settings.Peers}
	memberSettings := membership.Settings{Host: settings.Host, Incarnation: settings.Incarnation, Target: settings.Target}
	rng := rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	c.node = newNode(syncSettings, memberSettings, settings.Store, rng, (*controlSink)(c))
	return c, nil
}

// Run runs the control plane until the context ends.
func (c *Control) Run(ctx context.Context) {
	var wg sync.WaitGroup
	wg.Go(func() { c.runTicks(ctx) })
	wg.Go(func() { c.runCallbacks(ctx) })
	wg.Go(func() { c.runIndex(ctx) })
	wg.Go(func() { c.runParts(ctx) })
	wg.Go(func() { c.runHosts(ctx) })
	wg.Wait()
}

// Ready returns a channel that is closed once the process has a confirmed
// revision and its callbacks have received the configuration.
func (c *Control) Ready() <-chan struct{} { return c.readyCh }

// Announce sends the state of this process to the fleet. Control announces LIVE
// itself when the process is ready.
func (c *Control) Announce(state schema.HostState) {
	c.update(func(now time.Time) { c.node.announce(now, state) })
}

// Handles reports whether Receive processes the frame.
func Handles(f *schema.Frame) bool { return handles(f) }

// Receive handles a frame from a peer.
func (c *Control) Receive(from netip.AddrPort, f *schema.Frame) {
	c.traffic.countReceived(f)
	c.update(func(now time.Time) { c.node.receive(now, from, f) })
}

// View returns the current view of the hosts.
func (c *Control) View() *membership.View {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.node.detector.View()
}

// Traffic returns the counts of control messages and bytes since the start.
func (c *Control) Traffic() Traffic { return c.traffic.read() }

// update calls run under the lock and sends the frames of the node after
// releasing it, so that a slow socket does not hold the lock.
func (c *Control) update(run func(now time.Time)) {
	c.mu.Lock()
	run(time.Now())
	frames := c.pending.frames
	c.pending.frames = nil
	c.mu.Unlock()
	for _, out := range frames {
		c.traffic.countSent(out.frame)
		c.settings.Send(out.to, out.frame)
	}
}

func (c *Control) runTicks(ctx context.Context) {
	ticker := time.NewTicker(tickInterval)
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

// runCallbacks runs the callbacks after changes. A slow callback delays no other
// work and skips intermediate configurations and views, but never receives an
// older revision after a newer one.
func (c *Control) runCallbacks(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-c.changed:
			c.deliver()
		}
	}
}

func (c *Control) deliver() {
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
		c.deliverConfirmed(x)
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

// deliverConfirmed closes the ready channel after OnConfig has received the
// configuration, so that a process that waits for the channel has its tables.
func (c *Control) deliverConfirmed(confirmed bool) {
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

// controlSink collects the actions of the node. The caller of each method must
// hold c.mu.
type controlSink Control

func (c *controlSink) send(to netip.AddrPort, f *schema.Frame) {
	c.pending.frames = append(c.pending.frames, outgoingFrame{to, f})
}

// read passes a read to the goroutine of its kind. It drops the read if one is
// already queued: confsync starts another read only after a result or a timeout.
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
