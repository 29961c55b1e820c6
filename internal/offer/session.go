package offer

import (
	"time"

	"github.com/peridotstall/peridotstall/internal/schema"
	"github.com/peridotstall/peridotstall/internal/wire"
)

// sessionPacket takes a packet with the token of a session. The first ping or
// message accepts the offer.
func (m *Machine) sessionPacket(now time.Time, r *record, p *schema.CallerPacket) {
	if r.state == stateEnded {
		m.reply(r, outcomePacket(r.kind, r.detail))
		return
	}
	switch body := p.Body.(type) {
	case *schema.CallerPacket_Ping:
		if m.touchSession(now, r) {
			m.reply(r, &schema.CallerPacket{Body: &schema.CallerPacket_Pong{
				Pong: &schema.Pong{Sequence: body.Ping.GetSequence()},
			}})
		}
	case *schema.CallerPacket_Data:
		if m.touchSession(now, r) && r.received.Fresh(body.Data.GetSequence()) {
			m.emit(DeliverSession{r.sequence, body.Data.GetData()})
		}
	case *schema.CallerPacket_Close, *schema.CallerPacket_Cancel:
		m.closeByCaller(now, r)
	default:
		m.drop(r.key, r.sequence, "packet does not belong to a session")
	}
}

// touchSession opens the session if it is not open and notes the sign of life.
func (m *Machine) touchSession(now time.Time, r *record) bool {
	if r.state == stateOffered {
		if m.lapsed(now, r) {
			m.sendOutcome(r)
			return false
		}
		r.move(stateSession)
		m.offers--
		m.sessions++
		m.schedule(r, now.Add(SessionIdle))
		m.emit(OpenSession{r.sequence, r.key, r.class})
		m.emit(Fact{Event: SessionOpened, Key: r.key, Sequence: r.sequence})
	}
	r.lastSeen = now
	return true
}

func (m *Machine) closeByCaller(now time.Time, r *record) {
	if r.state == stateOffered {
		m.giveUp(now, r, schema.ErrorKind_CANCELLED_NOT_RUN, "")
		return
	}
	m.endSession(now, r, schema.ErrorKind_CANCELLED, "closed by the caller")
}

// endSession closes the session and gives its connection back.
func (m *Machine) endSession(now time.Time, r *record, kind schema.ErrorKind, detail string) {
	r.move(stateEnded)
	m.sessions--
	m.admission.CloseFlow(r.member, r.class)
	m.emit(CloseSession{r.sequence})
	m.emit(Fact{SessionClosed, r.key, r.sequence, kind, detail})
	m.end(now, r, kind, detail, m.notRun)
}

func (m *Machine) wakeSession(now time.Time, r *record) {
	idleAt := r.lastSeen.Add(SessionIdle)
	if now.Before(idleAt) {
		m.schedule(r, idleAt)
		return
	}
	m.endSession(now, r, schema.ErrorKind_FLOW_SILENT, "no packet from the caller")
}

// SessionOutput sends a message of the backend server to the caller.
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

// EndSessions closes all sessions, when the drain limit of the operator is reached.
func (m *Machine) EndSessions(now time.Time) []Action {
	for _, r := range m.ordered() {
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
