package segnode

import (
	"encoding/binary"
	"math"
	"net/netip"
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/peridotstall/peridotstall/internal/peers"
	"github.com/peridotstall/peridotstall/internal/registry"
	"github.com/peridotstall/peridotstall/internal/reports"
	"github.com/peridotstall/peridotstall/internal/schema"
	"github.com/peridotstall/peridotstall/internal/segment"
	"github.com/peridotstall/peridotstall/internal/steering"
	"github.com/peridotstall/peridotstall/internal/telemetry"
)

func (b *Balancer) handleControl(data []byte, from netip.AddrPort) {
	message := &schema.LinkMessage{}
	if err := proto.Unmarshal(data, message); err != nil {
		b.metrics.Malformed.Inc()
		return
	}
	switch {
	case message.GetLoad() != nil:
		b.handleLoad(message.GetLoad(), from)
	case message.GetWaiting() != nil:
		b.handleWaiting(message.GetWaiting(), from)
	case message.GetOwner() != nil:
		b.handleOwner(message.GetOwner(), from)
	case message.GetDenial() != nil:
		b.handleNegativeReply(message.GetDenial(), from)
	case message.GetFlows() != nil:
		b.handleFlows(message.GetFlows(), from)
	case message.GetDigest() != nil:
		b.handleDigest(message.GetDigest(), from)
	}
}

// handleLoad records the load report of an agent. A report of a share above 1 is dropped.
func (b *Balancer) handleLoad(m *schema.LinkLoad, from netip.AddrPort) {
	if m.FailingMilli > 1000 {
		b.metrics.Malformed.Inc()
		return
	}
	view := b.view.Load()
	if view == nil {
		return
	}
	t := b.identify(view, from.Addr(), m.Identity, m.ServiceTag)
	if t == nil {
		return
	}
	t.Report(b.clock.now(), steering.Report{
		Pending: m.Pending, Waiting: m.Waiting, MeanPending: float64(m.MeanPendingMilli) / 1000, Failing: float64(m.FailingMilli) / 1000,
		ServiceTime:   time.Duration(m.ServiceMicros) * time.Microsecond,
		ExcludedRanks: excludedRanks(m.ExcludedShares),
		Unresponsive:  m.Unresponsive, Leaving: m.Leaving, Complete: m.Complete,
		Evacuated: m.Evacuated, OpenFlows: m.OpenFlows,
		WarmupCredit: m.WarmupCredit,
	})
}

// identify returns the target that an agent names, nil if no entry describes it. Messages
// without an identity name the target by the tag of its service, if at all.
func (b *Balancer) identify(view *steering.View, host netip.Addr, m *schema.LinkIdentity, tag uint32) *steering.Target {
	if m.GetServiceTag() != 0 {
		tag = m.GetServiceTag()
	}
	switch {
	case tag == 0:
		return view.TargetOn(host)
	case tag > math.MaxUint16 || m.GetPort() > math.MaxUint16:
		b.metrics.Malformed.Inc()
		return nil
	}
	identity := segment.Identity{Tag: segment.Tag(tag), Service: segment.ServiceHash(m.GetServiceHash()), Port: uint16(m.GetPort())}
	t, disowned := view.Identify(host, identity)
	for _, other := range disowned {
		if b.options.Logger.Allow(telemetry.TargetDisowned) {
			b.options.Logger.Log(telemetry.TargetDisowned, "target", other.Info.ID, "service", other.Info.Service, "address", other.Info.Address,
				"agent_port", identity.Port, "named", t != nil)
		}
	}
	return t
}

// handleOwner queues the message that a target holds a flow.
func (b *Balancer) handleOwner(m *schema.LinkOwner, from netip.AddrPort) {
	flow, ok := segment.DecodeFlow(m.Flow)
	view := b.view.Load()
	if !ok || view == nil {
		return
	}
	t := b.identify(view, from.Addr(), m.Identity, 0)
	if t == nil {
		return
	}
	b.queueReport(flowReport{flows: []segment.Flow{flow}, target: t})
}

