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
	phaseOpening    phase = iota + 1 // opening sent, waiting for an offer
	phaseSending                     // request sent with a token
	phaseCancelling                  // cancelled, waiting for the outcome
	phaseAccepting                   // session offer accepted, not confirmed
	phaseSession                     // session open
)

// tokenKey is the comparable form of a token.
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

	token    *schema.Token // of the accepted offer
	notRun   []tokenKey    // earlier tokens whose requests were not run
	tried    []uint32      // targets that refused
	attempt  uint32
	refused  *errkind.Error // latest refusal
	refusals int

	due     time.Time // next retransmission of the pending packet
	backoff time.Duration
	repeats int

	sender         *fragment.Sender
	receiver       *fragment.Receiver
	ownerReplied   bool      // the owner replied to a packet with the token
	cancelDeadline time.Time // end of the wait after a cancellation

	sendSeq  uint64
	received wire.SequenceWindow
	pings    uint64
	missed   int
	// pingSends counts how often the current ping was sent.
	pingSends int
}

// ended is the part of an ended exchange that is needed to reply to late packets.
type ended struct {
	token   *schema.Token
	session bool
}

// Machine is the request state machine of one caller. It is not safe for
// concurrent use.
type Machine struct {
	balancers      int
	rng            *rand.Rand
	budget         retryBudget
	exchanges      map[uint64]*exchange
	wakeups        wakeup.Queue
	lingering      map[uint64]ended
	lingeringOrder []uint64 // keys of lingering, oldest first
	actions        []Action
}

// New returns a Machine that sends to the given number of balancers and draws
// request IDs and balancers from rng.
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
	out := m.actions
	m.actions = nil
	return out
}

// Start starts a request and returns its ID.
func (m *Machine) Start(now time.Time, call Call) (uint64, []Action) {
	return m.begin(now, &exchange{call: call})
}

// OpenSession starts opening a session and returns its ID.
func (m *Machine) OpenSession(now time.Time, class string, deadline time.Time) (uint64, []Action) {
	call := Call{Class: class, Deadline: deadline}
	return m.begin(now, &exchange{call: call, session: true})
}

// Receive processes a packet from a balancer. A packet of no exchange in progress
// changes nothing; nor does one with another token than the current one, unless it
// is an offer or a refusal.
func (m *Machine) Receive(now time.Time, p *schema.CallerPacket) []Action {
	e := m.exchanges[p.RequestId]
	if e == nil {
		m.handleLatePacket(p)
		return m.flush()
	}
	switch body := p.Body.(type) {
	case *schema.CallerPacket_Offer:
		m.handleOffer(now, e, p.Token)
	case *schema.CallerPacket_Refusal:
		m.handleRefusal(now, e, body.Refusal)
	default:
		if e.token != nil && keyOf(e.token) == keyOf(p.Token) {
			m.handleOwnerPacket(now, e, p)
		}
	}
	return m.flush()
}

// handleOwnerPacket processes a packet that carries the current token.
func (m *Machine) handleOwnerPacket(now time.Time, e *exchange, p *schema.CallerPacket) {
	if e.phase == phaseOpening {
		return
	}
	e.ownerReplied = true
	if outcome := p.GetOutcome(); outcome != nil {
		m.handleOutcome(now, e, errkind.New(outcome.Kind, "%s", outcome.Detail))
		return
	}
	if e.session {
		m.handleSessionPacket(now, e, p)
		return
	}
	switch body := p.Body.(type) {
	case *schema.CallerPacket_Ack:
		m.handleAck(now, e, body.Ack)
	case *schema.CallerPacket_Answer:
		m.handleAnswer(now, e, body.Answer)
	}
}

// Cancel cancels a request or closes a session.
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
		e.cancelDeadline = now.Add(cancelTimeout)
		m.repeatCancel(now, e)
	default:
		m.sendOwner(e, &schema.CallerPacket{Body: &schema.CallerPacket_Close{Close: &schema.Close{}}})
		m.fail(e, errkind.New(schema.ErrorKind_CANCELLED, "session closed"))
	}
	return m.flush()
}

// Tick retransmits packets and applies deadlines.
func (m *Machine) Tick(now time.Time) []Action {
	for _, id := range m.wakeups.PopDue(now) {
		if e := m.exchanges[id]; e != nil {
			m.wake(now, e)
		}
	}
	return m.flush()
}

