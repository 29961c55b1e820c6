package loadmodel

import (
	"net/netip"
	"time"

	"github.com/peridotstall/peridotstall/internal/occupancy"
	"github.com/peridotstall/peridotstall/internal/segment"
	"github.com/peridotstall/peridotstall/internal/steering"
)

const (
	// waitingTimeout is the time for which a balancer keeps an opening that its engine
	// cannot decide on yet.
	waitingTimeout = 150 * time.Millisecond
	// waitingInterval is the time between two decisions on such an opening.
	waitingInterval = 2 * time.Millisecond
)

// balancer is the process that steers openings; engine is nil while it is down.
type balancer struct {
	model  *model
	zone   int
	engine *steering.Engine
}

// receive decides on an opening from a caller.
func (b *balancer) receive(head segment.Head) {
	if b.engine != nil {
		b.execute(head, b.engine.Segment(b.model.now, head))
	}
}

// execute carries out a verdict on an opening.
func (b *balancer) execute(head segment.Head, v steering.Verdict) {
	m := b.model
	switch v.Action {
	case steering.Forward:
		for _, to := range v.Targets() {
			head.Mark = v.Mark(to)
			m.result.Forwards++
			m.after(hopDelay, func() { m.targetOn(to.Agent.Addr()).receiveOpening(b, head) })
		}
		if v.Withdraw != nil {
			m.after(hopDelay, func() { m.targetOn(v.Withdraw.Agent.Addr()).withdraw(v.Flow) })
		}
	case steering.Wait:
		if waited := head.Age - copyDelays[head.Copy]; waited < waitingTimeout {
			head.Age += waitingInterval
			head.Patience -= waitingInterval
			m.after(waitingInterval, func() { b.receive(head) })
		}
	case steering.Reset:
		m.result.Resets++
		m.after(callerDelay, func() {
			if t := m.tries[head.FromCaller()]; t != nil && t.owner == nil {
				m.fail(t)
			}
		})
	}
}

func (m *model) targetOn(host netip.Addr) *target {
	for _, t := range m.targets {
		if t.host == host {
			return t
		}
	}
	return nil
}

// target is a target with its agent; tracker is nil while the agent is down.
type target struct {
	Target
	model *model
	host  netip.Addr
	// born is the number of the target's incarnation, from 0 on; down is set while it has
	// lost power.
	born    uint64
	down    bool
	tracker *occupancy.Tracker
	running int
	queue   []*try
	// waiting holds the openings in the line of the tracker.
	waiting map[segment.Flow]waitingOpening
}

// report sends the load to all balancers.
func (t *target) report() {
	m := t.model
	tracker := t.tracker
	if tracker == nil {
		return
	}
	report := steering.Report{
		Waiting: uint32(tracker.Waiting()),
		Pending: uint32(max(tracker.Pending(), 0)), MeanPending: tracker.Mean(m.now), Failing: tracker.Failing(m.now),
		ServiceTime: tracker.ServiceTime(), ExcludedRanks: tracker.ExcludedRanks(), Unresponsive: tracker.Unresponsive(m.now), Complete: true,
	}
	m.after(hopDelay, func() {
		for _, b := range m.balancers {
			if b.engine != nil {
				if seen := b.engine.View().TargetOn(t.host); seen != nil {
					seen.Report(m.now, report)
				}
			}
		}
	})
	m.after(m.config.ReportInterval, func() {
		if t.tracker == tracker {
			t.report()
		}
	})
}

// receiveOpening admits an opening, lets it wait or returns it to its balancer.
func (t *target) receiveOpening(from *balancer, head segment.Head) {
	m := t.model
	if t.tracker == nil {
		return
	}
	mark := segment.UnpackOpening(head.Mark)
	switch refusal := t.tracker.Admit(m.now, head, mark); {
	case refusal == occupancy.Accepted:
		t.accept(head, mark)
	case refusal == occupancy.Waits && t.tracker.Wait(m.now, head, mark, 0, nil):
		flow := head.FromCaller()
		t.waiting[flow] = waitingOpening{from, head}
		m.after(hopDelay, func() {
			if from.engine != nil {
				if seen := from.engine.View().TargetOn(t.host); seen != nil {
					from.engine.SetWaiting(flow, seen)
				}
			}
		})
	default:
		t.refuse(from, head, mark, refusal)
	}
}

