package segnode

import (
	"context"
	"math"
	"math/rand/v2"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/peridotstall/peridotstall/internal/peers"
	"github.com/peridotstall/peridotstall/internal/registry"
	"github.com/peridotstall/peridotstall/internal/segment"
	"github.com/peridotstall/peridotstall/internal/steering"
	"github.com/peridotstall/peridotstall/internal/telemetry"
)

const (
	// pingInterval is the time between two pings to an agent: three fit into
	// the time after which its target is doubted.
	pingInterval = 300 * time.Millisecond
	// describeEvery is the number of pings after which an agent is told again what
	// is published of its target: every 3 s, since it changes rarely.
	describeEvery = 10
	// quietStop is the time without a segment after which a stopping balancer
	// ends: one and a half intervals of the fabric's readiness checks.
	quietStop = 750 * time.Millisecond
	// leastStop is the least time that a stopping balancer stays, until the
	// fabric has seen two failed readiness checks.
	leastStop = 1300 * time.Millisecond
	// meanSegment is the mean size of a segment in bytes that a host with a small
	// link has to reckon with: uploads fill their segments.
	meanSegment = 1200
	// segmentCost is the processor time of forwarding one segment.
	segmentCost = 25 * time.Microsecond
	// maxReports bounds the messages of agents that wait for the forwarding task.
	maxReports = 1024
)

// BalancerOptions are the settings of a balancer.
type BalancerOptions struct {
	Common
	// AgentLinkPort is the port at which agents take control datagrams.
	AgentLinkPort uint16
	// Seeds are control addresses of balancers; they may be wrong or down.
	Seeds  []netip.AddrPort
	Source Source
	// LinkRate is the rate of the host's link in bytes a second, Cores the share
	// of the processor.
	LinkRate, Cores float64
}

// capacity returns the number of segments a second that the host can forward.
func (o *BalancerOptions) capacity() uint32 {
	return uint32(min(o.LinkRate/meanSegment, o.Cores/segmentCost.Seconds(), math.MaxUint32))
}

// flowReport is what an agent says of flows.
type flowReport struct {
	flows []segment.Flow
	// target holds the flows; nil if they were denied.
	target *steering.Target
	// recalled says that this balancer forwarded them before it was restarted;
	// otherwise they answer a search.
	recalled bool
	// denied is the host of an agent whose target does not hold the flows.
	denied netip.Addr
}

// Balancer is the process that the fabric hands callers' segments to.
type Balancer struct {
	options     BalancerOptions
	clock       clock
	incarnation uint64
	packets     *net.UDPConn
	link        *net.UDPConn
	rpc         net.Listener
	metrics     *telemetry.SegmentMetrics
	out         transmitter

	// engine belongs to the forwarding task.
	engine *steering.Engine
	view   atomic.Pointer[steering.View]
	// confirmed says that the view is the newest one.
	confirmed atomic.Bool
	// relief says that most balancers in rotation have a much larger link.
	relief  atomic.Bool
	doubt   atomic.Bool
	reports chan flowReport
	// held are segments whose owner is searched; they belong to the forwarding task.
	held heldSegments
	// lastPacket is the time of the last segment of a caller.
	lastPacket atomic.Int64

	mu       sync.Mutex
	peers    *peers.Set
	registry *registry.Registry
	pinged   time.Duration
	// pings counts the rounds of pings; it belongs to the control task.
	pings   int
	pulling bool
	reading context.CancelFunc
	known   bool

	tasks
	ctx    context.Context
	cancel context.CancelFunc
}