// handleWaiting queues the message that an opening waits at the agent of a target.
func (b *Balancer) handleWaiting(m *schema.LinkWaiting, from netip.AddrPort) {
	flow, ok := segment.DecodeFlow(m.Flow)
	view := b.view.Load()
	if !ok || view == nil {
		return
	}
	if t := b.identify(view, from.Addr(), m.Identity, 0); t != nil {
		b.queueReport(flowReport{flows: []segment.Flow{flow}, target: t, waiting: true})
	}
}

// handleNegativeReply queues the message that a target does not hold a flow.
func (b *Balancer) handleNegativeReply(m *schema.LinkDenial, from netip.AddrPort) {
	flow, ok := segment.DecodeFlow(m.Flow)
	if !ok {
		b.metrics.Malformed.Inc()
		return
	}
	b.queueReport(flowReport{flows: []segment.Flow{flow}, negativeFrom: from.Addr()})
}

// handleFlows queues a flow restore from an agent.
func (b *Balancer) handleFlows(m *schema.LinkFlows, from netip.AddrPort) {
	view := b.view.Load()
	if view == nil {
		return
	}
	t := b.identify(view, from.Addr(), m.Identity, 0)
	if t == nil || t.FlowsRestored() {
		return
	}
	report := flowReport{target: t, restored: true}
	for rest := m.Flows; len(rest) >= segment.FlowSize; rest = rest[segment.FlowSize:] {
		if flow, ok := segment.DecodeFlow(rest[:segment.FlowSize]); ok {
			report.flows = append(report.flows, flow)
		}
	}
	b.queueReport(report)
}

// queueReport hands a message of an agent to the forwarding task. It drops the
// message when the queue is full.
func (b *Balancer) queueReport(r flowReport) {
	select {
	case b.reports <- r:
	default:
		// The agent sends the message again after the next segment of the
		// flow or the next ping.
		b.metrics.Overruns.Inc()
	}
}

// handleDigest records the digest of another balancer. Any host can send one: what it states is
// bounded here and by the set of peers, and believed as far as a pull bears it out.
func (b *Balancer) handleDigest(m *schema.LinkDigest, from netip.AddrPort) {
	d := peers.Digest{
		Incarnation: m.Incarnation, Routes: m.RoutesVersion, ContactAge: peers.Never,
		Targets:     registry.Position{Epoch: m.TargetsEpoch, Revision: m.TargetsRevision},
		Evacuations: registry.Position{Epoch: m.EvacuationsEpoch, Revision: m.EvacuationsRevision},
		Reading:     m.Reading, Failing: m.Failing, Leaving: m.Leaving,
		Serving: m.Serving, Zone: m.Zone, Capacity: m.Capacity, Retaining: m.Retaining,
	}
	if m.GetContactAgeMs() > maxMilliseconds || m.Zone != "" && registry.ValidateZone(m.Zone) != nil {
		b.metrics.Malformed.Inc()
		return
	}
	if m.ContactAgeMs != nil {
		d.ContactAge = time.Duration(m.GetContactAgeMs()) * time.Millisecond
	}
	for _, name := range m.Peers[:min(len(m.Peers), peers.MaxListed)] {
		address, err := netip.ParseAddrPort(name)
		if err != nil {
			b.metrics.Malformed.Inc()
			continue
		}
		d.Peers = append(d.Peers, address)
	}
	now := b.clock.now()
	b.mu.Lock()
	fresh := b.peers.Receive(now, from, d)
	if view := b.view.Load(); fresh && view != nil && view.HasHost(from.Addr()) {
		b.publishView(now)
	}
	b.mu.Unlock()
	if fresh {
		b.options.Logger.Log(telemetry.PeerHeard, "peer", from, "routes", d.Routes, "epoch", d.Targets.Epoch, "targets", d.Targets.Revision)
		b.introduce(now, from)
	}
	b.pull(now)
}

