package request

import (
	"time"
	"unicode/utf8"

	"github.com/peridotstall/peridotstall/internal/errkind"
	"github.com/peridotstall/peridotstall/internal/fragment"
	"github.com/peridotstall/peridotstall/internal/schema"
)

// begin registers an exchange and sends its first opening.
func (m *Machine) begin(now time.Time, e *exchange) (uint64, []Action) {
	for e.id == 0 || m.exchanges[e.id] != nil {
		e.id = m.rng.Uint64()
	}
	e.phase = phaseOpening
	if err := m.check(now, e); err != nil {
		m.fail(e, err)
		return e.id, m.flush()
	}
	m.exchanges[e.id] = e
	m.budget.attempt(now)
	m.open(now, e)
	return e.id, m.flush()
}

// check applies the bounds that need no answer of the system.
func (m *Machine) check(now time.Time, e *exchange) *errkind.Error {
	if len(m.exchanges) >= MaxInProgress {
		return errkind.New(schema.ErrorKind_REFUSED_OVERLOAD, "%d requests in progress", MaxInProgress)
	}
	if len(e.call.Body) > fragment.MaxSize {
		return errkind.New(schema.ErrorKind_TOO_LARGE, "%d bytes, limit %d", len(e.call.Body), fragment.MaxSize)
	}
	if len(e.call.Class) > maxClass || !utf8.ValidString(e.call.Class) {
		return errkind.New(schema.ErrorKind_MALFORMED, "class name")
	}
	if !now.Before(e.call.Deadline) {
		return errkind.New(schema.ErrorKind_REFUSED_DEADLINE, "no time left")
	}
	return nil
}

func (m *Machine) open(now time.Time, e *exchange) {
	m.send(&schema.CallerPacket{
		RequestId: e.id,
		Body: &schema.CallerPacket_Open{Open: &schema.Open{
			Class:      e.call.Class,
			Idempotent: e.call.Idempotent,
			DeadlineMs: remaining(now, e.call.Deadline),
			Size:       uint32(len(e.call.Body)),
			Session:    e.session,
			Tried:      e.tried,
			Attempt:    e.attempt,
		}},
	})
	m.repeat(now, e)
}

// repeatOpen repeats an unanswered opening. From the second repetition on it is
// another attempt, within the retry budget: the candidate may be dead.
func (m *Machine) repeatOpen(now time.Time, e *exchange) {
	if now.Before(e.due) {
		m.wakeups.Set(e.id, e.due)
		return
	}
	e.repeats++
	if e.repeats >= 2 && m.budget.retry(now) {
		e.attempt++
	}
	m.open(now, e)
}

// offered takes exactly one offer. One that comes too late is declined, so that
// its queue room is free before it expires.
func (m *Machine) offered(now time.Time, e *exchange, token *schema.Token) {
	if token == nil || e.isDead(token) {
		return
	}
	if e.phase != phaseOpening {
		if keyOf(token) != keyOf(e.token) {
			m.send(&schema.CallerPacket{RequestId: e.id, Token: token, Body: cancelBody()})
		}
		return
	}
	e.token = token
	e.heard = false
	e.backoff = 0
	if e.session {
		e.phase = phaseJoining
		m.join(now, e)
		return
	}
	e.phase = phaseSending
	e.sender = fragment.NewSender(e.call.Body)
	m.repeat(now, e)
	m.transmit(now, e)
}

func (e *exchange) isDead(token *schema.Token) bool {
	for _, dead := range e.dead {
		if dead == keyOf(token) {
			return true
		}
	}
	return false
}

// refusal takes the refusal of an opening. A repeated one of the same target is
// a duplicate, except that REFUSED_NO_TARGET ends the search.
func (m *Machine) refusal(now time.Time, e *exchange, r *schema.Refusal) {
	if e.phase != phaseOpening {
		return
	}
	answer := errkind.Lookup(r.GetKind())
	if answer.Ran != errkind.RanNo {
		return
	}
	err := errkind.New(r.GetKind(), "%s", r.GetDetail())
	if !answer.RetryElsewhere {
		if e.refused != nil && r.GetKind() == schema.ErrorKind_REFUSED_NO_TARGET {
			err = e.refused
		}
		m.fail(e, err)
		return
	}
	for _, target := range e.tried {
		if target == r.GetTarget() {
			return
		}
	}
	m.elsewhere(now, e, err, r.GetTarget())
}

// mayRetry applies the retry budget to refusals because of load. A draining
// target says nothing about load, and a planned stop must not turn requests
// away that another target can take.
func (m *Machine) mayRetry(now time.Time, err *errkind.Error) bool {
	return err.Kind == schema.ErrorKind_REFUSED_DRAINING || m.budget.retry(now)
}

// elsewhere opens again, on other targets than the one that refused, or ends the
// request with the refusal.
func (m *Machine) elsewhere(now time.Time, e *exchange, err *errkind.Error, target uint32) {
	e.refused = err
	e.refusals++
	if target != 0 {
		e.tried = append(e.tried, target)
	}
	if e.refusals >= maxAttempts || !m.mayRetry(now, err) {
		m.fail(e, err)
		return
	}
	e.attempt++
	e.backoff = 0
	e.repeats = 0
	m.open(now, e)
}

// outcome takes the end of a request or session as stated by its owner.
func (m *Machine) outcome(now time.Time, e *exchange, err *errkind.Error) {
	if err.Kind == schema.ErrorKind_ERROR_KIND_NONE {
		err.Kind = schema.ErrorKind_INTERNAL // an error needs a reason
	}
	answer := errkind.Lookup(err.Kind)
	if e.phase == phaseCancelling && answer.Ran == errkind.RanNo {
		m.fail(e, errkind.New(schema.ErrorKind_CANCELLED_NOT_RUN, "%s", err.Detail))
		return
	}
	if e.phase != phaseSending && e.phase != phaseJoining || !answer.RetryElsewhere {
		m.fail(e, err)
		return
	}
	target := e.token.Target
	if err.Kind == schema.ErrorKind_OFFER_EXPIRED {
		target = 0 // the target did not refuse
	}
	e.dead = append(e.dead, keyOf(e.token))
	e.token = nil
	e.sender = nil
	e.receiver = nil
	e.phase = phaseOpening
	m.elsewhere(now, e, err, target)
}
