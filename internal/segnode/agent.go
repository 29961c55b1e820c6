package segnode

import (
	"context"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"github.com/peridotstall/peridotstall/internal/occupancy"
	"github.com/peridotstall/peridotstall/internal/reports"
	"github.com/peridotstall/peridotstall/internal/schema"
	"github.com/peridotstall/peridotstall/internal/segment"
	"github.com/peridotstall/peridotstall/internal/telemetry"
	"github.com/peridotstall/peridotstall/internal/waitline"
	"github.com/peridotstall/peridotstall/internal/warmup"
)

const (
	// maxBalancers is the number of balancers that the 8-bit sender field of a
	// mark can name.
	maxBalancers = 256
	// flowsPerMessage is the number of 12-byte flows that a datagram below the
	// Ethernet payload of 1,500 bytes holds.
	flowsPerMessage = 100
	// maxRestoredFlows bounds the flows of a flow restore to one balancer: a
	// tenth of the connection limit of a target.
	maxRestoredFlows = 200
	// slowAnswerThreshold is the time to the first data of an answer above
	// which it is logged: about the shortest latency objective of the users'
	// routes.
	slowAnswerThreshold = 120 * time.Millisecond
	// failingAbove and failingBelow are the shares of failed requests above
	// which a target is logged as failing and below which as working again:
	// two failures in a row, and the share below which a balancer prefers it
	// to queueing at another target.
	failingAbove, failingBelow = 0.25, 0.1
	// stopDelay is the time between the report that the agent is leaving and
	// its end, in which balancers choose other targets for new flows.
	stopDelay = 400 * time.Millisecond
)

// AgentOptions are the settings of an agent.
type AgentOptions struct {
	Common
	// Service is the service name of the target.
	Service string
	// Backend is the address at which the target receives segments.
	Backend netip.AddrPort
	// Outbound is the address to which the target sends its segments.
	Outbound netip.AddrPort
	// WarmupTolerance is how far more requests than the configured rate of a cold target are
	// accepted.
	WarmupTolerance warmup.Tolerance
}

// balancerEntry holds what the agent stores of a balancer that sent it a
// segment or a ping.
type balancerEntry struct {
	packets, link netip.AddrPort
	lastUsed      time.Duration
	// pinged is set until the next report to the balancer, which names the target.
	pinged bool
}

// Agent is the process beside a target. It admits or refuses the segments that
// balancers forward and reports the load of the target.
type Agent struct {
	options  AgentOptions
	clock    clock
	packets  *net.UDPConn
	outbound *net.UDPConn
	link     *net.UDPConn
	metrics  *telemetry.SegmentMetrics
	out      transmitter
	backend  atomic.Pointer[netip.AddrPort]

	mu       sync.Mutex
	tracker  *occupancy.Tracker
	coverage occupancy.Coverage
	// evacuation is that of the zone, evacuatedAt the time of its last change; emptied is
	// set once the log says that the target has no open flows since then.
	evacuation  occupancy.Evacuation
	evacuatedAt time.Duration
	emptied     bool
	balancers   []balancerEntry
	byHost      map[netip.Addr]uint8
	reports     *reports.Schedule
	// leaving is set while the agent stops, urgent if the next report goes to all balancers
	// at once.
	leaving, urgent bool
	// loggedUnresponsive and loggedFailing are the states of the target that
	// were logged last.
	loggedUnresponsive, loggedFailing bool
	warmup                            warmupLog

	tasks
}

