package segnode

import (
	"net/netip"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/peridotstall/peridotstall/internal/peers"
	"github.com/peridotstall/peridotstall/internal/registry"
	"github.com/peridotstall/peridotstall/internal/schema"
	"github.com/peridotstall/peridotstall/internal/segment"
	"github.com/peridotstall/peridotstall/internal/steering"
	"github.com/peridotstall/peridotstall/internal/telemetry"
)

// control handles a control message of an agent or a balancer.
func (b *Balancer) control(data []byte, from netip.AddrPort) {
	message := &schema.LinkMessage{}
	if err := proto.Unmarshal(data, message); err != nil {
		b.metrics.Malformed.Inc()
		return
	}
	switch {
	case message.GetLoad() != nil:
		b.load(message.GetLoad(), from)
	case message.GetOwner() != nil:
		b.owner(message.GetOwner(), from)
	case message.GetDenial() != nil:
		b.denial(message.GetDenial(), from)
	case message.GetFlows() != nil:
		b.recall(message.GetFlows(), from)
	case message.GetDigest() != nil:
		b.digest(message.GetDigest(), from)
	}
}

// load records the report of an agent.
func (b *Balancer) load(m *schema.LinkLoad, from netip.AddrPort) {
	view := b.view.Load()
	if view == nil {
		return
	}
	t := view.Host(from.Addr())
	if t == nil || uint32(t.Tag) != m.ServiceTag {
		return
	}
	t.Report(b.clock.now(), steering.Report{
		Pending: m.Pending, MeanPending: float64(m.MeanPendingMilli) / 1000, Failing: float64(m.FailingMilli) / 1000,
		Unresponsive: m.Unresponsive, Leaving: m.Leaving, Complete: m.Complete,
	})
}

// owner passes on that a target holds a flow.
func (b *Balancer) owner(m *schema.LinkOwner, from netip.AddrPort) {
	flow, ok := segment.DecodeFlow(m.Flow)
	view := b.view.Load()
	if !ok || view == nil {
		return
	}
	t := view.Host(from.Addr())
	if t == nil {
		return
	}
	b.passReport(flowReport{flows: []segment.Flow{flow}, target: t})
}

// denial passes on that a target does not hold a flow.
func (b *Balancer) denial(m *schema.LinkDenial, from netip.AddrPort) {
	flow, ok := segment.DecodeFlow(m.Flow)
	if !ok {
		b.metrics.Malformed.Inc()
		return
	}
	b.passReport(flowReport{flows: []segment.Flow{flow}, denied: from.Addr()})
}

// recall passes the flows that an agent remembers of this balancer on to the
// forwarding task.
func (b *Balancer) recall(m *schema.LinkFlows, from netip.AddrPort) {
	view := b.view.Load()
	if view == nil {
		return
	}
	t := view.Host(from.Addr())
	if t == nil || t.Recalled() {
		return
	}
	told := flowReport{target: t, recalled: true}
	for rest := m.Flows; len(rest) >= segment.FlowSize; rest = rest[segment.FlowSize:] {
		if flow, ok := segment.DecodeFlow(rest[:segment.FlowSize]); ok {
			told.flows = append(told.flows, flow)
		}
	}
	b.passReport(told)
}

// passReport hands the report of an agent to the forwarding task.
func (b *Balancer) passReport(r flowReport) {
	select {
	case b.reports <- r:
	default:
		// The next segment of the flow, or the next ping, is answered again.
		b.metrics.Overruns.Inc()
	}
}

// digest records what a balancer says of itself.
func (b *Balancer) digest(m *schema.LinkDigest, from netip.AddrPort) {
	d := peers.Digest{
		Incarnation: m.Incarnation, Routes: m.RoutesVersion, Targets: m.TargetsRevision, Contact: peers.Never,
		Reading: m.Reading, Failing: m.Failing, Leaving: m.Leaving,
		Serving: m.Serving, Zone: m.Zone, Capacity: m.Capacity,
	}
	if m.ContactAgeMs != nil {
		d.Contact = time.Duration(m.GetContactAgeMs()) * time.Millisecond
	}
	for _, name := range m.Peers {
		address, err := netip.ParseAddrPort(name)
		if err != nil {
			b.metrics.Malformed.Inc()
			continue
		}
		d.Peers = append(d.Peers, address)
	}
	now := b.clock.now()
	b.mu.Lock()
	fresh := b.peers.Hear(now, from, d)
	b.mu.Unlock()
	if fresh {
		b.options.Logger.Log(telemetry.PeerHeard, "peer", from, "routes", d.Routes, "targets", d.Targets)
		b.sendDigests(now, []netip.AddrPort{from})
	}
	b.pull(now)
}

