package offer

import (
	"time"

	"github.com/peridotstall/peridotstall/internal/schema"
	"github.com/peridotstall/peridotstall/internal/wire"
)

// handleSessionPacket processes a packet that carries the token of a session. The
// first ping or message accepts the offer.
func (m *Machine) handleSessionPacket(now time.Time, r *record, p *schema.CallerPacket) {
	if r.state == stateEnded {
		m.reply(r, outcomePacket(r.kind, r.detail))
		return
	}
	switch body := p.Body.(type) {
	case *schema.CallerPacket_Ping:
		if m.recordActivity(now, r) {
			m.reply(r, &schema.CallerPacket{Body: &schema.CallerPacket_Pong{
				Pong: &schema.Pong{Sequence: body.Ping.GetSequence()},
			}})
		}
	case *schema.CallerPacket_Data:
		if m.recordActivity(now, r) && r.received.Accept(body.Data.GetSequence()) {
			m.emit(DeliverSession{r.sequence, body.Data.GetData()})
		}
	case *schema.CallerPacket_Close, *schema.CallerPacket_Cancel:
		m.closeByCaller(now, r)
	default:
		m.drop(r.key, r.sequence, "packet does not belong to a session")
	}
}

// recordActivity opens the session if it is not open and updates its time of last
// activity. It reports false when the offer has expired.
func (m *Machine) recordActivity(now time.Time, r *record) bool {
	if r.state == stateOffered {
		if m.endIfExpired(now, r) {
			m.sendOutcome(r)
			return false
		}
		r.transition(stateSession)
		m.offers--
		m.sessions++
		m.schedule(r, now.Add(SessionIdleTimeout))
		m.emit(OpenSession{r.sequence, r.key, r.class})
		m.emit(Observation{Event: SessionOpened, Key: r.key, Sequence: r.sequence})
	}
	r.lastSeen = now
	return true
}

func (m *Machine) closeByCaller(now time.Time, r *record) {
	if r.state == stateOffered {
		m.endAndRelease(now, r, schema.ErrorKind_CANCELLED_NOT_RUN, "")
		return
	}
	m.endSession(now, r, schema.ErrorKind_CANCELLED, "closed by the caller")
}

// endSession closes the session and releases its connection in admission.
func (m *Machine) endSession(now time.Time, r *record, kind schema.ErrorKind, detail string) {
	r.transition(stateEnded)
	m.sessions--
	m.admission.CloseFlow(r.member, r.class)
	m.emit(CloseSession{r.sequence})
	m.emit(Observation{SessionClosed, r.key, r.sequence, kind, detail})
	m.end(now, r, kind, detail, m.notRun)
}

func (m *Machine) wakeSession(now time.Time, r *record) {
	idleAt := r.lastSeen.Add(SessionIdleTimeout)
	if now.Before(idleAt) {
		m.schedule(r, idleAt)
		return
	}
	m.endSession(now, r, schema.ErrorKind_FLOW_SILENT, "no packet from the caller")
}

// SessionOutput sends a message from the backend server to the caller.
func (m *Machine) SessionOutput(now time.Time, sequence uint64, data []byte) []Action {
	r := m.records[sequence]
	if r == nil || r.state != stateSession || len(data) > wire.MaxFragment {
		m.drop(Key{}, sequence, "message of the backend server outside a session or too large")
		return m.flush()
	}
	r.sendSeq++
	m.reply(r, &schema.CallerPacket{Body: &schema.CallerPacket_Data{
		Data: &schema.SessionData{Sequence: r.sendSeq, Data: data},
	}})
	return m.flush()
}

// SessionEnded reports that the backend server closed a session.
func (m *Machine) SessionEnded(now time.Time, sequence uint64) []Action {
	if r := m.records[sequence]; r != nil && r.state == stateSession {
		m.closeByTarget(now, r, "closed by the backend server")
	}
	return m.flush()
}

// EndSessions closes all sessions. It is called when a drain reaches the limit
// that the operator set.
func (m *Machine) EndSessions(now time.Time) []Action {
	for _, r := range m.sortedRecords() {
		if r.state == stateSession {
			m.closeByTarget(now, r, "the target reached its drain limit")
		}
	}
	return m.flush()
}

func (m *Machine) closeByTarget(now time.Time, r *record, detail string) {
	m.reply(r, &schema.CallerPacket{Body: &schema.CallerPacket_Close{Close: &schema.Close{}}})
	m.endSession(now, r, schema.ErrorKind_UNKNOWN_FLOW, detail)
}
