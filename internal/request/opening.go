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
	if err := m.checkCall(now, e); err != nil {
		m.fail(e, err)
		return e.id, m.flush()
	}
	m.exchanges[e.id] = e
	m.budget.countAttempt(now)
	m.sendOpening(now, e)
	return e.id, m.flush()
}

// checkCall applies the limits that can be checked without sending an opening.
func (m *Machine) checkCall(now time.Time, e *exchange) *errkind.Error {
	if len(m.exchanges) >= MaxInProgress {
		return errkind.New(schema.ErrorKind_REFUSED_OVERLOAD, "%d requests in progress", MaxInProgress)
	}
	if len(e.call.Body) > fragment.MaxSize {
		return errkind.New(schema.ErrorKind_TOO_LARGE, "%d bytes, limit %d", len(e.call.Body), fragment.MaxSize)
	}
	if len(e.call.Class) > maxClassBytes || !utf8.ValidString(e.call.Class) {
		return errkind.New(schema.ErrorKind_MALFORMED, "class name")
	}
	if !now.Before(e.call.Deadline) {
		return errkind.New(schema.ErrorKind_REFUSED_DEADLINE, "no time left")
	}
	return nil
}

func (m *Machine) sendOpening(now time.Time, e *exchange) {
	m.send(&schema.CallerPacket{
		RequestId: e.id,
		Body: &schema.CallerPacket_Open{Open: &schema.Open{
			Class:      e.call.Class,
			Idempotent: e.call.Idempotent,
			DeadlineMs: remainingMs(now, e.call.Deadline),
			Size:       uint32(len(e.call.Body)),
			Session:    e.session,
			Tried:      e.tried,
			Attempt:    e.attempt,
		}},
	})
	m.scheduleRepeat(now, e)
}

// repeatOpening repeats an unanswered opening. From the second repetition on, the
// attempt number is increased if the retry budget allows it, because the candidate
// may be dead.
func (m *Machine) repeatOpening(now time.Time, e *exchange) {
	if now.Before(e.due) {
		m.wakeups.Schedule(e.id, e.due)
		return
	}
	e.repeats++
	if e.repeats >= 2 && m.budget.allowRetry(now) {
		e.attempt++
	}
	m.sendOpening(now, e)
}

// handleOffer accepts exactly one offer. A later offer is cancelled, so that its
// queue room is released before the offer expires.
func (m *Machine) handleOffer(now time.Time, e *exchange, token *schema.Token) {
	if token == nil || e.knownNotRun(token) {
		return
	}
	if e.phase != phaseOpening {
		if keyOf(token) != keyOf(e.token) {
			m.send(&schema.CallerPacket{RequestId: e.id, Token: token, Body: cancelBody()})
		}
		return
	}
	e.token = token
	e.ownerReplied = false
	e.backoff = 0
	if e.session {
		e.phase = phaseAccepting
		m.acceptSession(now, e)
		return
	}
	e.phase = phaseSending
	e.sender = fragment.NewSender(e.call.Body)
	m.scheduleRepeat(now, e)
	m.transmit(now, e)
}

func (e *exchange) knownNotRun(token *schema.Token) bool {
	for _, key := range e.notRun {
		if key == keyOf(token) {
			return true
		}
	}
	return false
}

// handleRefusal processes the refusal of an opening. A second refusal from the same
// target is ignored as a duplicate, unless its kind rules out a retry, as
// REFUSED_NO_TARGET does.
func (m *Machine) handleRefusal(now time.Time, e *exchange, r *schema.Refusal) {
	if e.phase != phaseOpening {
		return
	}
	info := errkind.Lookup(r.GetKind())
	if info.Ran != errkind.RanNo {
		return
	}
	err := errkind.New(r.GetKind(), "%s", r.GetDetail())
	if !info.RetryElsewhere {
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
	m.retryElsewhere(now, e, err, r.GetTarget())
}

// mayRetry applies the retry budget to refusals, except those of draining targets.
// Draining does not indicate load, and a planned stop must not fail requests that
// another target can serve.
func (m *Machine) mayRetry(now time.Time, err *errkind.Error) bool {
	return err.Kind == schema.ErrorKind_REFUSED_DRAINING || m.budget.allowRetry(now)
}

// retryElsewhere sends another opening that excludes the target that refused, or
// ends the request with the refusal.
func (m *Machine) retryElsewhere(now time.Time, e *exchange, err *errkind.Error, target uint32) {
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
	m.sendOpening(now, e)
}

// handleOutcome processes the outcome of a request or session from its owner.
func (m *Machine) handleOutcome(now time.Time, e *exchange, err *errkind.Error) {
	if err.Kind == schema.ErrorKind_ERROR_KIND_NONE {
		err.Kind = schema.ErrorKind_INTERNAL // an outcome without an error kind is invalid
	}
	info := errkind.Lookup(err.Kind)
	if e.phase == phaseCancelling && info.Ran == errkind.RanNo {
		m.fail(e, errkind.New(schema.ErrorKind_CANCELLED_NOT_RUN, "%s", err.Detail))
		return
	}
	if e.phase != phaseSending && e.phase != phaseAccepting || !info.RetryElsewhere {
		m.fail(e, err)
		return
	}
	target := e.token.Target
	if err.Kind == schema.ErrorKind_OFFER_EXPIRED {
		target = 0 // the target did not refuse
	}
	e.notRun = append(e.notRun, keyOf(e.token))
	e.token = nil
	e.sender = nil
	e.receiver = nil
	e.phase = phaseOpening
	m.retryElsewhere(now, e, err, target)
}