// tickControl runs in the control task every tickInterval.
func (b *Balancer) tickControl(now time.Duration) {
	b.mu.Lock()
	zones := b.registry.Evacuations()
	if b.registry.Tick(now) {
		b.publishView(now)
	}
	zonesNow := b.registry.Evacuations()
	_, behind := b.peers.Newer(now, b.versions())
	b.confirmed.Store(b.peers.Fresh(now) && !behind && now >= b.partialUntil)
	b.divert.Store(b.peers.ShouldDivert(now))
	b.divertFull.Store(b.peers.ShouldDivertFull(now))
	due := b.peers.Due(now, false)
	round, pinging := b.pings.Round(now, time.Duration(b.lastPacket.Load()))
	lost := b.peers.Lost(now)
	age := int64(-1)
	if contact := b.peers.ContactAge(now); contact != peers.Never {
		age = contact.Milliseconds()
	}
	b.metrics.ViewAge.Set(age)
	b.updateReading(now)
	b.mu.Unlock()
	b.evacuationsChanged(now, zones, zonesNow, "restore")
	b.countEvacuated(now)
	for _, peer := range lost {
		b.options.Logger.Log(telemetry.PeerLost, "peer", peer)
	}
	b.sendDigests(now, due)
	if pinging {
		b.sendPings(now, round)
	} else {
		b.pingUnreported(now)
	}
	b.pull(now)
}

// versions returns the versions of what this balancer has. The caller must hold b.mu.
func (b *Balancer) versions() peers.Versions {
	return peers.Versions{
		Routes: b.registry.Routes().Version, Targets: b.registry.Table().Position(),
		Evacuations: b.registry.Evacuations().Position(),
	}
}

// publishView gives the forwarding task a new view. There is none before the evacuated zones
// are known: an opening could go to one of them. The caller must hold b.mu.
func (b *Balancer) publishView(now time.Duration) {
	routes, table, zones := b.registry.Routes(), b.registry.Table(), b.registry.Evacuations()
	if zones.Revision != 0 {
		usable := table
		usable.Targets = withoutBalancers(b.registry.WarmupsLeft(now, table.Targets), b.balancerHosts(now))
		view := steering.NewView(now, b.view.Load(), routes, usable, b.options.Packets.Port())
		view.Evacuate(zones)
		b.view.Store(view)
	}
	b.metrics.Version.Set(int64(routes.Version))
	b.metrics.Epoch.Set(int64(table.Epoch))
	b.metrics.Revision.Set(int64(table.Revision))
	b.metrics.Targets.Set(int64(len(table.Targets)))
}

// balancerHosts returns the hosts of this balancer and its live peers. The caller must hold
// b.mu.
func (b *Balancer) balancerHosts(now time.Duration) map[netip.Addr]bool {
	hosts := map[netip.Addr]bool{b.options.Link.Addr(): true}
	for _, peer := range b.peers.Live(now) {
		hosts[peer.Addr()] = true
	}
	return hosts
}

// withoutBalancers returns the targets that are not on a balancer's host. Balancers and agents
// receive segments at the same port, so that a balancer would take segments forwarded to such a
// target for those of callers, and forward them again.
func withoutBalancers(targets []registry.Target, balancers map[netip.Addr]bool) []registry.Target {
	onBalancer := func(t registry.Target) bool { return balancers[t.Address.Addr()] }
	if !slices.ContainsFunc(targets, onBalancer) {
		return targets
	}
	return slices.DeleteFunc(slices.Clone(targets), onBalancer)
}

// sendPings pings the agents of a round. A ping also describes the target if its agent has
// not sent a flow restore yet, or may have restarted since its last report.
func (b *Balancer) sendPings(now time.Duration, round reports.Round) {
	view := b.view.Load()
	if view == nil {
		return
	}
	for _, t := range view.Pinged() {
		host := t.Agent.Addr().As4()
		restored, overdue := t.FlowsRestored(), round.Overdue(t.ReportAge(now))
		if !restored || round.Includes(binary.BigEndian.Uint32(host[:]), t.ReportAge(now)) {
			b.sendPing(now, view, t, round.Wanted, round.Describe || !restored || overdue || t.WarmupUnknown(now), false)
		}
	}
}

// pingUnreported pings the agents that have not reported yet, so that their
// targets get new flows as soon as the agents have started, and those that have not reported
// that they know of their target's warm-up.
func (b *Balancer) pingUnreported(now time.Duration) {
	view := b.view.Load()
	if view == nil {
		return
	}
	b.mu.Lock()
	wanted := b.pings.Wanted()
	b.mu.Unlock()
	for _, t := range view.Targets() {
		if (!t.Reported() || t.WarmupUnknown(now)) && t.ReportAge(now) < unreportedPingTimeout {
			b.sendPing(now, view, t, wanted, true, false)
		}
	}
}

