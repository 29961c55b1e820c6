package offer

import (
	"strings"
	"time"

	"github.com/peridotstall/peridotstall/internal/fragment"
	"github.com/peridotstall/peridotstall/internal/schema"
)

// requestPacket takes a packet with the token of a request.
func (m *Machine) requestPacket(now time.Time, r *record, p *schema.CallerPacket) {
	switch body := p.Body.(type) {
	case *schema.CallerPacket_Request:
		m.requestFragment(now, r, body.Request)
	case *schema.CallerPacket_Ack:
		m.ack(now, r, body.Ack)
	case *schema.CallerPacket_Cancel:
		m.cancel(now, r)
	default:
		m.drop(r.key, r.sequence, "packet does not belong to a request")
	}
}

// requestFragment assembles the request. A fragment of a request that is
// complete joins it: the caller learns its state and nothing runs again.
func (m *Machine) requestFragment(now time.Time, r *record, f *schema.Fragment) {
	if r.state != stateOffered && r.state != stateAssembling {
		m.report(now, r)
		return
	}
	if m.lapsed(now, r) {
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
	fresh, ack := r.request.Put(f)
	if fresh {
		m.progress(now, r, f)
	}
	if r.request.Whole() {
		m.enqueue(now, r)
		return
	}
	if ack {
		m.report(now, r)
	}
}

// progress notes a new fragment. The caller's remaining time may shorten the
// deadline, never extend it.
func (m *Machine) progress(now time.Time, r *record, f *schema.Fragment) {
	if r.state == stateOffered {
		r.move(stateAssembling)
	}
	left := time.Duration(f.DeadlineMs) * time.Millisecond
	if left > 0 && now.Add(left).Before(r.deadline) {
		r.deadline = now.Add(left)
	}
	r.expires = now.Add(OfferLife)
}

// lapsed ends an offer whose time or deadline passed.
func (m *Machine) lapsed(now time.Time, r *record) bool {
	if !now.Before(r.deadline) {
		m.giveUp(now, r, schema.ErrorKind_REFUSED_DEADLINE, "the deadline passed before the request was complete")
		return true
	}
	if !now.Before(r.expires) {
		m.giveUp(now, r, schema.ErrorKind_OFFER_EXPIRED, "")
		return true
	}
	return false
}

func (m *Machine) enqueue(now time.Time, r *record) {
	body := r.request.Body()
	if len(body) != r.size {
		m.giveUp(now, r, schema.ErrorKind_MALFORMED, "size differs from the opening")
		m.sendOutcome(r)
		return
	}
	if !m.admission.Enqueue(now, r.ticket) {
		m.giveUp(now, r, schema.ErrorKind_OFFER_EXPIRED, "the reservation is gone")
		m.sendOutcome(r)
		return
	}
	r.move(stateQueued)
	m.schedule(r, r.deadline)
	m.report(now, r)
}

// start hands over the queued requests for which admission has a slot.
func (m *Machine) start(now time.Time) {
	for _, ticket := range m.admission.Expired(now) {
		if r := m.tickets[ticket]; r != nil && r.state == stateQueued {
			m.giveUp(now, r, schema.ErrorKind_REFUSED_DEADLINE, "the deadline passed in the queue")
			m.sendOutcome(r)
		}
	}
	for {
		ticket, ok := m.admission.Next(now)
		if !ok {
			return
		}
		r := m.tickets[ticket]
		if r == nil || r.state != stateQueued {
			m.admission.Done(now, ticket, Result{})
			continue
		}
		m.handOver(now, r)
	}
}

func (m *Machine) handOver(now time.Time, r *record) {
	if !now.Before(r.deadline) {
		m.admission.Done(now, r.ticket, Result{})
		delete(m.tickets, r.ticket)
		m.endNotRun(now, r, schema.ErrorKind_REFUSED_DEADLINE, "the deadline passed in the queue")
		m.sendOutcome(r)
		return
	}
	r.move(stateRunning)
	r.started = now
	r.atBack = true
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
	m.emit(Fact{Event: RequestStarted, Key: r.key, Sequence: r.sequence})
	r.request = nil
}

// BackendDone reports the end of a request that was handed over.
func (m *Machine) BackendDone(now time.Time, sequence uint64, response Response) []Action {
	r := m.records[sequence]
	if r == nil || !r.atBack {
		m.drop(Key{}, sequence, "end of a request that is not at the backend server")
		return m.flush()
	}
	r.atBack = false
	m.running--
	m.pendingBytes -= r.size
	m.admission.Done(now, r.ticket, m.result(now, r, response))
	delete(m.tickets, r.ticket)
	if r.state == stateRunning {
		m.answer(now, r, response)
	} else {
		m.setRetention(now, r)
	}
	m.start(now)
	return m.flush()
}

// result excludes cancelled requests from what admission learns of the backend
// server, because their end says nothing about its health.
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

// answer retains the response and begins to send it.
func (m *Machine) answer(now time.Time, r *record, response Response) {
	if response.Kind == schema.ErrorKind_ERROR_KIND_NONE && len(response.Body) > fragment.MaxSize {
		response.Kind = schema.ErrorKind_BACKEND_FAILED
		response.Detail = "the response is too large"
	}
	m.endAfterHandOver(now, r, response.Kind, response.Detail)
	if response.Kind != schema.ErrorKind_ERROR_KIND_NONE {
		m.sendOutcome(r)
		return
	}
	r.status = response.Status
	r.bytes = len(response.Body)
	r.answer = fragment.NewSender(response.Body)
	m.answerBytes += r.bytes
	m.trim()
	if m.records[r.sequence] == r {
		m.sendAnswer(now, r)
	}
}

// cancel withdraws a request. Only one that was not handed over is "not run".
func (m *Machine) cancel(now time.Time, r *record) {
	switch {
	case r.state.runnable():
		m.giveUp(now, r, schema.ErrorKind_CANCELLED_NOT_RUN, "")
	case r.state == stateRunning:
		m.emit(CancelRequest{r.sequence})
		m.endAfterHandOver(now, r, schema.ErrorKind_CANCELLED, "cancelled by the caller")
	}
	m.report(now, r)
}

// ack takes an acknowledgement of answer fragments, or a query when it lists
// nothing.
func (m *Machine) ack(now time.Time, r *record, a *schema.FragmentAck) {
	if !a.OfAnswer {
		m.drop(r.key, r.sequence, "acknowledgement of request fragments")
		return
	}
	if r.answer == nil {
		m.report(now, r)
		return
	}
	r.answer.Ack(a.Missing, a.Whole)
	if r.answer.Whole() {
		m.releaseAnswer(r)
		return
	}
	m.sendAnswer(now, r)
}

// report tells the caller the state of its request.
func (m *Machine) report(now time.Time, r *record) {
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

// sendAck acknowledges request fragments; whole means that all arrived.
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
	for _, index := range r.answer.Take(now) {
		m.reply(r, &schema.CallerPacket{Body: &schema.CallerPacket_Answer{Answer: &schema.Fragment{
			Index:  index,
			Count:  r.answer.Count(),
			Data:   r.answer.Data(index),
			Status: r.status,
		}}})
	}
	if r.answer.Rounds() < maxAnswerRounds {
		m.schedule(r, r.answer.Wake())
	}
}

// sendOutcome sends the end of a request that has no answer to send.
func (m *Machine) sendOutcome(r *record) {
	kind, detail := r.kind, r.detail
	if kind == schema.ErrorKind_ERROR_KIND_NONE {
		kind = schema.ErrorKind_UNKNOWN_OUTCOME
		detail = "the answer was delivered and is no longer retained"
	}
	r.tell = time.Time{}
	m.reply(r, outcomePacket(kind, detail))
}

func outcomePacket(kind schema.ErrorKind, detail string) *schema.CallerPacket {
	return &schema.CallerPacket{Body: &schema.CallerPacket_Outcome{Outcome: &schema.Outcome{
		Kind:   kind,
		Detail: clip(detail),
	}}}
}

// clip bounds a text and removes what cannot be encoded, since a detail may come
// from a backend server.
func clip(detail string) string {
	if len(detail) > maxDetail {
		detail = detail[:maxDetail]
	}
	return strings.ToValidUTF8(detail, "")
}
