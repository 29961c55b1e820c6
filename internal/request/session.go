package request

import (
	"time"

	"github.com/peridotstall/peridotstall/internal/errkind"
	"github.com/peridotstall/peridotstall/internal/schema"
	"github.com/peridotstall/peridotstall/internal/wire"
)

// join accepts the offer of a session with a ping; its answer opens the session.
func (m *Machine) join(now time.Time, e *exchange) {
	m.ping(e)
	m.repeat(now, e)
}

func (m *Machine) repeatJoin(now time.Time, e *exchange) {
	if now.Before(e.due) {
		m.wakeups.Set(e.id, e.due)
		return
	}
	m.join(now, e)
}

// ping goes through the balancers in turn: drawn at random, a dead one among three
// would be taken several times in a row now and then.
func (m *Machine) ping(e *exchange) {
	e.pings++
	m.out = append(m.out, Send{int(e.pings % uint64(m.balancers)), &schema.CallerPacket{
		RequestId: e.id,
		Token:     e.token,
		Body:      &schema.CallerPacket_Ping{Ping: &schema.Ping{Sequence: e.pings}},
	}})
}

// sessionPacket takes a packet of the session's owner.
func (m *Machine) sessionPacket(now time.Time, e *exchange, p *schema.CallerPacket) {
	switch body := p.Body.(type) {
	case *schema.CallerPacket_Pong:
		m.alive(now, e)
	case *schema.CallerPacket_Data:
		m.alive(now, e)
		if e.received.Fresh(body.Data.GetSequence()) {
			m.out = append(m.out, SessionMessage{e.id, body.Data.GetData()})
		}
	case *schema.CallerPacket_Close:
		m.fail(e, errkind.New(schema.ErrorKind_UNKNOWN_FLOW, "closed by target %d", e.token.Target))
	}
}

// alive notes a sign of life; the first one opens the session.
func (m *Machine) alive(now time.Time, e *exchange) {
	if e.phase == phaseJoining {
		e.phase = phaseSession
		m.out = append(m.out, SessionOpened{e.id})
	}
	e.missed = 0
	e.pingTries = 0
	e.due = now.Add(PingInterval)
	m.wakeups.Set(e.id, e.due)
}

// checkSession pings an idle session. A ping is repeated within its interval,
// each time through another balancer, so that one dead balancer or a lossy link
// is not taken for a silent session. A missed ping counts only after a further
// interval, so a caller that was paused does not take its own pause for silence.
func (m *Machine) checkSession(now time.Time, e *exchange) {
	if now.Before(e.due) {
		m.wakeups.Set(e.id, e.due)
		return
	}
	if e.pingTries == 0 || e.pingTries == pingTries {
		if e.missed >= MaxMissedPings {
			m.sendOwner(e, &schema.CallerPacket{Body: &schema.CallerPacket_Close{Close: &schema.Close{}}})
			m.fail(e, errkind.New(schema.ErrorKind_FLOW_SILENT, "%d pings unanswered", e.missed))
			return
		}
		e.missed++
		e.pingTries = 0
	}
	e.pingTries++
	m.ping(e)
	e.due = now.Add(PingInterval / pingTries)
	m.wakeups.Set(e.id, e.due)
}

// SendMessage sends a message of a session. Messages may be lost or reordered,
// but are delivered at most once.
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
