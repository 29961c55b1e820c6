package loadmodel

import (
	"time"

	"github.com/peridotstall/peridotstall/internal/segment"
)

// copyDelays are the times at which a caller sends the copies of an opening, and
// openingTimeout the time after which it gives up the try.
var copyDelays = [...]time.Duration{0, 200 * time.Millisecond, 600 * time.Millisecond}

const openingTimeout = 1400 * time.Millisecond

// minRetransmitTimeout is the time after which a caller sends a request again. It doubles up
// to maxRetransmitTimeout.
const (
	minRetransmitTimeout = 200 * time.Millisecond
	maxRetransmitTimeout = 1600 * time.Millisecond
)

// callers is the number of hosts with callers.
const callers = 400

// request is a request of a caller.
type request struct {
	class int
	// caller is the number of the caller's host.
	caller int
	work   time.Duration
	// began is the time of the first try.
	began time.Duration
	tries int
	done  bool
}

// try is one attempt of a request on a flow of its own.
type try struct {
	request *request
	flow    segment.Flow
	ended   bool
	// owner is the target whose acceptance arrived first.
	owner *target
}

// scheduleArrival schedules the next request of a class.
func (m *model) scheduleArrival(class int) {
	c := &m.config.Classes[class]
	rate := c.Rate * m.config.Wave.factor(m.elapsed())
	for _, surge := range m.config.Surges {
		if surge.Class == c.Name && m.elapsed() >= surge.From && m.elapsed() < surge.To {
			rate *= surge.Factor
		}
	}
	m.after(exponential(m.arrivals, time.Duration(float64(time.Second)/rate)), func() {
		if m.elapsed() >= m.config.Duration {
			return
		}
		m.scheduleArrival(class)
		m.begin(&request{class: class, caller: m.arrivals.IntN(callers), work: work(m.arrivals, c), began: m.now})
	})
}

// ask starts a request of a caller.
func (m *model) ask(r *request) {
	m.result.Classes[r.class].Asked++
	m.after(m.config.Classes[r.class].Timeout, func() { m.end(r, 0) })
	m.open(r)
}

// open starts the next try of a request.
func (m *model) open(r *request) {
	if r.done {
		return
	}
	r.tries++
	m.ports++
	t := &try{request: r, flow: segment.Flow{
		Caller:  segment.Endpoint{IP: [4]byte{100, 64, byte(r.caller >> 8), byte(r.caller)}, Port: uint16(m.ports)},
		Service: endpointOf(r.class),
	}}
	m.tries[t.flow] = t
	for number, delay := range copyDelays {
		m.after(delay, func() {
			if t.ended || t.owner != nil {
				return
			}
			m.result.Openings++
			head := segment.Head{
				Source: t.flow.Caller, Destination: t.flow.Service, Opening: true, Copy: uint32(number), Age: delay, Patience: openingTimeout - delay,
			}
			b := m.route(t.flow)
			m.after(callerDelay, func() { b.receive(head) })
		})
	}
	m.after(openingTimeout, func() {
		if t.owner == nil {
			m.fail(t)
		}
	})
}

// route returns the balancer that gets the segments of a flow.
func (m *model) route(flow segment.Flow) *balancer {
	hash := flow.Hash()
	if m.config.CallerZone < 0 || m.elapsed() < m.config.ShiftAt {
		return m.balancers[hash%uint64(len(m.balancers))]
	}
	var near []*balancer
	for _, b := range m.balancers {
		if b.zone == m.config.CallerZone {
			near = append(near, b)
		}
	}
	return near[hash%uint64(len(near))]
}

// accepted handles the acceptance of an opening by a target.
func (m *model) accepted(t *try, owner *target) {
	if t.ended || t.owner != nil {
		return
	}
	t.owner = owner
	m.after(callerDelay+hopDelay, func() { owner.receiveRequest(t) })
	if m.config.TargetsDown {
		m.retransmit(t, owner.born, minRetransmitTimeout)
	}
}

// retransmit sends the request of a try again until it ends. A target that has lost the flow
// since it started an incarnation returns it, and the caller gets a reset.
func (m *model) retransmit(t *try, born uint64, timeout time.Duration) {
	m.after(timeout, func() {
		switch {
		case t.ended || t.request.done:
		case !t.owner.down && t.owner.born != born:
			m.after(2*(callerDelay+hopDelay), func() { m.fail(t) })
		default:
			m.retransmit(t, born, min(2*timeout, maxRetransmitTimeout))
		}
	})
}

// answered handles the answer to a try.
func (m *model) answered(t *try, success bool) {
	if t.ended {
		return
	}
	if !success {
		m.fail(t)
		return
	}
	t.ended = true
	delete(m.tries, t.flow)
	m.end(t.request, m.now-t.request.began)
}

// fail ends a try that was reset, shed or not accepted. The caller tries again.
func (m *model) fail(t *try) {
	if t.ended {
		return
	}
	t.ended = true
	delete(m.tries, t.flow)
	r := t.request
	if r.tries > m.config.Classes[r.class].Retries {
		m.end(r, 0)
		return
	}
	m.after(exponential(m.rand, m.config.RetryDelay), func() { m.open(r) })
}

// end ends a request with the time to its answer, or 0 if it has none.
func (m *model) end(r *request, took time.Duration) {
	if r.done {
		return
	}
	r.done = true
	class := m.config.Classes[r.class]
	result := &m.result.Classes[r.class]
	waited := m.now - r.began
	switch {
	case took > 0 && took <= class.Objective:
		result.InTime++
	case took > 0:
		result.Late++
		result.LateWorth += class.LateWorth
	case waited <= class.Objective:
		result.RefusedAtOnce++
	default:
		result.RefusedLate++
	}
	m.result.record(m.elapsed()-waited, took > 0 && took <= class.Objective, took > 0)
}
