package segnode

import (
	"math"
	"net/netip"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/peridotstall/peridotstall/internal/occupancy"
	"github.com/peridotstall/peridotstall/internal/registry"
	"github.com/peridotstall/peridotstall/internal/schema"
	"github.com/peridotstall/peridotstall/internal/segment"
	"github.com/peridotstall/peridotstall/internal/telemetry"
)

func (a *Agent) handleControl(b []byte, from netip.AddrPort) {
	message := &schema.LinkMessage{}
	if err := proto.Unmarshal(b, message); err != nil {
		a.metrics.Malformed.Inc()
		return
	}
	switch {
	case message.GetPing() != nil:
		a.handlePing(message.GetPing(), from)
	case message.GetQuery() != nil:
		a.handleQuery(message.GetQuery(), from)
	case message.GetWithdrawal() != nil:
		a.handleWithdrawal(message.GetWithdrawal(), from)
	}
}

// handleQuery answers a query for the target that holds a flow. A negative
// reply is sent only if the query requests one and the agent has seen all flows
// of its target. Without a reply, either the target does not hold the flow or its
// agent cannot decide that.
func (a *Agent) handleQuery(m *schema.LinkQuery, from netip.AddrPort) {
	flow, ok := segment.DecodeFlow(m.Flow)
	if !ok {
		a.metrics.Malformed.Inc()
		return
	}
	a.mu.Lock()
	holds := a.tracker.Holds(flow)
	identity := a.identity()
	negative := m.Deny && !a.tracker.Knows(flow) && a.coverage.Complete(a.clock.now())
	a.mu.Unlock()
	switch {
	case holds:
		a.out.message(a.link, &schema.LinkMessage{Body: &schema.LinkMessage_Owner{Owner: &schema.LinkOwner{Flow: m.Flow, Identity: identity}}}, from)
	case negative:
		a.out.message(a.link, &schema.LinkMessage{Body: &schema.LinkMessage_Denial{Denial: &schema.LinkDenial{Flow: m.Flow}}}, from)
	}
}

// handlePing updates the view of the target, registers the balancer for reports
// and sends it a flow restore if the ping requests one. A ping with a tag or slots out of range is
// dropped.
func (a *Agent) handlePing(ping *schema.LinkPing, from netip.AddrPort) {
	if ping.ServiceTag > math.MaxUint16 || ping.Slots > registry.MaxSlots {
		a.metrics.Malformed.Inc()
		return
	}
	now := a.clock.now()
	a.mu.Lock()
	if segment.Tag(ping.ServiceTag) == a.tracker.Tag() {
		a.handleEvacuation(now, ping.Evacuation, from)
		a.tracker.SetSlots(int(ping.Slots))
		if target := ping.Target; target != nil {
			if d, ok := describe(target); ok {
				a.tracker.SetAnswerTimeout(time.Duration(target.PatienceMs) * time.Millisecond)
				a.coverage.Update(now, time.Now().UnixMilli(), d)
				a.tracker.Warmup().Describe(now, describeWarmup(target))
			} else {
				a.metrics.Malformed.Inc()
			}
		}
	}
	index, known := a.byHost[from.Addr()]
	if !known {
		index = a.assignIndex(now, from.Addr())
	}
	entry := &a.balancers[index]
	entry.link, entry.lastUsed, entry.pinged = from, now, true
	a.reports.Ping(now, index, time.Duration(ping.ReportIntervalMs)*time.Millisecond)
	var flows []segment.Flow
	if ping.GetTarget().GetFlowsWanted() {
		flows = a.tracker.FlowsOf(index, maxRestoredFlows)
	}
	identity := a.identity()
	a.mu.Unlock()
	if ping.GetTarget().GetFlowsWanted() {
		a.sendFlows(flows, identity, from)
	}
}

// handleEvacuation records what a balancer says of the evacuation of the zone; nil if it does not
// know. The caller must hold a.mu.
func (a *Agent) handleEvacuation(now time.Duration, m *schema.LinkEvacuation, from netip.AddrPort) {
	if m == nil {
		return
	}
	position := registry.Position{Epoch: m.Epoch, Revision: m.Revision}
	if !a.evacuation.Update(position, m.Evacuated) {
		return
	}
	a.tracker.SetEvacuated(m.Evacuated)
	a.evacuatedAt, a.emptied, a.urgent = now, false, true
	a.metrics.EvacuatedZones.Set(a.options.Zone, position, m.Evacuated)
	a.options.Logger.Log(telemetry.TargetEvacuated, "evacuated", m.Evacuated, "epoch", m.Epoch, "revision", m.Revision,
		"flows", a.tracker.Open(), "balancer", from)
}

// maxMilliseconds is the longest time that a time.Duration holds, in milliseconds.
const maxMilliseconds = math.MaxInt64 / uint64(time.Millisecond)

// describe decodes the description of a target; false if a time is out of range.
func describe(m *schema.LinkTarget) (occupancy.Description, bool) {
	if max(m.KnownMs, m.IdleMs, m.PatienceMs) > maxMilliseconds || !validWarmup(m) {
		return occupancy.Description{}, false
	}
	return occupancy.Description{
		Born: m.BornUnixMs, Known: time.Duration(m.KnownMs) * time.Millisecond, MaxIdle: time.Duration(m.IdleMs) * time.Millisecond,
	}, true
}

// identity returns what the settings of the agent say of its target. The caller must hold
// a.mu.
func (a *Agent) identity() *schema.LinkIdentity {
	i := segment.IdentityOf(a.options.Service, a.backend.Load().Port())
	return &schema.LinkIdentity{ServiceTag: uint32(i.Tag), ServiceHash: uint32(i.Service), Port: uint32(i.Port)}
}

// sendFlows sends a restarted balancer the flows that it had forwarded to the
// target.
func (a *Agent) sendFlows(flows []segment.Flow, identity *schema.LinkIdentity, to netip.AddrPort) {
	if a.options.Logger.Allow(telemetry.FlowsTold) {
		a.options.Logger.Log(telemetry.FlowsTold, "balancer", to, "flows", len(flows))
	}
	for {
		part := flows[:min(len(flows), flowsPerMessage)]
		flows = flows[len(part):]
		message := &schema.LinkFlows{Identity: identity}
		for _, flow := range part {
			encoded := flow.Encode()
			message.Flows = append(message.Flows, encoded[:]...)
		}
		a.out.message(a.link, &schema.LinkMessage{Body: &schema.LinkMessage_Flows{Flows: message}}, to)
		if len(flows) == 0 {
			return
		}
	}
}
