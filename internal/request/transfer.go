package request

import (
	"time"

	"github.com/peridotstall/peridotstall/internal/fragment"
	"github.com/peridotstall/peridotstall/internal/schema"
)

// transmit sends the fragments that are due.
func (m *Machine) transmit(now time.Time, e *exchange) {
	for _, index := range e.sender.NextFragments(now) {
		m.sendOwner(e, &schema.CallerPacket{Body: &schema.CallerPacket_Request{Request: &schema.Fragment{
			Index:      index,
			Count:      e.sender.Count(),
			Data:       e.sender.Data(index),
			DeadlineMs: remainingMs(now, e.call.Deadline),
		}}})
	}
	m.wakeups.Schedule(e.id, e.sender.NextTimeout())
}

// handleAck processes an acknowledgement of request fragments.
func (m *Machine) handleAck(now time.Time, e *exchange, a *schema.FragmentAck) {
	if a.OfAnswer || e.phase != phaseSending {
		return
	}
	e.sender.Ack(a.Missing, a.Whole)
	m.transmit(now, e)
}

// requestAnswer requests the missing fragments of the answer from the owner. It
// repeats until the deadline, because only the owner has the outcome.
func (m *Machine) requestAnswer(now time.Time, e *exchange) {
	if now.Before(e.due) {
		m.wakeups.Schedule(e.id, e.due)
		return
	}
	if e.sender.Complete() {
		m.ackAnswer(e)
	}
	m.scheduleRepeat(now, e)
}

func (m *Machine) ackAnswer(e *exchange) {
	ack := &schema.FragmentAck{OfAnswer: true}
	if e.receiver != nil {
		ack.Missing = e.receiver.Missing()
		ack.Whole = e.receiver.Complete()
	}
	m.sendOwner(e, &schema.CallerPacket{Body: ackBody(ack)})
}

// handleAnswer assembles the answer. An answer implies that the owner has the whole
// request.
func (m *Machine) handleAnswer(now time.Time, e *exchange, f *schema.Fragment) {
	if e.receiver == nil {
		e.receiver = fragment.NewReceiver(f.GetCount())
	}
	if e.receiver == nil {
		return
	}
	e.sender.Ack(nil, true)
	fresh, ack := e.receiver.Add(f)
	if fresh {
		e.backoff = 0
		m.scheduleRepeat(now, e)
	}
	if ack {
		m.ackAnswer(e)
	}
	if !e.receiver.Complete() {
		return
	}
	m.remove(e)
	m.actions = append(m.actions, Finished{ID: e.id, Response: &Response{
		Status: f.GetStatus(),
		Body:   e.receiver.Body(),
		Target: e.token.Target,
	}})
}

// repeatCancel repeats the cancellation until the owner sends the outcome or the
// cancellation times out.
func (m *Machine) repeatCancel(now time.Time, e *exchange) {
	if !now.Before(e.cancelDeadline) {
		m.timeOut(e)
		return
	}
	m.sendOwner(e, &schema.CallerPacket{Body: cancelBody()})
	m.wakeups.Schedule(e.id, now.Add(cancelRetryInterval))
}