// sendPing requests reports from the agent of a target, with at most the wanted time
// between two. Describe adds the published data of the target, unless the agent has yet to
// say that the target is beside it. A statement on the evacuation of the zone is added while it
// is evacuated or the agent takes it for that, and if stating is set.
func (b *Balancer) sendPing(now time.Duration, view *steering.View, t *steering.Target, wanted time.Duration, describe, stating bool) {
	ping := &schema.LinkPing{ReportIntervalMs: uint32(wanted / time.Millisecond)}
	switch {
	case t.Confirmed():
		t.AwaitReports(now, wanted)
		ping.Slots, ping.ServiceTag = uint32(max(t.Info.Slots, 0)), uint32(t.Tag)
		if position, evacuated := view.Evacuation(t); evacuated || t.ReportsEvacuated() || stating {
			ping.Evacuation = &schema.LinkEvacuation{Epoch: position.Epoch, Revision: position.Revision, Evacuated: evacuated}
		}
		if describe {
			ping.Target = &schema.LinkTarget{
				PatienceMs:  uint64(view.AnswerTimeout(t.Info.Service) / time.Millisecond),
				BornUnixMs:  t.Info.Born,
				KnownMs:     uint64(t.Known(now) / time.Millisecond),
				IdleMs:      uint64(view.IdleLimit() / time.Millisecond),
				FlowsWanted: !t.FlowsRestored(),
			}
			describeWarmupOf(ping.Target, now, view, t)
		}
	case !t.Disowned():
		ping.Target = &schema.LinkTarget{FlowsWanted: !t.FlowsRestored()}
	}
	b.out.message(b.link, &schema.LinkMessage{Body: &schema.LinkMessage_Ping{Ping: ping}}, b.agentLink(t))
}

// agentLink returns the address at which the agent of a target receives control
// datagrams.
func (b *Balancer) agentLink(t *steering.Target) netip.AddrPort {
	return netip.AddrPortFrom(t.Agent.Addr(), b.options.AgentLinkPort)
}

// sendDigests sends peers the state of this balancer.
func (b *Balancer) sendDigests(now time.Duration, to []netip.AddrPort) {
	if len(to) == 0 {
		return
	}
	b.mu.Lock()
	d := b.peers.Digest(now, b.incarnation, b.versions())
	d.Retaining = b.registry.KnowsBeyondStore(now)
	b.mu.Unlock()
	b.out.messages(b.link, digestMessage(d), to)
}

// introduce sends a new peer the state of this balancer and the addresses of its peers.
func (b *Balancer) introduce(now time.Duration, to netip.AddrPort) {
	b.mu.Lock()
	d := b.peers.Introduction(now, b.incarnation, b.versions())
	d.Retaining = b.registry.KnowsBeyondStore(now)
	b.mu.Unlock()
	b.out.message(b.link, digestMessage(d), to)
}

// digestMessage encodes a digest.
func digestMessage(d peers.Digest) *schema.LinkMessage {
	m := &schema.LinkDigest{
		Incarnation: d.Incarnation, RoutesVersion: d.Routes, TargetsEpoch: d.Targets.Epoch, TargetsRevision: d.Targets.Revision,
		EvacuationsEpoch: d.Evacuations.Epoch, EvacuationsRevision: d.Evacuations.Revision,
		Reading: d.Reading, Failing: d.Failing, Leaving: d.Leaving,
		Serving: d.Serving, Zone: d.Zone, Capacity: d.Capacity, Retaining: d.Retaining,
	}
	if d.ContactAge != peers.Never {
		age := uint64(d.ContactAge / time.Millisecond)
		m.ContactAgeMs = &age
	}
	for _, address := range d.Peers {
		m.Peers = append(m.Peers, address.String())
	}
	return &schema.LinkMessage{Body: &schema.LinkMessage_Digest{Digest: m}}
}