// waitingOpening is an opening that waits, with the balancer that sent it.
type waitingOpening struct {
	from *balancer
	head segment.Head
}

// refuse returns an opening to its balancer.
func (t *target) refuse(from *balancer, head segment.Head, mark segment.Mark, reason occupancy.Refusal) {
	m := t.model
	mark.Busy = reason == occupancy.Busy || reason == occupancy.Waits
	mark.Budget, mark.Late = t.tracker.Quote(m.now, mark), false
	head.Returned, head.Mark = true, mark.Pack()
	m.after(hopDelay, func() {
		if from.engine != nil {
			from.execute(head, from.engine.Returned(m.now, t.host, head))
		}
	})
}

// accept delivers an opening to the target, which accepts it.
func (t *target) accept(head segment.Head, mark segment.Mark) {
	m := t.model
	t.tracker.Delivered(m.now, head, mark, 0, nil)
	flow := head.FromCaller()
	t.tracker.Answered(m.now, segment.Head{Source: flow.Service, Destination: flow.Caller, Opening: true, Accepted: true}, occupancy.Succeeded)
	m.after(callerDelay, func() {
		if try := m.tries[flow]; try != nil {
			m.accepted(try, t)
		}
	})
}

// withdraw drops a waiting opening.
func (t *target) withdraw(flow segment.Flow) {
	if t.tracker != nil {
		t.tracker.Withdraw(flow, 0)
		delete(t.waiting, flow)
	}
}

// serveLine delivers the waiting openings for which there is room and returns those that wait
// for nothing.
func (t *target) serveLine() {
	m := t.model
	for o, ok := t.tracker.Released(m.now); ok; o, ok = t.tracker.Released(m.now) {
		head := t.waiting[o.Flow].head
		delete(t.waiting, o.Flow)
		t.accept(head, segment.UnpackOpening(head.Mark))
	}
	openings, reason := t.tracker.GivenUp(m.now)
	for _, o := range openings {
		w := t.waiting[o.Flow]
		delete(t.waiting, o.Flow)
		t.refuse(w.from, w.head, segment.UnpackOpening(w.head.Mark), reason)
	}
}

// receiveRequest starts a request, queues it or sheds it.
func (t *target) receiveRequest(try *try) {
	if t.tracker == nil {
		return
	}
	t.tracker.Delivered(t.model.now, segment.Head{
		Source: try.flow.Caller, Destination: try.flow.Service, DataLength: 100,
	}, segment.Mark{Tag: segment.TagOf(serviceName)}, 0, []byte("r"))
	switch {
	case t.running < t.Slots:
		t.start(try)
	case len(t.queue) < t.Queue:
		t.queue = append(t.queue, try)
	default:
		t.model.result.Shed++
		t.answer(try, false)
	}
}

// start runs a request in a free slot.
func (t *target) start(try *try) {
	m := t.model
	t.running++
	work := try.request.work
	if m.elapsed() < t.ColdUntil {
		work = time.Duration(float64(work) * ColdFactor)
	}
	born := t.born
	m.after(time.Duration(float64(work)/t.Speed), func() {
		if t.born != born {
			return
		}
		t.running--
		t.answer(try, true)
		if len(t.queue) > 0 {
			next := t.queue[0]
			t.queue = t.queue[1:]
			t.start(next)
		}
	})
}

// lose ends the incarnation of the target with its requests.
func (t *target) lose() {
	t.born++
	t.down, t.running, t.queue = true, 0, nil
}

// answer sends an answer through the agent to the caller.
func (t *target) answer(try *try, success bool) {
	if t.tracker == nil {
		return
	}
	outcome := occupancy.Succeeded
	if !success {
		outcome = occupancy.Failed
	}
	flow := try.flow
	t.tracker.Answered(t.model.now, segment.Head{Source: flow.Service, Destination: flow.Caller, DataLength: 100}, outcome)
	t.tracker.Answered(t.model.now, segment.Head{Source: flow.Service, Destination: flow.Caller, Ended: true}, occupancy.Succeeded)
	t.serveLine()
	t.model.after(callerDelay, func() { t.model.answered(try, success) })
}
