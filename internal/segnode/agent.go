package segnode

import (
	"context"
	"math"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"google.golang.org/protobuf/proto"

	"github.com/peridotstall/peridotstall/internal/occupancy"
	"github.com/peridotstall/peridotstall/internal/schema"
	"github.com/peridotstall/peridotstall/internal/segment"
	"github.com/peridotstall/peridotstall/internal/telemetry"
)

const (
	// reportInterval is the time between reports while nothing changes: a
	// quarter of the time after which a balancer doubts a target.
	reportInterval = 200 * time.Millisecond
	// reportsPerSecond bounds the reports of an agent to all balancers, so that
	// its control traffic does not grow with the fleet.
	reportsPerSecond = 160
	// balancerLife is the time for which a balancer that is not heard gets reports.
	balancerLife = 3 * time.Second
	// maxBalancers is what the sender field of a note can name.
	maxBalancers = 256
	// flowsPerMessage is the number of flows of 12 bytes that a datagram below the
	// Ethernet payload of 1,500 bytes holds.
	flowsPerMessage = 100
	// maxFlowsTold bounds the flows that a restarted balancer is told: a tenth of
	// the connection limit of a target.
	maxFlowsTold = 200
	// slowAnswer is the time to the first data of an answer from which it is
	// logged: about the shortest latency objective of the users' routes.
	slowAnswer = 120 * time.Millisecond
	// failingAbove and failingBelow are the shares of failed requests at which a
	// target is logged as failing and as working again: two failures in a row, and
	// the level at which a balancer uses it before a queue elsewhere.
	failingAbove, failingBelow = 0.25, 0.1
	// stopQuiet is how long a stopping agent stays to let balancers choose other
	// targets for new flows.
	stopQuiet = 400 * time.Millisecond
)

// AgentOptions are the settings of an agent.
type AgentOptions struct {
	Common
	// Service is the name of the service of the target.
	Service string
	// Backend is where the target takes segments.
	Backend netip.AddrPort
	// Outbound is where the target sends its segments.
	Outbound netip.AddrPort
}

// balancerRef is a balancer that the agent has heard.
type balancerRef struct {
	packets, link netip.AddrPort
	pinged        time.Duration
	used          time.Duration
}

// Agent is the process beside a target.
type Agent struct {
	options  AgentOptions
	clock    clock
	packets  *net.UDPConn
	outbound *net.UDPConn
	link     *net.UDPConn
	metrics  *telemetry.SegmentMetrics
	out      transmitter
	backend  atomic.Pointer[netip.AddrPort]

	mu        sync.Mutex
	tracker   *occupancy.Tracker
	knowledge occupancy.Knowledge
	balancers []balancerRef
	byHost    map[netip.Addr]uint8
	reported  time.Duration
	last      *schema.LinkLoad
	// silent and failing are what was last logged of the target.
	silent, failing bool

	tasks
}

// StartAgent starts an agent.
func StartAgent(options AgentOptions) (*Agent, error) {
	a := &Agent{
		options: options, clock: newClock(), tracker: occupancy.New(options.Service),
		byHost: make(map[netip.Addr]uint8), tasks: newTasks(),
		metrics: telemetry.NewSegmentMetrics("agent/" + options.Host),
	}
	a.knowledge = occupancy.NewKnowledge(a.clock.now(), time.Now().UnixMilli())
	a.out = transmitter{options.Logger, a.metrics}
	a.backend.Store(&options.Backend)
	for _, s := range []struct {
		socket  **net.UDPConn
		address netip.AddrPort
	}{{&a.packets, options.Packets}, {&a.outbound, options.Outbound}, {&a.link, options.Link}} {
		socket, err := listen(s.address)
		if err != nil {
			a.close()
			return nil, err
		}
		*s.socket = socket
	}
	a.run(func() error { return receive(a.packets, a.clock, a.fromBalancer, nil, nil) })
	a.run(func() error { return receive(a.outbound, a.clock, a.fromTarget, nil, nil) })
	a.run(func() error { return receive(a.link, a.clock, a.control, a.tick, nil) })
	return a, nil
}

// Ready reports whether the agent takes segments.
func (a *Agent) Ready() bool { return true }