// tickControl runs in the control task.
func (b *Balancer) tickControl(now time.Duration) {
	b.mu.Lock()
	if b.registry.Tick(now) {
		b.publish(now)
	}
	_, behind := b.peers.Newer(now, b.registry.Routes().Version, b.registry.Table().Revision)
	b.confirmed.Store(b.peers.Fresh(now) && !behind)
	b.relief.Store(b.peers.Relief(now))
	due := b.peers.Due(now, false)
	pings := now-b.pinged >= pingInterval
	if pings {
		b.pinged = now
	}
	lost := b.peers.Lost(now)
	age := int64(-1)
	if contact := b.peers.ContactAge(now); contact != peers.Never {
		age = contact.Milliseconds()
	}
	b.metrics.Age.Set(age)
	b.steerReading(now)
	b.mu.Unlock()
	for _, peer := range lost {
		b.options.Logger.Log(telemetry.PeerLost, "peer", peer)
	}
	b.sendDigests(now, due)
	if pings {
		b.ping()
	}
	b.pull(now)
}

// publish gives the forwarding task a new picture; the caller holds the lock.
func (b *Balancer) publish(now time.Duration) {
	routes, table := b.registry.Routes(), b.registry.Table()
	b.view.Store(steering.NewView(now, b.view.Load(), routes, table, b.options.Packets.Port()))
	b.metrics.Version.Set(int64(routes.Version))
	b.metrics.Targets.Set(int64(len(table.Targets)))
}

// ping asks all agents for their load. Some pings tell what is published of the
// target, those to agents that have not answered yet always.
func (b *Balancer) ping() {
	view := b.view.Load()
	if view == nil {
		return
	}
	b.pings++
	for _, t := range view.Targets() {
		ping := &schema.LinkPing{Slots: uint32(max(t.Info.Slots, 0)), ServiceTag: uint32(t.Tag)}
		if !t.Recalled() || b.pings%describeEvery == 0 {
			ping.Target = &schema.LinkTarget{
				PatienceMs:  uint64(view.Patience(t.Info.Service) / time.Millisecond),
				BornUnixMs:  t.Info.Born,
				IdleMs:      uint64(view.IdleLimit() / time.Millisecond),
				FlowsWanted: !t.Recalled(),
			}
		}
		b.out.message(b.link, &schema.LinkMessage{Body: &schema.LinkMessage_Ping{Ping: ping}}, b.agentLink(t))
	}
}

// agentLink returns where the agent of a target takes control datagrams.
func (b *Balancer) agentLink(t *steering.Target) netip.AddrPort {
	return netip.AddrPortFrom(t.Agent.Addr(), b.options.AgentLinkPort)
}

// sendDigests tells peers what this balancer knows.
func (b *Balancer) sendDigests(now time.Duration, to []netip.AddrPort) {
	if len(to) == 0 {
		return
	}
	b.mu.Lock()
	d := b.peers.Digest(now, b.incarnation, b.registry.Routes().Version, b.registry.Table().Revision)
	b.mu.Unlock()
	m := &schema.LinkDigest{
		Incarnation: d.Incarnation, RoutesVersion: d.Routes, TargetsRevision: d.Targets,
		Reading: d.Reading, Failing: d.Failing, Leaving: d.Leaving,
		Serving: d.Serving, Zone: d.Zone, Capacity: d.Capacity,
	}
	if d.Contact != peers.Never {
		age := uint64(d.Contact / time.Millisecond)
		m.ContactAgeMs = &age
	}
	for _, address := range d.Peers {
		m.Peers = append(m.Peers, address.String())
	}
	message := &schema.LinkMessage{Body: &schema.LinkMessage_Digest{Digest: m}}
	for _, address := range to {
		b.out.message(b.link, message, address)
	}
}

// acceptRoutes puts a configuration into force and tells the peers.
func (b *Balancer) acceptRoutes(routes registry.Routes, source string) {
	now := b.clock.now()
	b.mu.Lock()
	previous := b.registry.Routes().Version
	accepted := b.registry.AcceptRoutes(routes)
	if accepted {
		b.publish(now)
	}
	b.mu.Unlock()
	switch {
	case accepted:
		b.options.Logger.Log(telemetry.RoutesAccepted, "version", routes.Version, "previous", previous,
			"routes", len(routes.Routes), "source", source)
		b.announce(now)
	case routes.Version < previous:
		b.options.Logger.Log(telemetry.ConfigLower, "revision", routes.Version, "current", previous, "source", source)
	}
}

// acceptTable puts a table of targets into force and tells the peers.
func (b *Balancer) acceptTable(table registry.Table, source string) {
	now := b.clock.now()
	b.mu.Lock()
	changes := registry.Difference(b.registry.Table(), table)
	accepted := b.registry.AcceptTable(now, table)
	if accepted {
		b.publish(now)
	}
	b.mu.Unlock()
	if !accepted {
		return
	}
	for _, c := range changes {
		if b.options.Logger.Allow(telemetry.TargetChanged) {
			b.options.Logger.Log(telemetry.TargetChanged, "target", c.ID, "change", c.Kind, "revision", table.Revision, "source", source)
		}
	}
	if len(changes) > 0 {
		b.announce(now)
	}
}

// announce sends a digest at once to the peers that have to know of a change.
func (b *Balancer) announce(now time.Duration) {
	b.mu.Lock()
	due := b.peers.Due(now, true)
	b.mu.Unlock()
	b.sendDigests(now, due)
}
