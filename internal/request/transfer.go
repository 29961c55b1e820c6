package request

import (
	"time"

	"github.com/peridotstall/peridotstall/internal/fragment"
	"github.com/peridotstall/peridotstall/internal/schema"
)

// transmit sends the fragments that are due.
func (m *Machine) transmit(now time.Time, e *exchange) {
	for _, index := range e.sender.Take(now) {
		m.sendOwner(e, &schema.CallerPacket{Body: &schema.CallerPacket_Request{Request: &schema.Fragment{
			Index:      index,
			Count:      e.sender.Count(),
			Data:       e.sender.Data(index),
			DeadlineMs: remaining(now, e.call.Deadline),
		}}})
	}
	m.wakeups.Set(e.id, e.sender.Wake())
}

// ack takes an acknowledgement of request fragments.
func (m *Machine) ack(now time.Time, e *exchange, a *schema.FragmentAck) {
	if a.OfAnswer || e.phase != phaseSending {
		return
	}
	e.sender.Ack(a.Missing, a.Whole)
	m.transmit(now, e)
}

// query asks the owner for the answer, listing the fragments that are missing.
// It goes on until the deadline, because only the owner knows the outcome.
func (m *Machine) query(now time.Time, e *exchange) {
	if now.Before(e.due) {
		m.wakeups.Set(e.id, e.due)
		return
	}
	if e.sender.Whole() {
		m.ackAnswer(e)
	}
	m.repeat(now, e)
}

func (m *Machine) ackAnswer(e *exchange) {
	ack := &schema.FragmentAck{OfAnswer: true}
	if e.receiver != nil {
		ack.Missing = e.receiver.Missing()
		ack.Whole = e.receiver.Whole()
	}
	m.sendOwner(e, &schema.CallerPacket{Body: ackBody(ack)})
}

// answer assembles the answer. It also acknowledges the request.
func (m *Machine) answer(now time.Time, e *exchange, f *schema.Fragment) {
	if e.receiver == nil {
		e.receiver = fragment.NewReceiver(f.GetCount())
	}
	if e.receiver == nil {
		return
	}
	e.sender.Ack(nil, true)
	fresh, ack := e.receiver.Put(f)
	if fresh {
		e.backoff = 0
		m.repeat(now, e)
	}
	if ack {
		m.ackAnswer(e)
	}
	if !e.receiver.Whole() {
		return
	}
	m.remove(e)
	m.out = append(m.out, Finished{ID: e.id, Response: &Response{
		Status: f.GetStatus(),
		Body:   e.receiver.Body(),
		Target: e.token.Target,
	}})
}

// repeatCancel repeats the cancellation until the owner tells the outcome.
func (m *Machine) repeatCancel(now time.Time, e *exchange) {
	if !now.Before(e.giveUpAt) {
		m.deadline(e)
		return
	}
	m.sendOwner(e, &schema.CallerPacket{Body: cancelBody()})
	m.wakeups.Set(e.id, now.Add(cancelRetry))
}