// fromBalancer handles a segment that a balancer sent.
func (a *Agent) fromBalancer(b []byte, from netip.AddrPort) {
	head, ok := a.options.Codec.Parse(b)
	if !ok {
		a.metrics.Malformed.Inc()
		return
	}
	var request []byte
	if head.DataLength > 0 {
		request = a.options.Codec.Request(a.options.Codec.Data(b))
	}
	now := a.clock.now()
	note := segment.Unpack(head.Note)
	a.mu.Lock()
	sender := a.sender(now, from)
	note.Sender = sender
	refusal := a.tracker.Admit(now, head, note)
	var delivery occupancy.Delivery
	if refusal == occupancy.Accepted {
		delivery = a.tracker.Delivered(now, head, note, sender, request)
	}
	pending := a.tracker.Pending()
	a.mu.Unlock()
	if refusal != occupancy.Accepted {
		a.refuse(b, head, note, refusal, pending, from)
		return
	}
	a.options.Codec.Forwardable(b, note.Pack())
	a.metrics.Forwarded.Inc()
	a.out.datagram(a.packets, b, *a.backend.Load())
	if delivery.Tell {
		a.tellOwner(head.FromCaller(), sender)
	}
	switch {
	case request != nil:
		a.metrics.Requests.Inc()
		if a.options.Logger.Allow(telemetry.RequestHanded) {
			a.options.Logger.Log(telemetry.RequestHanded, "request", string(request), "flow", head.FromCaller().String(),
				"balancer", from.Addr(), "pending", pending)
		}
	case delivery.Abandoned && a.options.Logger.Allow(telemetry.RequestAbandoned):
		a.options.Logger.Log(telemetry.RequestAbandoned, "request", delivery.Request.String(), "flow", head.FromCaller().String(),
			"waited", delivery.Waited.Round(time.Millisecond), "pending", pending)
	}
}

// refuse hands a segment back to the balancer that sent it.
func (a *Agent) refuse(b []byte, head segment.Head, note segment.Note, why occupancy.Refusal, pending int, to netip.AddrPort) {
	a.metrics.Refused.Inc()
	if a.options.Logger.Allow(telemetry.SegmentRefused) {
		a.options.Logger.Log(telemetry.SegmentRefused, "flow", head.FromCaller().String(), "reason", why.String(),
			"attempt", note.Attempt, "pending", pending)
	}
	a.options.Codec.Return(b, note.Pack())
	a.out.datagram(a.packets, b, to)
}

// sender returns the number of a balancer; the caller holds the lock.
func (a *Agent) sender(now time.Duration, packets netip.AddrPort) uint8 {
	index, known := a.byHost[packets.Addr()]
	if !known {
		index = a.place(now, packets.Addr())
	}
	ref := &a.balancers[index]
	ref.packets, ref.used = packets, now
	return index
}

// place gives a balancer a number, if need be that of the one which was unused
// for the longest time.
func (a *Agent) place(now time.Duration, host netip.Addr) uint8 {
	if len(a.balancers) < maxBalancers {
		a.balancers = append(a.balancers, balancerRef{used: now})
		a.byHost[host] = uint8(len(a.balancers) - 1)
		return a.byHost[host]
	}
	oldest := 0
	for i, ref := range a.balancers {
		if ref.used < a.balancers[oldest].used {
			oldest = i
		}
	}
	for h, i := range a.byHost {
		if int(i) == oldest {
			delete(a.byHost, h)
		}
	}
	a.balancers[oldest] = balancerRef{used: now}
	a.byHost[host] = uint8(oldest)
	return uint8(oldest)
}

// fromTarget handles a segment that the target sent.
func (a *Agent) fromTarget(b []byte, _ netip.AddrPort) {
	head, ok := a.options.Codec.Parse(b)
	if !ok {
		a.metrics.Malformed.Inc()
		return
	}
	now := a.clock.now()
	if head.Returned {
		a.returned(now, b, head)
		return
	}
	status := 0
	if head.DataLength > 0 {
		status = a.options.Codec.Status(a.options.Codec.Data(b))
	}
	failed := status != 0 && status/100 != 2
	a.mu.Lock()
	answer := a.tracker.Answered(now, head, failed)
	pending := a.tracker.Pending()
	a.mu.Unlock()
	a.metrics.Answered.Inc()
	to := netip.AddrPortFrom(head.Destination.AddrPort().Addr(), a.options.Packets.Port())
	a.out.datagram(a.packets, b, to)
	if answer.Tell {
		a.tellOwner(head.FromTarget(), answer.Sender)
	}
	if answer.First {
		a.answered(head, answer, status, failed, pending)
	}
}