// StartAgent binds the sockets of an agent and starts its tasks. It returns an
// error when an address cannot be bound.
func StartAgent(options AgentOptions) (*Agent, error) {
	a := &Agent{
		options: options, clock: newClock(), tracker: occupancy.New(options.Service),
		byHost: make(map[netip.Addr]uint8), reports: reports.NewSchedule(), tasks: newTasks(),
		metrics: telemetry.NewSegmentMetrics("agent/"+options.Host, occupancy.RefusalNames()...),
	}
	a.coverage = occupancy.NewCoverage(a.clock.now(), time.Now().UnixMilli())
	a.tracker.SetWarmup(warmup.New(a.clock.now(), options.WarmupTolerance))
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
	a.run(func() error { return receive(a.packets, a.clock, a.handleBalancerSegment, nil, nil) })
	a.run(func() error { return receive(a.outbound, a.clock, a.handleTargetSegment, nil, nil) })
	a.run(func() error { return receive(a.link, a.clock, a.handleControl, a.tick, nil) })
	return a, nil
}

// Ready reports whether the agent receives segments. A running agent always does.
func (a *Agent) Ready() bool { return true }

// handleBalancerSegment admits a segment from a balancer and forwards it to the
// target, or returns it to the balancer.
func (a *Agent) handleBalancerSegment(b []byte, from netip.AddrPort) {
	head, ok := a.options.Codec.Parse(b)
	if !ok {
		a.metrics.Malformed.Inc()
		return
	}
	var request []byte
	if head.DataLength > 0 {
		data := a.options.Codec.Data(b)
		if request = a.options.Codec.Request(data); request != nil {
			head.RequestSize = a.options.Codec.RequestSize(data)
		}
	}
	now := a.clock.now()
	mark := segment.Unpack(head.Mark)
	if head.Opening {
		mark = segment.UnpackOpening(head.Mark)
	}
	a.mu.Lock()
	sender := a.balancerIndex(now, from)
	mark.Sender = sender
	refusal := a.tracker.Admit(now, head, mark)
	var delivery occupancy.Delivery
	switch refusal {
	case occupancy.Accepted:
		delivery = a.tracker.Delivered(now, head, mark, sender, request)
	case occupancy.Waits:
		refusal = a.wait(now, b, head, mark)
	}
	load := openingLoad{
		pending: a.tracker.Pending(), waiting: a.tracker.Waiting(), expectedWait: a.tracker.ExpectedWait(),
		service: a.tracker.ServiceTime(), quote: a.tracker.Quote(now, mark),
	}
	a.mu.Unlock()
	switch refusal {
	case occupancy.Accepted:
	case occupancy.Waits:
		a.metrics.Reason(int(refusal)).Inc()
		a.sendWaiting(head.FromCaller(), sender)
		return
	default:
		a.refuse(b, head, mark, refusal, load, from)
		return
	}
	a.options.Codec.Forwardable(b, mark.Pack())
	a.metrics.Forwarded.Inc()
	a.out.datagram(a.packets, b, *a.backend.Load())
	if delivery.ReportOwner {
		a.sendOwner(head.FromCaller(), sender)
	}
	if delivery.Arrived > 0 {
		a.metrics.RequestArrival.Record(delivery.Arrived)
	}
	switch {
	case request != nil:
		a.metrics.SegmentsIn.Inc()
		if a.options.Logger.Allow(telemetry.RequestHanded) {
			a.options.Logger.Log(telemetry.RequestHanded, "request", string(request), "flow", head.FromCaller().String(),
				"balancer", from.Addr(), "pending", load.pending)
		}
	case delivery.Abandoned && a.options.Logger.Allow(telemetry.RequestAbandoned):
		a.options.Logger.Log(telemetry.RequestAbandoned, "request", delivery.Request.String(), "flow", head.FromCaller().String(),
			"waited", delivery.Waited.Round(time.Millisecond), "arriving", delivery.Arriving, "pending", load.pending)
	}
}

// openingLoad is the load of the target on which an opening was decided.
type openingLoad struct {
	pending, waiting      int
	expectedWait, service time.Duration
	// quote is the time in which the opening could be answered if it waited; 0 if unknown.
	quote time.Duration
}

