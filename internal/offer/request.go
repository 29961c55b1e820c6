package offer

import (
	"strings"
	"time"

	"github.com/peridotstall/peridotstall/internal/fragment"
	"github.com/peridotstall/peridotstall/internal/schema"
)

// handleRequestPacket processes a packet that carries the token of a request.
func (m *Machine) handleRequestPacket(now time.Time, r *record, p *schema.CallerPacket) {
	switch body := p.Body.(type) {
	case *schema.CallerPacket_Request:
		m.handleRequestFragment(now, r, body.Request)
	case *schema.CallerPacket_Ack:
		m.handleAck(now, r, body.Ack)
	case *schema.CallerPacket_Cancel:
		m.handleCancel(now, r)
	default:
		m.drop(r.key, r.sequence, "packet does not belong to a request")
	}
}

// handleRequestFragment assembles the request. A fragment that arrives after the
// request was complete is a duplicate: the reply is the state of the request, and
// nothing runs again.
func (m *Machine) handleRequestFragment(now time.Time, r *record, f *schema.Fragment) {
	if r.state != stateOffered && r.state != stateAssembling {
		m.sendState(now, r)
		return
	}
	if m.endIfExpired(now, r) {
		m.sendOutcome(r)
		return
	}
	if int(f.Count) != fragment.Count(r.size) {
		m.drop(r.key, r.sequence, "fragment count differs from the size in the opening")
		return
	}
	if r.request == nil {
		r.request = fragment.NewReceiver(f.Count)
	}
	fresh, ack := r.request.Add(f)
	if fresh {
		m.recordFragment(now, r, f)
	}
	if r.request.Complete() {
		m.enqueue(now, r)
		return
	}
	if ack {
		m.sendState(now, r)
	}
}

// recordFragment updates the state, deadline and expiry for a new fragment. The
// remaining time in the fragment can shorten the deadline but not extend it.
func (m *Machine) recordFragment(now time.Time, r *record, f *schema.Fragment) {
	if r.state == stateOffered {
		r.transition(stateAssembling)
	}
	left := time.Duration(f.DeadlineMs) * time.Millisecond
	if left > 0 && now.Add(left).Before(r.deadline) {
		r.deadline = now.Add(left)
	}
	r.expires = now.Add(OfferTTL)
}

// endIfExpired ends an offer that expired or whose deadline passed, and reports
// whether it did.
func (m *Machine) endIfExpired(now time.Time, r *record) bool {
	if !now.Before(r.deadline) {
		m.endAndRelease(now, r, schema.ErrorKind_REFUSED_DEADLINE, "the deadline passed before the request was complete")
		return true
	}
	if !now.Before(r.expires) {
		m.endAndRelease(now, r, schema.ErrorKind_OFFER_EXPIRED, "")
		return true
	}
	return false
}

func (m *Machine) enqueue(now time.Time, r *record) {
	body := r.request.Body()
	if len(body) != r.size {
		m.endAndRelease(now, r, schema.ErrorKind_MALFORMED, "size differs from the opening")
		m.sendOutcome(r)
		return
	}
	if !m.admission.Enqueue(now, r.ticket) {
		m.endAndRelease(now, r, schema.ErrorKind_OFFER_EXPIRED, "the reservation is gone")
		m.sendOutcome(r)
		return
	}
	r.transition(stateQueued)
	m.schedule(r, r.deadline)
	m.sendState(now, r)
}

// startQueued dispatches the queued requests for which admission has a slot.
func (m *Machine) startQueued(now time.Time) {
	for _, ticket := range m.admission.RemoveExpired(now) {
		if r := m.byTicket[ticket]; r != nil && r.state == stateQueued {
			m.endAndRelease(now, r, schema.ErrorKind_REFUSED_DEADLINE, "the deadline passed in the queue")
			m.sendOutcome(r)
		}
	}
	for {
		ticket, ok := m.admission.Next(now)
		if !ok {
			return
		}
		r := m.byTicket[ticket]
		if r == nil || r.state != stateQueued {
			m.admission.Done(now, ticket, Result{})
			continue
		}
		m.dispatch(now, r)
	}
}

func (m *Machine) dispatch(now time.Time, r *record) {
	if !now.Before(r.deadline) {
		m.admission.Done(now, r.ticket, Result{})
		delete(m.byTicket, r.ticket)
		m.endNotRun(now, r, schema.ErrorKind_REFUSED_DEADLINE, "the deadline passed in the queue")
		m.sendOutcome(r)
		return
	}
	r.transition(stateRunning)
	r.started = now
	r.atBackend = true
	m.offers--
	m.running++
	m.schedule(r, r.deadline)
	m.emit(StartRequest{
		Sequence:   r.sequence,
		Key:        r.key,
		RequestID:  r.requestID,
		Class:      r.class,
		Idempotent: r.idempotent,
		Deadline:   r.deadline,
		Body:       r.request.Body(),
	})
	m.emit(Observation{Event: RequestStarted, Key: r.key, Sequence: r.sequence})
	r.request = nil
}

// BackendDone reports the end of a dispatched request.
func (m *Machine) BackendDone(now time.Time, sequence uint64, response Response) []Action {
	r := m.records[sequence]
	if r == nil || !r.atBackend {
		m.drop(Key{}, sequence, "end of a request that is not at the backend server")
		return m.flush()
	}
	r.atBackend = false
	m.running--
	m.pendingBytes -= r.size
	m.admission.Done(now, r.ticket, m.result(now, r, response))
	delete(m.byTicket, r.ticket)
	if r.state == stateRunning {
		m.retainAnswer(now, r, response)
	} else {
		m.setRetention(now, r)
	}
	m.startQueued(now)
	return m.flush()
}

