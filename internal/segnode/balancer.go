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
	"github.com/peridotstall/peridotstall/internal/reports"
	"github.com/peridotstall/peridotstall/internal/schema"
	"github.com/peridotstall/peridotstall/internal/segment"
	"github.com/peridotstall/peridotstall/internal/steering"
	"github.com/peridotstall/peridotstall/internal/telemetry"
)

const (
	// unreportedPingTimeout is the time after a target appears for which its
	// agent is pinged at every tick until it reports.
	unreportedPingTimeout = 2 * time.Second
	// stopIdleTimeout is the time without a caller's segment after which a
	// stopping balancer ends: one and a half intervals of the fabric's
	// readiness checks.
	stopIdleTimeout = 750 * time.Millisecond
	// minStopDelay is the shortest time that a stopping balancer keeps
	// forwarding, so that the fabric sees two failed readiness checks.
	minStopDelay = 1300 * time.Millisecond
	// meanSegmentBytes is the mean segment size, in bytes, that is assumed for
	// the capacity of a host with a slow link. Uploads fill their segments.
	meanSegmentBytes = 1200
	// segmentCPUTime is the processor time of forwarding one segment.
	segmentCPUTime = 25 * time.Microsecond
	// evacuatedInterval is the time between two counts of the flows in evacuated zones.
	evacuatedInterval = time.Second
	// maxReports bounds the messages of agents that are queued for the
	// forwarding task.
	maxReports = 1024
)

// BalancerOptions are the settings of a balancer.
type BalancerOptions struct {
	Common
	// AgentLinkPort is the port at which agents receive control datagrams.
	AgentLinkPort uint16
	// Seeds are control addresses of balancers. Some of them may be wrong or
	// unreachable.
	Seeds  []netip.AddrPort
	Source Source
	// LinkRate is the rate of the host's link in bytes per second, Cores the
	// number of processor cores available.
	LinkRate, Cores float64
}

// capacity returns the number of segments per second that the host can forward.
func (o *BalancerOptions) capacity() uint32 {
	return uint32(min(o.LinkRate/meanSegmentBytes, o.Cores/segmentCPUTime.Seconds(), math.MaxUint32))
}

// flowReport is a message of an agent about flows, queued for the forwarding
// task.
type flowReport struct {
	flows []segment.Flow
	// target holds the flows. It is nil in a negative reply.
	target *steering.Target
	// restored marks a flow restore: this balancer forwarded the flows before
	// it was restarted. Otherwise the flows answer a query.
	restored bool
	// waiting marks an opening that waits at the agent of the target.
	waiting bool
	// negativeFrom is the host of the agent that sent a negative reply.
	negativeFrom netip.Addr
}

// Balancer is the process to which the fabric hands callers' segments. It
// forwards each to the agent beside a target.
type Balancer struct {
	options     BalancerOptions
	clock       clock
	incarnation uint64
	packets     *net.UDPConn
	link        *net.UDPConn
	rpc         net.Listener
	metrics     *telemetry.SegmentMetrics
	out         transmitter

	// engine is used by the forwarding task only.
	engine *steering.Engine
	view   atomic.Pointer[steering.View]
	// confirmed is set while the view is known to be the newest.
	confirmed atomic.Bool
	// divert is set while most balancers in rotation have a much faster link.
	divert atomic.Bool
	// divertFull is set while a part of them has a faster link.
	divertFull  atomic.Bool
	linkDoubted atomic.Bool
	reports     chan flowReport
	// held are segments of flows whose owner is being searched. It is used by
	// the forwarding task only.
	held heldSegments
	// waiting are segments that wait for the view, in order of arrival;
	// waitingRetried is the time of the last decision on them. Both are used by
	// the forwarding task only.
	waiting        []waitingSegment
	waitingRetried time.Duration
	// evacuatedCounted is the time of the last count of the flows in evacuated zones. It is
	// used by the control task only.
	evacuatedCounted time.Duration
	// lastPacket is the time of the last segment from a caller.
	lastPacket atomic.Int64

	mu sync.Mutex
	// tableFromPeer and zonesFromPeer are the times at which the table and the list of
	// evacuated zones in force came from a peer; 0 if they are from the store.
	tableFromPeer, zonesFromPeer time.Duration
	peers                        *peers.Set
	registry                     *registry.Registry
	pings                        reports.Pings
	pulling                      bool
	stopReading                  context.CancelFunc
	storeReachable               bool
	// storeFailed is set once a call to the store has failed.
	storeFailed bool
	// partialUntil is the time until which the first table may lack live targets.
	partialUntil time.Duration

	tasks
	ctx    context.Context
	cancel context.CancelFunc
}