// refuse returns a segment that was not admitted to the balancer that sent it.
func (a *Agent) refuse(b []byte, head segment.Head, mark segment.Mark, reason occupancy.Refusal, load openingLoad, to netip.AddrPort) {
	a.metrics.Refused.Inc()
	a.metrics.Reason(int(reason)).Inc()
	if a.options.Logger.Allow(telemetry.SegmentRefused) {
		a.options.Logger.Log(telemetry.SegmentRefused, "flow", head.FromCaller().String(), "reason", reason.String(),
			"attempt", mark.Attempt, "pending", load.pending, "expected_wait", load.expectedWait.Round(time.Millisecond),
			"service_time", load.service.Round(time.Millisecond), "priority", mark.Priority, "budget", mark.Budget.Round(time.Millisecond),
			"late", mark.Late, "patience", mark.Patience.Round(time.Millisecond), "waiting", load.waiting, "quote", load.quote.Round(time.Millisecond))
	}
	mark.Busy = reason == occupancy.Busy
	mark.Budget, mark.Late = load.quote, false
	a.options.Codec.Return(b, mark.Pack())
	a.out.datagram(a.packets, b, to)
}

// balancerIndex returns the index of a balancer and records its use. The caller
// must hold a.mu.
func (a *Agent) balancerIndex(now time.Duration, packets netip.AddrPort) uint8 {
	index, known := a.byHost[packets.Addr()]
	if !known {
		index = a.assignIndex(now, packets.Addr())
	}
	entry := &a.balancers[index]
	entry.packets, entry.lastUsed = packets, now
	return index
}

// assignIndex assigns an index to a balancer. When all are in use, it takes
// over that of the least recently used balancer.
func (a *Agent) assignIndex(now time.Duration, host netip.Addr) uint8 {
	if len(a.balancers) < maxBalancers {
		a.balancers = append(a.balancers, balancerEntry{lastUsed: now})
		a.byHost[host] = uint8(len(a.balancers) - 1)
		return a.byHost[host]
	}
	oldest := 0
	for i, entry := range a.balancers {
		if entry.lastUsed < a.balancers[oldest].lastUsed {
			oldest = i
		}
	}
	for h, i := range a.byHost {
		if int(i) == oldest {
			delete(a.byHost, h)
		}
	}
	a.reports.Forget(uint8(oldest))
	a.balancers[oldest] = balancerEntry{lastUsed: now}
	a.byHost[host] = uint8(oldest)
	return uint8(oldest)
}

// handleTargetSegment forwards a segment of the target to the caller, or to a
// balancer if the target returned it.
func (a *Agent) handleTargetSegment(b []byte, _ netip.AddrPort) {
	head, ok := a.options.Codec.Parse(b)
	if !ok {
		a.metrics.Malformed.Inc()
		return
	}
	now := a.clock.now()
	if head.Returned {
		a.forwardReturned(now, b, head)
		return
	}
	status := 0
	if head.DataLength > 0 {
		status = a.options.Codec.Status(a.options.Codec.Data(b))
	}
	a.mu.Lock()
	answer := a.tracker.Answered(now, head, outcomeOf(status))
	pending := a.tracker.Pending()
	released := a.release(now)
	a.mu.Unlock()
	a.metrics.Answered.Inc()
	to := netip.AddrPortFrom(head.Destination.AddrPort().Addr(), a.options.Packets.Port())
	a.out.datagram(a.packets, b, to)
	a.deliver(released)
	if answer.ReportOwner {
		a.sendOwner(head.FromTarget(), answer.Sender)
	}
	if answer.Resolved {
		a.recordAnswer(head, answer, status, pending)
	}
}

// outcomeOf returns the outcome that a status stands for; 0 is no status.
func outcomeOf(status int) occupancy.Outcome {
	switch {
	case status == 0:
		return occupancy.NoOutcome
	case status/100 == 2:
		return occupancy.Succeeded
	default:
		return occupancy.Failed
	}
}

