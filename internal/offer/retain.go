package offer

import (
	"container/list"
	"time"

	"github.com/peridotstall/peridotstall/internal/schema"
)

// endAndRelease ends a request or session offer before dispatch and releases its
// reservation.
func (m *Machine) endAndRelease(now time.Time, r *record, kind schema.ErrorKind, detail string) {
	if r.session {
		m.admission.CloseFlow(r.member, r.class)
	} else {
		m.admission.Release(r.ticket)
		delete(m.byTicket, r.ticket)
	}
	m.endNotRun(now, r, kind, detail)
}

// endNotRun records the end of a request that will never be dispatched.
func (m *Machine) endNotRun(now time.Time, r *record, kind schema.ErrorKind, detail string) {
	r.transition(stateEnded)
	m.offers--
	if !r.session {
		m.pendingBytes -= r.size
	}
	r.request = nil
	m.end(now, r, kind, detail, m.notRun)
}

// endDispatched records the outcome of a dispatched request.
func (m *Machine) endDispatched(now time.Time, r *record, kind schema.ErrorKind, detail string) {
	r.transition(stateEnded)
	m.end(now, r, kind, detail, m.afterDispatch)
}

func (m *Machine) end(now time.Time, r *record, kind schema.ErrorKind, detail string, retain *list.List) {
	r.kind = kind
	r.detail = detail
	r.retainedIn = retain
	r.element = retain.PushBack(r)
	m.setRetention(now, r)
	m.emit(Observation{RequestEnded, r.key, r.sequence, kind, detail})
	m.evictExcess()
}

// setRetention starts the retention period of an ended request.
func (m *Machine) setRetention(now time.Time, r *record) {
	r.expires = now.Add(RetainAfterEnd)
	if limit := r.deadline.Add(RetainAfterDeadline); limit.Before(r.expires) {
		r.expires = limit
	}
	m.schedule(r, r.expires)
}

// evictExcess evicts the oldest ended requests above the limits. A request that is
// still running at the backend server stays, because its slot is not free; the
// number of slots limits the number of such requests.
func (m *Machine) evictExcess() {
	for m.afterDispatch.Len() > MaxRetained || m.answerBytes > MaxRetainedBytes {
		if !m.evictOldest(m.afterDispatch) {
			break
		}
	}
	for m.notRun.Len() > MaxRetained {
		m.evictOldest(m.notRun)
	}
}

func (m *Machine) evictOldest(from *list.List) bool {
	for e := from.Front(); e != nil; e = e.Next() {
		r := e.Value.(*record)
		if r.atBackend {
			continue
		}
		if r.answer != nil {
			m.emit(Observation{Event: AnswerEvicted, Key: r.key, Sequence: r.sequence})
		}
		m.remove(r)
		return true
	}
	return false
}

// remove removes an ended record. Its token cannot run again, because only tokens
// in the table are runnable.
func (m *Machine) remove(r *record) {
	m.releaseAnswer(r)
	if r.element != nil {
		r.retainedIn.Remove(r.element)
		r.element = nil
	}
	delete(m.records, r.sequence)
	m.wakeups.Remove(r.sequence)
	if k := (requestKey{r.key, r.requestID}); m.byRequestID[k] == r {
		delete(m.byRequestID, k)
	}
}

func (m *Machine) releaseAnswer(r *record) {
	m.answerBytes -= r.answerBytes
	r.answerBytes = 0
	r.answer = nil
}

func (m *Machine) wakeOffer(now time.Time, r *record) {
	assembling := r.state == stateAssembling
	if m.endIfExpired(now, r) {
		if assembling {
			m.sendOutcome(r)
		}
		return
	}
	m.schedule(r, earlier(r.expires, r.deadline))
}

func (m *Machine) wakeQueued(now time.Time, r *record) {
	if now.Before(r.deadline) {
		m.schedule(r, r.deadline)
		return
	}
	m.endAndRelease(now, r, schema.ErrorKind_REFUSED_DEADLINE, "the deadline passed in the queue")
	m.sendOutcome(r)
}

func (m *Machine) wakeRunning(now time.Time, r *record) {
	if now.Before(r.deadline) {
		m.schedule(r, r.deadline)
		return
	}
	m.emit(CancelRequest{r.sequence})
	m.endDispatched(now, r, schema.ErrorKind_DEADLINE_EXCEEDED, "the deadline passed at the backend server")
	m.sendOutcome(r)
}

// wakeEnded removes an ended request at the end of its retention or retransmits
// its answer.
func (m *Machine) wakeEnded(now time.Time, r *record) {
	if r.atBackend {
		return // BackendDone starts the retention
	}
	if !now.Before(r.expires) {
		m.remove(r)
		return
	}
	if r.answer != nil && r.answer.Timeouts() < maxAnswerTimeouts {
		m.sendAnswer(now, r)
	}
	m.schedule(r, r.expires)
}

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}