// StartBalancer starts a balancer.
func StartBalancer(options BalancerOptions) (*Balancer, error) {
	b := &Balancer{
		options: options, clock: newClock(), incarnation: rand.Uint64(), engine: steering.New(options.Zone, options.LinkRate),
		reports: make(chan flowReport, maxReports), held: newHeldSegments(), registry: registry.New(), tasks: newTasks(),
		metrics: telemetry.NewSegmentMetrics("balancer/"+options.Host, steering.ReasonNames()...),
	}
	b.out = transmitter{options.Logger, b.metrics}
	b.peers = peers.New(b.clock.now(), peers.Self{Address: options.Link, Zone: options.Zone, Capacity: options.capacity()}, options.Seeds)
	b.ctx, b.cancel = context.WithCancel(context.Background())
	var err error
	if b.packets, err = listen(options.Packets); err != nil {
		return nil, err
	}
	if b.link, err = listen(options.Link); err != nil {
		b.packets.Close()
		return nil, err
	}
	if b.rpc, err = b.serveRPC(options.Link); err != nil {
		b.packets.Close()
		b.link.Close()
		return nil, err
	}
	b.run(func() error { return receive(b.packets, b.clock, b.segment, b.tickForwarding, b.engine.NextOverdue) })
	b.run(func() error { return receive(b.link, b.clock, b.control, b.tickControl, nil) })
	return b, nil
}

