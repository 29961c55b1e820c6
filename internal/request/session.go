package request

import (
	"time"

	"github.com/peridotstall/peridotstall/internal/errkind"
	"github.com/peridotstall/peridotstall/internal/schema"
	"github.com/peridotstall/peridotstall/internal/wire"
)

// acceptSession accepts the offer of a session with a ping; the reply opens the
// session.
func (m *Machine) acceptSession(now time.Time, e *exchange) {
	m.ping(e)
	m.scheduleRepeat(now, e)
}

func (m *Machine) repeatAccept(now time.Time, e *exchange) {
	if now.Before(e.due) {
		m.wakeups.Schedule(e.id, e.due)
		return
	}
	m.acceptSession(now, e)
}

// ping sends a ping through the balancers in round robin. A random choice among
// three balancers would occasionally pick a dead one several times in a row.
func (m *Machine) ping(e *exchange) {
	e.pings++
	m.actions = append(m.actions, Send{int(e.pings % uint64(m.balancers)), &schema.CallerPacket{
		RequestId: e.id,
		Token:     e.token,
		Body:      &schema.CallerPacket_Ping{Ping: &schema.Ping{Sequence: e.pings}},
	}})
}

// handleSessionPacket processes a packet from the owner of the session.
func (m *Machine) handleSessionPacket(now time.Time, e *exchange, p *schema.CallerPacket) {
	switch body := p.Body.(type) {
	case *schema.CallerPacket_Pong:
		m.recordActivity(now, e)
	case *schema.CallerPacket_Data:
		m.recordActivity(now, e)
		if e.received.Accept(body.Data.GetSequence()) {
			m.actions = append(m.actions, SessionMessage{e.id, body.Data.GetData()})
		}
	case *schema.CallerPacket_Close:
		m.fail(e, errkind.New(schema.ErrorKind_UNKNOWN_FLOW, "closed by target %d", e.token.Target))
	}
}

// recordActivity resets the idle check after a packet from the owner; the first
// packet opens the session.
func (m *Machine) recordActivity(now time.Time, e *exchange) {
	if e.phase == phaseAccepting {
		e.phase = phaseSession
		m.actions = append(m.actions, SessionOpened{e.id})
	}
	e.missed = 0
	e.pingSends = 0
	e.due = now.Add(PingInterval)
	m.wakeups.Schedule(e.id, e.due)
}

// checkSession pings an idle session. It repeats a ping within its interval, each
// time through another balancer, so that one dead balancer or a lossy link does
// not make the session silent. A missed ping counts only after one more interval,
// so that a caller that was paused does not count its own pause as silence.
func (m *Machine) checkSession(now time.Time, e *exchange) {
	if now.Before(e.due) {
		m.wakeups.Schedule(e.id, e.due)
		return
	}
	if e.pingSends == 0 || e.pingSends == maxPingSends {
		if e.missed >= MaxMissedPings {
			m.sendOwner(e, &schema.CallerPacket{Body: &schema.CallerPacket_Close{Close: &schema.Close{}}})
			m.fail(e, errkind.New(schema.ErrorKind_FLOW_SILENT, "%d pings unanswered", e.missed))
			return
		}
		e.missed++
		e.pingSends = 0
	}
	e.pingSends++
	m.ping(e)
	e.due = now.Add(PingInterval / maxPingSends)
	m.wakeups.Schedule(e.id, e.due)
}

// SendMessage sends a message of at most wire.MaxFragment bytes in a session.
// Messages may be lost or reordered, but are delivered at most once.
func (m *Machine) SendMessage(id uint64, data []byte) ([]Action, *errkind.Error) {
	e := m.exchanges[id]
	if e == nil || e.phase != phaseSession {
		return nil, errkind.New(schema.ErrorKind_UNKNOWN_FLOW, "the session is not open")
	}
	if len(data) > wire.MaxFragment {
		return nil, errkind.New(schema.ErrorKind_TOO_LARGE, "%d bytes, limit %d", len(data), wire.MaxFragment)
	}
	e.sendSeq++
	m.sendOwner(e, &schema.CallerPacket{Body: &schema.CallerPacket_Data{
		Data: &schema.SessionData{Sequence: e.sendSeq, Data: data},
	}})
	return m.flush(), nil
}