// answered records the first data of an answer.
func (a *Agent) answered(head segment.Head, answer occupancy.Answer, status int, failed bool, pending int) {
	a.metrics.Wait.Record(answer.Waited)
	if answer.SinceOpening > 0 {
		a.metrics.Opening.Record(answer.SinceOpening)
	}
	if failed {
		a.metrics.Failed.Inc()
	}
	if (failed || answer.Waited > slowAnswer) && a.options.Logger.Allow(telemetry.AnswerUnusual) {
		a.options.Logger.Log(telemetry.AnswerUnusual, "request", answer.Request.String(), "flow", head.FromTarget().String(),
			"status", status, "waited", answer.Waited.Round(time.Millisecond), "pending", pending)
	}
}

// returned passes a segment that the target does not hold to its balancer.
func (a *Agent) returned(now time.Duration, b []byte, head segment.Head) {
	note := segment.Unpack(head.Note)
	a.mu.Lock()
	a.tracker.Returned(now, head)
	var to netip.AddrPort
	if int(note.Sender) < len(a.balancers) {
		to = a.balancers[note.Sender].packets
	}
	a.mu.Unlock()
	a.metrics.Returned.Inc()
	if a.options.Logger.Allow(telemetry.SegmentReturned) {
		a.options.Logger.Log(telemetry.SegmentReturned, "flow", head.FromCaller().String(), "opening", head.Opening, "balancer", to)
	}
	if to.IsValid() {
		a.out.datagram(a.packets, b, to)
	}
}

// tellOwner tells a balancer that the target holds a flow.
func (a *Agent) tellOwner(flow segment.Flow, sender uint8) {
	a.mu.Lock()
	to := a.balancers[sender].link
	a.mu.Unlock()
	if !to.IsValid() {
		return
	}
	encoded := flow.Encode()
	a.out.message(a.link, &schema.LinkMessage{Body: &schema.LinkMessage_Owner{Owner: &schema.LinkOwner{Flow: encoded[:]}}}, to)
}

// control handles a control message.
func (a *Agent) control(b []byte, from netip.AddrPort) {
	message := &schema.LinkMessage{}
	if err := proto.Unmarshal(b, message); err != nil {
		a.metrics.Malformed.Inc()
		return
	}
	switch {
	case message.GetPing() != nil:
		a.ping(message.GetPing(), from)
	case message.GetQuery() != nil:
		a.query(message.GetQuery(), from)
	}
}

// query answers a balancer that looks for the holder of a flow.
func (a *Agent) query(m *schema.LinkQuery, from netip.AddrPort) {
	flow, ok := segment.DecodeFlow(m.Flow)
	if !ok {
		a.metrics.Malformed.Inc()
		return
	}
	a.mu.Lock()
	holds := a.tracker.Holds(flow)
	denies := m.Deny && !a.tracker.Knows(flow) && a.knowledge.Complete(a.clock.now())
	a.mu.Unlock()
	switch {
	case holds:
		a.out.message(a.link, &schema.LinkMessage{Body: &schema.LinkMessage_Owner{Owner: &schema.LinkOwner{Flow: m.Flow}}}, from)
	case denies:
		a.out.message(a.link, &schema.LinkMessage{Body: &schema.LinkMessage_Denial{Denial: &schema.LinkDenial{Flow: m.Flow}}}, from)
	}
}

// ping records a balancer that wants reports.
func (a *Agent) ping(ping *schema.LinkPing, from netip.AddrPort) {
	now := a.clock.now()
	a.mu.Lock()
	if segment.Tag(ping.ServiceTag) == a.tracker.Tag() {
		a.tracker.SetSlots(int(ping.Slots))
		if target := ping.Target; target != nil {
			a.tracker.SetPatience(time.Duration(target.PatienceMs) * time.Millisecond)
			a.knowledge.Learn(target.BornUnixMs, time.Duration(target.IdleMs)*time.Millisecond)
		}
	}
	index, known := a.byHost[from.Addr()]
	if !known {
		index = a.place(now, from.Addr())
		a.reported = 0
	}
	ref := &a.balancers[index]
	ref.link, ref.pinged, ref.used = from, now, now
	var flows []segment.Flow
	if ping.GetTarget().GetFlowsWanted() {
		flows = a.tracker.FlowsOf(index, maxFlowsTold)
	}
	a.mu.Unlock()
	if ping.GetTarget().GetFlowsWanted() {
		a.tellFlows(flows, from)
	}
}