// Ready reports whether the fabric should hand segments to this balancer.
func (b *Balancer) Ready() bool {
	view := b.view.Load()
	if view == nil || view.Version == 0 || view.Revision == 0 {
		return false
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.peers.InRotation(b.clock.now()) && !b.doubt.Load()
}

// segment handles a datagram of a caller or one that an agent handed back.
func (b *Balancer) segment(data []byte, from netip.AddrPort) {
	head, ok := b.options.Codec.Parse(data)
	if !ok {
		b.metrics.Malformed.Inc()
		return
	}
	now := b.clock.now()
	b.takeReports(now)
	var verdict steering.Verdict
	if head.Returned {
		b.metrics.Returned.Inc()
		verdict = b.engine.Returned(now, from.Addr(), head)
	} else {
		b.lastPacket.Store(int64(now))
		b.metrics.Requests.Inc()
		verdict = b.engine.Segment(now, head)
	}
	b.carryOut(now, data, head, &verdict)
}

// carryOut does what a verdict says.
func (b *Balancer) carryOut(now time.Duration, data []byte, head segment.Head, verdict *steering.Verdict) {
	b.metrics.Reason(int(verdict.Reason)).Inc()
	switch verdict.Action {
	case steering.Forward:
		for _, t := range verdict.Targets() {
			b.options.Codec.Forwardable(data, verdict.Note(t))
			b.out.datagram(b.packets, data, t.Agent)
		}
		b.metrics.Forwarded.Inc()
	case steering.Hold:
		b.hold(verdict.Flow, data)
	case steering.Query:
		b.hold(verdict.Flow, data)
		b.query(verdict)
	case steering.Reset:
		reset := b.options.Codec.Reset(data)
		b.out.datagram(b.packets, reset, netip.AddrPortFrom(head.Source.AddrPort().Addr(), b.options.Packets.Port()))
		b.metrics.Resets.Inc()
	}
	b.logVerdict(now, head, verdict)
}

// logVerdict writes a line for each decision but that to use a known target.
func (b *Balancer) logVerdict(now time.Duration, head segment.Head, verdict *steering.Verdict) {
	event := telemetry.FlowDecided
	switch {
	case verdict.Reason == steering.Known:
		return
	case verdict.Reason == steering.Searching && (verdict.Action == steering.Hold || verdict.Action == steering.Drop):
		return
	case verdict.Reason == steering.Opened:
		event = telemetry.FlowPlaced
	case verdict.Action == steering.Reset:
		event = telemetry.FlowReset
	}
	if !b.options.Logger.Allow(event) {
		return
	}
	fields := []any{"flow", verdict.Flow.String(), "reason", verdict.Reason.String(), "copy", head.Copy,
		"attempt", verdict.Attempt}
	if targets := verdict.Targets(); len(targets) > 0 {
		t := targets[0]
		fields = append(fields, "target", t.Info.ID, "targets", len(targets), "pending", t.Pending(),
			"report_age", t.ReportAge(now).Round(time.Millisecond))
	}
	if view := b.engine.View(); view != nil {
		fields = append(fields, "version", view.Version, "revision", view.Revision)
	}
	b.options.Logger.Log(event, fields...)
}

// takeReports acts on what agents said of flows.
func (b *Balancer) takeReports(now time.Duration) {
	for len(b.reports) > 0 {
		r := <-b.reports
		if r.recalled {
			r.target.SetRecalled()
		}
		for _, flow := range r.flows {
			if r.target == nil {
				b.takeDenial(now, flow, r.denied)
			} else {
				b.takeOwner(now, flow, r)
			}
		}
	}
}

// takeDenial answers the caller of a flow that no target holds.
func (b *Balancer) takeDenial(now time.Duration, flow segment.Flow, from netip.Addr) {
	verdict := b.engine.Denied(from, flow)
	if verdict.Action != steering.Reset {
		return
	}
	list := b.held.take(flow)
	if len(list) == 0 {
		return
	}
	if head, ok := b.options.Codec.Parse(list[0]); ok {
		b.carryOut(now, list[0], head, &verdict)
	}
}

// takeOwner records the owner of a flow and sends it the held segments.
func (b *Balancer) takeOwner(now time.Duration, flow segment.Flow, r flowReport) {
	if r.recalled {
		b.engine.Recall(now, flow, r.target)
	} else if found := b.engine.Owner(now, flow, r.target); found.Rounds > 0 {
		b.metrics.Search.Record(found.Waited)
		if b.options.Logger.Allow(telemetry.FlowFound) {
			b.options.Logger.Log(telemetry.FlowFound, "flow", flow.String(), "target", r.target.Info.ID,
				"queries", found.Rounds, "waited", found.Waited.Round(time.Millisecond))
		}
	}
	if !b.engine.Searching(flow) {
		b.release(flow, r.target)
	}
}

// tickForwarding runs in the forwarding task.
func (b *Balancer) tickForwarding(now time.Duration) {
	if view := b.view.Load(); view != b.engine.View() {
		b.engine.SetView(view)
	}
	b.takeReports(now)
	b.engine.SetRelief(b.relief.Load())
	for _, flow := range b.engine.Tick(now, b.confirmed.Load()) {
		b.held.take(flow)
	}
	b.continueSearches(now)
	if doubted := b.engine.Doubted(); doubted != b.doubt.Swap(doubted) {
		event := telemetry.OwnLinkDoubted
		if !doubted {
			event = telemetry.OwnLinkTrusted
		}
		b.options.Logger.Log(event, "failed", b.engine.Silent(), "probed", len(b.engine.View().Targets()))
	}
	b.metrics.Flows.Set(int64(b.engine.Flows()))
}

// Reconfigure puts changed settings into force.
func (b *Balancer) Reconfigure(seeds []netip.AddrPort) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.peers.SetSeeds(b.clock.now(), seeds)
}

// Stop ends the balancer when the fabric has moved on, at the latest when the
// context ends.
func (b *Balancer) Stop(ctx context.Context) int {
	b.mu.Lock()
	b.peers.Leave()
	b.mu.Unlock()
	begun := b.clock.now()
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for waiting := true; waiting; {
		select {
		case <-ctx.Done():
			waiting = false
		case <-ticker.C:
			now := b.clock.now()
			waiting = now-begun < leastStop || now-time.Duration(b.lastPacket.Load()) < quietStop
		}
	}
	b.cancel()
	for _, closer := range []interface{ Close() error }{b.packets, b.link, b.rpc} {
		if err := closer.Close(); err != nil {
			b.options.Logger.Log(telemetry.StateError, "error", err)
		}
	}
	b.group.Wait()
	b.metrics.Close()
	return 0
}