// result returns the result for admission. A request that ended before the
// backend server responded counts as neither shed nor failed, because it gives no
// information about the health of the backend server.
func (m *Machine) result(now time.Time, r *record, response Response) Result {
	if r.state != stateRunning {
		return Result{ServiceTime: now.Sub(r.started)}
	}
	return Result{
		ServiceTime: now.Sub(r.started),
		Shed:        response.Kind == schema.ErrorKind_BACKEND_SHED,
		Failed:      response.Kind == schema.ErrorKind_BACKEND_FAILED,
	}
}

// retainAnswer retains the response and starts sending it.
func (m *Machine) retainAnswer(now time.Time, r *record, response Response) {
	if response.Kind == schema.ErrorKind_ERROR_KIND_NONE && len(response.Body) > fragment.MaxSize {
		response.Kind = schema.ErrorKind_BACKEND_FAILED
		response.Detail = "the response is too large"
	}
	m.endDispatched(now, r, response.Kind, response.Detail)
	if response.Kind != schema.ErrorKind_ERROR_KIND_NONE {
		m.sendOutcome(r)
		return
	}
	r.status = response.Status
	r.answerBytes = len(response.Body)
	r.answer = fragment.NewSender(response.Body)
	m.answerBytes += r.answerBytes
	m.evictExcess()
	if m.records[r.sequence] == r {
		m.sendAnswer(now, r)
	}
}

// handleCancel cancels a request. The outcome states that the request was not run
// only when it was not dispatched.
func (m *Machine) handleCancel(now time.Time, r *record) {
	switch {
	case r.state.runnable():
		m.endAndRelease(now, r, schema.ErrorKind_CANCELLED_NOT_RUN, "")
	case r.state == stateRunning:
		m.emit(CancelRequest{r.sequence})
		m.endDispatched(now, r, schema.ErrorKind_CANCELLED, "cancelled by the caller")
	}
	m.sendState(now, r)
}

// handleAck processes an acknowledgement of answer fragments. An acknowledgement
// without missing fragments that is not whole requests the answer.
func (m *Machine) handleAck(now time.Time, r *record, a *schema.FragmentAck) {
	if !a.OfAnswer {
		m.drop(r.key, r.sequence, "acknowledgement of request fragments")
		return
	}
	if r.answer == nil {
		m.sendState(now, r)
		return
	}
	r.answer.Ack(a.Missing, a.Whole)
	if r.answer.Complete() {
		m.releaseAnswer(r)
		return
	}
	m.sendAnswer(now, r)
}

// sendState sends the state of the request to the caller.
func (m *Machine) sendState(now time.Time, r *record) {
	switch r.state {
	case stateEnded:
		if r.answer != nil {
			m.sendAnswer(now, r)
			return
		}
		m.sendOutcome(r)
	case stateOffered, stateAssembling:
		m.sendAck(r, false)
	default:
		m.sendAck(r, true)
	}
}

// sendAck acknowledges request fragments; whole is true when all of them arrived.
func (m *Machine) sendAck(r *record, whole bool) {
	ack := &schema.FragmentAck{Whole: whole}
	if !whole {
		ack.Missing = m.missing(r)
	}
	m.reply(r, &schema.CallerPacket{Body: &schema.CallerPacket_Ack{Ack: ack}})
}

func (m *Machine) missing(r *record) []uint32 {
	if r.request == nil {
		return fragment.NewReceiver(uint32(fragment.Count(r.size))).Missing()
	}
	return r.request.Missing()
}

func (m *Machine) sendAnswer(now time.Time, r *record) {
	for _, index := range r.answer.NextFragments(now) {
		m.reply(r, &schema.CallerPacket{Body: &schema.CallerPacket_Answer{Answer: &schema.Fragment{
			Index:  index,
			Count:  r.answer.Count(),
			Data:   r.answer.Data(index),
			Status: r.status,
		}}})
	}
	if r.answer.Timeouts() < maxAnswerTimeouts {
		m.schedule(r, r.answer.NextTimeout())
	}
}

// sendOutcome sends the outcome of a request that has no retained answer.
func (m *Machine) sendOutcome(r *record) {
	kind, detail := r.kind, r.detail
	if kind == schema.ErrorKind_ERROR_KIND_NONE {
		kind = schema.ErrorKind_UNKNOWN_OUTCOME
		detail = "the answer was delivered and is no longer retained"
	}
	r.withdrawnUntil = time.Time{}
	m.reply(r, outcomePacket(kind, detail))
}

func outcomePacket(kind schema.ErrorKind, detail string) *schema.CallerPacket {
	return &schema.CallerPacket{Body: &schema.CallerPacket_Outcome{Outcome: &schema.Outcome{
		Kind:   kind,
		Detail: truncateDetail(detail),
	}}}
}

// truncateDetail limits a text to maxDetailBytes and removes invalid UTF-8, which
// the wire encoding rejects. The text can come from a backend server.
func truncateDetail(detail string) string {
	if len(detail) > maxDetailBytes {
		detail = detail[:maxDetailBytes]
	}
	return strings.ToValidUTF8(detail, "")
}
