package request

import (
	"math/rand/v2"
	"sort"
	"time"

	"github.com/peridotstall/peridotstall/internal/errkind"
	"github.com/peridotstall/peridotstall/internal/fragment"
	"github.com/peridotstall/peridotstall/internal/schema"
	"github.com/peridotstall/peridotstall/internal/wakeup"
	"github.com/peridotstall/peridotstall/internal/wire"
)

type phase int

const (
	phaseOpening    phase = iota + 1 // waiting for an offer
	phaseSending                     // request sent with a token
	phaseCancelling                  // withdrawn, waiting for the outcome
	phaseJoining                     // session offer taken, not confirmed
	phaseSession                     // session open
)

// tokenKey is a token as a comparable value.
type tokenKey struct {
	target                uint32
	incarnation, sequence uint64
}

func keyOf(t *schema.Token) tokenKey {
	return tokenKey{t.GetTarget(), t.GetIncarnation(), t.GetSequence()}
}

// exchange is one request or session.
type exchange struct {
	id      uint64
	call    Call
	session bool
	phase   phase

	token    *schema.Token // taken offer
	dead     []tokenKey    // earlier tokens, known not to have run
	tried    []uint32      // targets that refused
	attempt  uint32
	refused  *errkind.Error // latest refusal
	refusals int

	due     time.Time // next repetition of the pending packet
	backoff time.Duration
	repeats int

	sender   *fragment.Sender
	receiver *fragment.Receiver
	heard    bool      // the owner answered a packet with the token
	giveUpAt time.Time // end of the wait after a cancellation

	sendSeq  uint64
	received wire.Window
	pings    uint64
	missed   int
	// pingTries counts the repetitions of the present ping.
	pingTries int
}

// ended is what is kept of an exchange to answer late packets.
type ended struct {
	token   *schema.Token
	session bool
}

// Machine is the state machine of one client. It is not safe for concurrent use.
type Machine struct {
	balancers int
	rng       *rand.Rand
	budget    budget
	exchanges map[uint64]*exchange
	wakeups   wakeup.Queue
	lingering map[uint64]ended
	order     []uint64 // of lingering, oldest first
	out       []Action
}

// New returns a Machine that sends to the given number of balancers.
func New(balancers int, rng *rand.Rand) *Machine {
	return &Machine{
		balancers: balancers,
		rng:       rng,
		exchanges: make(map[uint64]*exchange),
		lingering: make(map[uint64]ended),
	}
}

// SetBalancers changes the number of balancers.
func (m *Machine) SetBalancers(n int) {
	m.balancers = n
}

func (m *Machine) flush() []Action {
	out := m.out
	m.out = nil
	return out
}

// Start begins a request and returns its ID.
func (m *Machine) Start(now time.Time, call Call) (uint64, []Action) {
	return m.begin(now, &exchange{call: call})
}

// OpenSession begins a session and returns its ID.
func (m *Machine) OpenSession(now time.Time, class string, deadline time.Time) (uint64, []Action) {
	call := Call{Class: class, Deadline: deadline}
	return m.begin(now, &exchange{call: call, session: true})
}

// Receive takes a packet of the system. Packets that belong to no exchange, or
// to another token than the present one, change nothing.
func (m *Machine) Receive(now time.Time, p *schema.CallerPacket) []Action {
	e := m.exchanges[p.RequestId]
	if e == nil {
		m.late(p)
		return m.flush()
	}
	switch body := p.Body.(type) {
	case *schema.CallerPacket_Offer:
		m.offered(now, e, p.Token)
	case *schema.CallerPacket_Refusal:
		m.refusal(now, e, body.Refusal)
	default:
		if e.token != nil && keyOf(e.token) == keyOf(p.Token) {
			m.fromOwner(now, e, p)
		}
	}
	return m.flush()
}

// fromOwner takes a packet with the present token.
func (m *Machine) fromOwner(now time.Time, e *exchange, p *schema.CallerPacket) {
	if e.phase == phaseOpening {
		return
	}
	e.heard = true
	if outcome := p.GetOutcome(); outcome != nil {
		m.outcome(now, e, errkind.New(outcome.Kind, "%s", outcome.Detail))
		return
	}
	if e.session {
		m.sessionPacket(now, e, p)
		return
	}
	switch body := p.Body.(type) {
	case *schema.CallerPacket_Ack:
		m.ack(now, e, body.Ack)
	case *schema.CallerPacket_Answer:
		m.answer(now, e, body.Answer)
	}
}

// Cancel withdraws a request or closes a session.
func (m *Machine) Cancel(now time.Time, id uint64) []Action {
	e := m.exchanges[id]
	if e == nil || e.phase == phaseCancelling {
		return nil
	}
	switch e.phase {
	case phaseOpening:
		m.send(&schema.CallerPacket{RequestId: e.id, Body: cancelBody()})
		m.fail(e, errkind.New(schema.ErrorKind_CANCELLED_NOT_RUN, ""))
	case phaseSending:
		e.phase = phaseCancelling
		e.giveUpAt = now.Add(cancelWait)
		m.repeatCancel(now, e)
	default:
		m.sendOwner(e, &schema.CallerPacket{Body: &schema.CallerPacket_Close{Close: &schema.Close{}}})
		m.fail(e, errkind.New(schema.ErrorKind_CANCELLED, "session closed"))
	}
	return m.flush()
}