// StartBalancer binds the sockets of a balancer and starts its tasks. It
// returns an error when an address cannot be bound.
func StartBalancer(options BalancerOptions) (*Balancer, error) {
	b := &Balancer{
		options: options, clock: newClock(), incarnation: rand.Uint64(), engine: steering.New(options.Zone, options.LinkRate),
		reports: make(chan flowReport, maxReports), held: newHeldSegments(), pings: reports.NewPings(), registry: registry.New(), tasks: newTasks(),
		metrics: telemetry.NewSegmentMetrics("balancer/"+options.Host, steering.ReasonNames()...),
	}
	b.out = transmitter{options.Logger, b.metrics}
	b.peers = peers.New(b.clock.now(), peers.Self{Address: options.Link, Zone: options.Zone, Capacity: options.capacity()}, options.Seeds)
	b.ctx, b.cancel = context.WithCancel(context.Background())
	options.Source.OnUnusable(b.recordUnusable)
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
	b.run(func() error {
		return receive(b.packets, b.clock, b.handleSegment, b.tickForwarding, b.nextDue)
	})
	b.run(func() error { return receive(b.link, b.clock, b.handleControl, b.tickControl, nil) })
	return b, nil
}

// Ready reports whether the fabric should hand segments to this balancer: it
// has routes and targets, is in rotation and does not doubt its own link.
func (b *Balancer) Ready() bool {
	view := b.view.Load()
	if view == nil || view.Version == 0 || view.Revision == 0 {
		return false
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.peers.InRotation(b.clock.now()) && !b.linkDoubted.Load()
}

// handleSegment steers a segment from a caller, or one that an agent returned.
func (b *Balancer) handleSegment(data []byte, from netip.AddrPort) {
	head, ok := b.options.Codec.Parse(data)
	if !ok {
		b.metrics.Malformed.Inc()
		return
	}
	now := b.clock.now()
	b.updateView(now)
	b.applyReports(now)
	var verdict steering.Verdict
	if head.Returned {
		b.metrics.Returned.Inc()
		verdict = b.engine.Returned(now, from.Addr(), head)
	} else {
		b.lastPacket.Store(int64(now))
		b.metrics.SegmentsIn.Inc()
		verdict = b.engine.Segment(now, head)
	}
	b.execute(now, data, head, &verdict)
}

// execute carries out a verdict on a segment.
func (b *Balancer) execute(now time.Duration, data []byte, head segment.Head, verdict *steering.Verdict) {
	b.metrics.Reason(int(verdict.Reason)).Inc()
	switch verdict.Action {
	case steering.Forward:
		for _, t := range verdict.Targets() {
			b.options.Codec.Forwardable(data, verdict.Mark(t))
			b.out.datagram(b.packets, data, t.Agent)
		}
		b.metrics.Forwarded.Inc()
		if verdict.Withdraw != nil {
			b.sendWithdrawal(verdict)
		}
	case steering.Hold:
		b.hold(verdict.Flow, data)
	case steering.Query:
		b.hold(verdict.Flow, data)
		b.sendQuery(verdict)
	case steering.Wait:
		if !b.waitForView(now, data) {
			b.metrics.Overruns.Inc()
		}
	case steering.Reset:
		reset := b.options.Codec.Reset(data)
		b.out.datagram(b.packets, reset, netip.AddrPortFrom(head.Source.AddrPort().Addr(), b.options.Packets.Port()))
		b.metrics.Resets.Inc()
	}
	b.logVerdict(now, head, verdict)
}

// sendWithdrawal asks the agent at which an opening waits to drop it.
func (b *Balancer) sendWithdrawal(verdict *steering.Verdict) {
	flow := verdict.Flow.Encode()
	b.out.message(b.link, &schema.LinkMessage{Body: &schema.LinkMessage_Withdrawal{Withdrawal: &schema.LinkWithdrawal{Flow: flow[:]}}}, b.agentLink(verdict.Withdraw))
}

// logVerdict logs a verdict, except forwarding to a known target and further
// segments of a flow whose owner is being searched.
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
		fields = append(fields, "version", view.Version, "epoch", view.Epoch, "revision", view.Revision)
	}
	b.options.Logger.Log(event, fields...)
}