// NextWake returns the time at which Tick has work, or the zero time when nothing
// is pending.
func (m *Machine) NextWake() time.Time {
	return m.wakeups.Next()
}

// InProgress returns the IDs of the requests and sessions in ascending order.
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
		m.timeOut(e)
		return
	}
	if e.phase != phaseSession {
		m.wakeups.Schedule(e.id, e.call.Deadline)
	}
	switch e.phase {
	case phaseOpening:
		m.repeatOpening(now, e)
	case phaseSending:
		m.transmit(now, e)
		m.requestAnswer(now, e)
	case phaseCancelling:
		m.repeatCancel(now, e)
	case phaseAccepting:
		m.repeatAccept(now, e)
	case phaseSession:
		m.checkSession(now, e)
	}
}

// timeOut ends an exchange at its deadline or cancellation timeout. A request that
// was never sent with a token, or for which every token is known not to have run,
// was not run.
func (m *Machine) timeOut(e *exchange) {
	switch {
	case e.phase == phaseOpening && e.refused != nil:
		m.fail(e, e.refused)
	case e.phase == phaseOpening:
		m.fail(e, errkind.New(schema.ErrorKind_REFUSED_DEADLINE, "no offer before the deadline"))
	case e.phase == phaseCancelling:
		m.fail(e, errkind.New(schema.ErrorKind_CANCELLED, "no answer to the cancellation"))
	case e.ownerReplied:
		m.abandon(e, errkind.New(schema.ErrorKind_DEADLINE_EXCEEDED, "target %d has the request", e.token.Target))
	default:
		m.abandon(e, errkind.New(schema.ErrorKind_UNKNOWN_OUTCOME, "target %d did not answer", e.token.Target))
	}
}

// abandon sends a cancellation to the owner and ends the exchange.
func (m *Machine) abandon(e *exchange, err *errkind.Error) {
	m.sendOwner(e, &schema.CallerPacket{Body: cancelBody()})
	m.fail(e, err)
}

// fail ends an exchange with an error.
func (m *Machine) fail(e *exchange, err *errkind.Error) {
	m.remove(e)
	if e.session {
		m.actions = append(m.actions, SessionEnded{e.id, err})
		return
	}
	m.actions = append(m.actions, Finished{ID: e.id, Err: err})
}

func (m *Machine) remove(e *exchange) {
	delete(m.exchanges, e.id)
	m.wakeups.Remove(e.id)
	if e.token == nil {
		return
	}
	if len(m.lingeringOrder) >= maxLingering {
		delete(m.lingering, m.lingeringOrder[0])
		m.lingeringOrder = m.lingeringOrder[1:]
	}
	m.lingering[e.id] = ended{e.token, e.session}
	m.lingeringOrder = append(m.lingeringOrder, e.id)
}

// handleLatePacket replies to a packet of an ended exchange, so that the owner
// stops sending.
func (m *Machine) handleLatePacket(p *schema.CallerPacket) {
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
	m.actions = append(m.actions, Send{m.rng.IntN(m.balancers), p})
}

// sendOwner sends a packet that carries the current token.
func (m *Machine) sendOwner(e *exchange, p *schema.CallerPacket) {
	p.RequestId = e.id
	p.Token = e.token
	m.send(p)
}

// scheduleRepeat schedules the next retransmission and doubles the delay.
func (m *Machine) scheduleRepeat(now time.Time, e *exchange) {
	if e.backoff == 0 {
		e.backoff = initialRetryDelay
	}
	e.due = now.Add(e.backoff)
	e.backoff = min(2*e.backoff, maxRetryDelay)
	m.wakeups.Schedule(e.id, e.due)
	m.wakeups.Schedule(e.id, e.call.Deadline)
}

func cancelBody() *schema.CallerPacket_Cancel {
	return &schema.CallerPacket_Cancel{Cancel: &schema.Cancel{}}
}

func ackBody(ack *schema.FragmentAck) *schema.CallerPacket_Ack {
	return &schema.CallerPacket_Ack{Ack: ack}
}

// remainingMs returns the time until the deadline in milliseconds. It returns at
// least 1, because agents refuse an opening with 0 as past its deadline.
func remainingMs(now time.Time, deadline time.Time) uint32 {
	left := deadline.Sub(now).Milliseconds()
	return uint32(min(max(left, 1), 1<<31))
}