// Tick repeats packets and applies deadlines.
func (m *Machine) Tick(now time.Time) []Action {
	for _, id := range m.wakeups.Due(now) {
		if e := m.exchanges[id]; e != nil {
			m.wake(now, e)
		}
	}
	return m.flush()
}

// NextWake returns when Tick has something to do; zero when nothing is pending.
func (m *Machine) NextWake() time.Time {
	return m.wakeups.Next()
}

// InProgress returns the IDs of the requests and sessions, in order.
func (m *Machine) InProgress() []uint64 {
	out := make([]uint64, 0, len(m.exchanges))
	for id := range m.exchanges {
		out = append(out, id)
	}
	sort.Slice(out, func(i, j int) bool { return out[i] < out[j] })
	return out
}

func (m *Machine) wake(now time.Time, e *exchange) {
	if e.phase != phaseSession && !now.Before(e.call.Deadline) {
		m.deadline(e)
		return
	}
	if e.phase != phaseSession {
		m.wakeups.Set(e.id, e.call.Deadline)
	}
	switch e.phase {
	case phaseOpening:
		m.repeatOpen(now, e)
	case phaseSending:
		m.transmit(now, e)
		m.query(now, e)
	case phaseCancelling:
		m.repeatCancel(now, e)
	case phaseJoining:
		m.repeatJoin(now, e)
	case phaseSession:
		m.checkSession(now, e)
	}
}

// deadline ends an exchange in time. A request that was never sent with a token,
// or whose tokens are all known not to have run, was not run.
func (m *Machine) deadline(e *exchange) {
	switch {
	case e.phase == phaseOpening && e.refused != nil:
		m.fail(e, e.refused)
	case e.phase == phaseOpening:
		m.fail(e, errkind.New(schema.ErrorKind_REFUSED_DEADLINE, "no offer before the deadline"))
	case e.phase == phaseCancelling:
		m.fail(e, errkind.New(schema.ErrorKind_CANCELLED, "no answer to the cancellation"))
	case e.heard:
		m.abandon(e, errkind.New(schema.ErrorKind_DEADLINE_EXCEEDED, "target %d has the request", e.token.Target))
	default:
		m.abandon(e, errkind.New(schema.ErrorKind_UNKNOWN_OUTCOME, "target %d did not answer", e.token.Target))
	}
}

// abandon tells the owner that nobody waits any more.
func (m *Machine) abandon(e *exchange, err *errkind.Error) {
	m.sendOwner(e, &schema.CallerPacket{Body: cancelBody()})
	m.fail(e, err)
}

// fail ends an exchange with an error.
func (m *Machine) fail(e *exchange, err *errkind.Error) {
	m.remove(e)
	if e.session {
		m.out = append(m.out, SessionEnded{e.id, err})
		return
	}
	m.out = append(m.out, Finished{ID: e.id, Err: err})
}

func (m *Machine) remove(e *exchange) {
	delete(m.exchanges, e.id)
	m.wakeups.Forget(e.id)
	if e.token == nil {
		return
	}
	if len(m.order) >= maxLingering {
		delete(m.lingering, m.order[0])
		m.order = m.order[1:]
	}
	m.lingering[e.id] = ended{e.token, e.session}
	m.order = append(m.order, e.id)
}

// late answers a packet of an ended exchange, so that its owner stops sending.
func (m *Machine) late(p *schema.CallerPacket) {
	e, ok := m.lingering[p.RequestId]
	if !ok || keyOf(e.token) != keyOf(p.Token) {
		return
	}
	reply := &schema.CallerPacket{RequestId: p.RequestId, Token: e.token}
	switch {
	case e.session && p.GetData() != nil:
		reply.Body = &schema.CallerPacket_Close{Close: &schema.Close{}}
	case !e.session && p.GetAnswer() != nil:
		reply.Body = ackBody(&schema.FragmentAck{OfAnswer: true, Whole: true})
	default:
		return
	}
	m.send(reply)
}

// send sends a packet to a random balancer.
func (m *Machine) send(p *schema.CallerPacket) {
	m.out = append(m.out, Send{m.rng.IntN(m.balancers), p})
}

// sendOwner sends a packet with the present token.
func (m *Machine) sendOwner(e *exchange, p *schema.CallerPacket) {
	p.RequestId = e.id
	p.Token = e.token
	m.send(p)
}

// repeat sets the time of the next repetition and doubles the wait.
func (m *Machine) repeat(now time.Time, e *exchange) {
	if e.backoff == 0 {
		e.backoff = firstRetry
	}
	e.due = now.Add(e.backoff)
	e.backoff = min(2*e.backoff, maxRetry)
	m.wakeups.Set(e.id, e.due)
	m.wakeups.Set(e.id, e.call.Deadline)
}

func cancelBody() *schema.CallerPacket_Cancel {
	return &schema.CallerPacket_Cancel{Cancel: &schema.Cancel{}}
}

func ackBody(ack *schema.FragmentAck) *schema.CallerPacket_Ack {
	return &schema.CallerPacket_Ack{Ack: ack}
}

// remaining returns the time until the deadline in milliseconds, at least one,
// because zero stands for no time left.
func remaining(now time.Time, deadline time.Time) uint32 {
	left := deadline.Sub(now).Milliseconds()
	return uint32(min(max(left, 1), 1<<31))
}