// recordAnswer records the outcome of a request and logs it when it failed or was
// slow.
func (a *Agent) recordAnswer(head segment.Head, answer occupancy.Answer, status, pending int) {
	failed := outcomeOf(status) == occupancy.Failed
	a.metrics.AnswerWait.Record(answer.Waited)
	if answer.Expected > 0 {
		a.metrics.ExpectedWait.Record(answer.Expected)
		a.metrics.WaitError.Record((answer.Waited - answer.Expected).Abs())
	}
	if answer.SinceOpening > 0 {
		a.metrics.OpeningToAnswer.Record(answer.SinceOpening)
	}
	if failed {
		a.metrics.AnswersFailed.Inc()
	}
	if (failed || answer.Waited > slowAnswerThreshold) && a.options.Logger.Allow(telemetry.AnswerUnusual) {
		a.options.Logger.Log(telemetry.AnswerUnusual, "request", answer.Request.String(), "flow", head.FromTarget().String(),
			"status", status, "waited", answer.Waited.Round(time.Millisecond), "arrived", answer.Arrived.Round(time.Millisecond), "pending", pending)
	}
}

// forwardReturned forwards a segment of a flow that the target does not hold to
// the balancer that sent it.
func (a *Agent) forwardReturned(now time.Duration, b []byte, head segment.Head) {
	mark := segment.Unpack(head.Mark)
	a.mu.Lock()
	a.tracker.Returned(now, head)
	var to netip.AddrPort
	if int(mark.Sender) < len(a.balancers) {
		to = a.balancers[mark.Sender].packets
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

// sendOwner informs a balancer that the target holds a flow.
func (a *Agent) sendOwner(flow segment.Flow, sender uint8) {
	a.mu.Lock()
	to := a.balancers[sender].link
	identity := a.identity()
	a.mu.Unlock()
	if !to.IsValid() {
		return
	}
	encoded := flow.Encode()
	a.out.message(a.link, &schema.LinkMessage{Body: &schema.LinkMessage_Owner{Owner: &schema.LinkOwner{Flow: encoded[:], Identity: identity}}}, to)
}

// Reconfigure applies changed settings. A changed service name means another
// target, so the state of all flows is dropped and openings that wait are returned.
func (a *Agent) Reconfigure(service string, backend netip.AddrPort) {
	now := a.clock.now()
	a.mu.Lock()
	var waited []waitline.Opening
	if a.options.Service != service {
		a.tracker.RefuseOpenings()
		waited, _ = a.tracker.GivenUp(now)
		a.tracker = occupancy.New(service)
		a.tracker.SetWarmup(warmup.New(a.clock.now(), a.options.WarmupTolerance))
		a.coverage = occupancy.NewCoverage(a.clock.now(), time.Now().UnixMilli())
		a.tracker.SetEvacuated(a.evacuation.Evacuated())
	}
	a.options.Service = service
	a.backend.Store(&backend)
	a.mu.Unlock()
	a.returnOpenings(now, waited, occupancy.WrongService, openingLoad{})
}

// Stop stops the agent. It first reports that it is leaving and waits for
// stopDelay, so that balancers choose other targets for new flows and fewer
// openings are lost, and until the target has answered its requests or those
// expired, but not longer than until ctx is done. It returns the number of
// requests that have no answer and have not expired.
func (a *Agent) Stop(ctx context.Context) int {
	a.mu.Lock()
	a.tracker.RefuseOpenings()
	a.leaving = true
	a.urgent = true
	start := a.clock.now()
	waited, reason := a.tracker.GivenUp(start)
	a.mu.Unlock()
	a.returnOpenings(start, waited, reason, openingLoad{})
	waitWhile(ctx, a.clock, func(now time.Duration) bool { return now-start < stopDelay || a.pending() > 0 })
	a.close()
	a.group.Wait()
	return a.pending()
}

// pending returns the number of accepted openings and requests without an answer
// that the target may still answer.
func (a *Agent) pending() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.tracker.Unfinished()
}

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