// tellFlows tells a balancer that was restarted the flows that it had forwarded.
func (a *Agent) tellFlows(flows []segment.Flow, to netip.AddrPort) {
	if a.options.Logger.Allow(telemetry.FlowsTold) {
		a.options.Logger.Log(telemetry.FlowsTold, "balancer", to, "flows", len(flows))
	}
	for {
		part := flows[:min(len(flows), flowsPerMessage)]
		flows = flows[len(part):]
		message := &schema.LinkFlows{}
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

// tick sends reports and forgets idle flows.
func (a *Agent) tick(now time.Duration) {
	a.mu.Lock()
	a.tracker.Tick(now)
	load := &schema.LinkLoad{
		ServiceTag:       uint32(a.tracker.Tag()),
		Pending:          uint32(max(a.tracker.Pending(), 0)),
		MeanPendingMilli: uint32(a.tracker.Mean(now) * 1000),
		Unresponsive:     a.tracker.Unresponsive(now),
		Leaving:          a.last.GetLeaving(),
		Complete:         a.knowledge.Complete(now),
		FailingMilli:     uint32(a.tracker.Failing(now) * 1000),
	}
	var to []netip.AddrPort
	if a.due(now, load) {
		a.reported, a.last = now, load
		for _, ref := range a.balancers {
			if ref.link.IsValid() && now-ref.pinged < balancerLife {
				to = append(to, ref.link)
			}
		}
	}
	changed := load.Unresponsive != a.silent
	a.silent = load.Unresponsive
	share := a.tracker.Failing(now)
	begun, ceased := !a.failing && share > failingAbove, a.failing && share < failingBelow
	a.failing = begun || a.failing && !ceased
	a.mu.Unlock()
	a.metrics.Pending.Set(int64(load.Pending))
	if changed {
		a.options.Logger.Log(telemetry.TargetResponds, "responds", !load.Unresponsive, "pending", load.Pending)
	}
	if begun || ceased {
		a.options.Logger.Log(telemetry.TargetFailing, "failing", begun, "share", math.Round(share*100)/100, "pending", load.Pending)
	}
	message := &schema.LinkMessage{Body: &schema.LinkMessage_Load{Load: load}}
	for _, address := range to {
		a.out.message(a.link, message, address)
	}
}

// due reports whether a report is sent now; the caller holds the lock.
func (a *Agent) due(now time.Duration, load *schema.LinkLoad) bool {
	age := now - a.reported
	if a.reported == 0 || load.Unresponsive != a.last.GetUnresponsive() {
		return true
	}
	spacing := time.Duration(len(a.balancers)) * time.Second / reportsPerSecond
	return age >= reportInterval || load.Pending != a.last.GetPending() && age >= spacing
}

// Reconfigure puts changed settings into force. Another service means another
// target, of whose flows nothing is known.
func (a *Agent) Reconfigure(service string, backend netip.AddrPort) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.options.Service != service {
		a.tracker = occupancy.New(service)
		a.knowledge = occupancy.NewKnowledge(a.clock.now(), time.Now().UnixMilli())
	}
	a.options.Service = service
	a.backend.Store(&backend)
}

// Stop ends the agent. New flows go elsewhere for a moment first, so that fewer
// openings are lost. It returns the number of requests without an answer.
func (a *Agent) Stop(ctx context.Context) int {
	a.mu.Lock()
	a.tracker.Leave()
	a.last = &schema.LinkLoad{Leaving: true}
	a.reported = 0
	a.mu.Unlock()
	timer := time.NewTimer(stopQuiet)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
	a.close()
	a.group.Wait()
	return a.tracker.Pending()
}

// close closes the sockets.
func (a *Agent) close() {
	for _, socket := range []*net.UDPConn{a.packets, a.outbound, a.link} {
		if socket == nil {
			continue
		}
		if err := socket.Close(); err != nil && !errors.Is(err, net.ErrClosed) {
			a.options.Logger.Log(telemetry.SendFailed, "to", socket.LocalAddr(), "error", err)
		}
	}
	a.metrics.Close()
}