// applyReports applies the queued messages of agents.
func (b *Balancer) applyReports(now time.Duration) {
	for len(b.reports) > 0 {
		r := <-b.reports
		if r.restored {
			r.target.SetFlowsRestored()
		}
		for _, flow := range r.flows {
			switch {
			case r.target == nil:
				b.applyNegativeReply(now, flow, r.negativeFrom)
			case r.waiting:
				b.engine.SetWaiting(flow, r.target)
			default:
				b.applyOwner(now, flow, r)
			}
		}
	}
}

// applyNegativeReply resets a flow if no target holds it.
func (b *Balancer) applyNegativeReply(now time.Duration, flow segment.Flow, from netip.Addr) {
	verdict := b.engine.NegativeReply(from, flow)
	if verdict.Action != steering.Reset {
		return
	}
	list := b.held.take(flow)
	if len(list) == 0 {
		return
	}
	if head, ok := b.options.Codec.Parse(list[0]); ok {
		b.execute(now, list[0], head, &verdict)
	}
}

// applyOwner records the owner of a flow and sends it the held segments.
func (b *Balancer) applyOwner(now time.Duration, flow segment.Flow, r flowReport) {
	if r.restored {
		b.engine.RestoreFlow(now, flow, r.target)
	} else if found := b.engine.SetOwner(now, flow, r.target); found.Rounds > 0 {
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

// updateView gives the engine the newest view.
func (b *Balancer) updateView(now time.Duration) {
	if view := b.view.Load(); view != b.engine.View() {
		b.engine.SetView(now, view)
	}
	if len(b.waiting) > 0 {
		b.retryWaiting(now)
	}
}

// tickForwarding runs in the forwarding task every tickInterval, or earlier
// when a search is due.
func (b *Balancer) tickForwarding(now time.Duration) {
	b.updateView(now)
	b.applyReports(now)
	b.engine.SetDivert(b.divert.Load())
	b.engine.SetDivertFull(b.divertFull.Load())
	b.engine.SetPeriod(segment.RankPeriodAt(time.Now()))
	for _, flow := range b.engine.Tick(now, b.confirmed.Load()) {
		b.held.take(flow)
	}
	b.continueSearches(now)
	if doubted := b.engine.LinkDoubted(); doubted != b.linkDoubted.Swap(doubted) {
		event := telemetry.OwnLinkDoubted
		if !doubted {
			event = telemetry.OwnLinkTrusted
		}
		b.options.Logger.Log(event, "failed", b.engine.SilentTargets(), "probed", len(b.engine.View().Targets()))
	}
	b.metrics.Flows.Set(int64(b.engine.Flows()))
}

// Reconfigure applies changed settings.
func (b *Balancer) Reconfigure(seeds []netip.AddrPort, store netip.AddrPort) {
	b.options.Source.SetAddress(store)
	b.mu.Lock()
	defer b.mu.Unlock()
	b.peers.SetSeeds(b.clock.now(), seeds)
}

// Stop stops the balancer once the fabric sends it no more segments, or when
// ctx is done. It always returns 0: a balancer runs no requests.
func (b *Balancer) Stop(ctx context.Context) int {
	b.mu.Lock()
	b.peers.Leave()
	b.mu.Unlock()
	start := b.clock.now()
	waitWhile(ctx, b.clock, func(now time.Duration) bool {
		return now-start < minStopDelay || now-time.Duration(b.lastPacket.Load()) < stopIdleTimeout
	})
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
