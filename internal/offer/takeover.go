package offer

import (
	"time"

	"github.com/peridotstall/peridotstall/internal/schema"
	"github.com/peridotstall/peridotstall/internal/wire"
)

// State is what passes from an agent process to its successor. The successor
// keeps the incarnation, so that tokens of open sessions stay valid. Tokens of
// requests are not runnable any more; of those that were not run the successor
// knows it, so that a late packet is not answered with an unknown outcome.
type State struct {
	Incarnation uint64
	// Sequence is the last one that was given out.
	Sequence uint64
	Sessions []SessionRecord
	NotRun   []NotRunRecord
}

// NotRunRecord is one token that was never handed over and never will be.
type NotRunRecord struct {
	Sequence  uint64
	RequestID uint64
	Attempt   uint32
	Key       Key
	Session   bool
	Kind      schema.ErrorKind
	Detail    string
	// Retained is the time for which it stays known.
	Retained time.Duration
}

// SessionRecord is one open session.
type SessionRecord struct {
	Sequence  uint64
	RequestID uint64
	Attempt   uint32
	Key       Key
	Member    string
	Class     string
	// Sent and Received are the highest message numbers.
	Sent     uint64
	Received uint64
	// Silent is the time since the last packet of the caller.
	Silent time.Duration
}

// Export returns the state for a successor. Requests must have finished before.
func (m *Machine) Export(now time.Time) State {
	state := State{Incarnation: m.settings.Incarnation, Sequence: m.sequence}
	for _, r := range m.ordered() {
		if r.state == stateEnded && r.retain == m.notRun {
			state.NotRun = append(state.NotRun, NotRunRecord{
				Sequence:  r.sequence,
				RequestID: r.requestID,
				Attempt:   r.attempt,
				Key:       r.key,
				Session:   r.session,
				Kind:      r.kind,
				Detail:    r.detail,
				Retained:  r.expires.Sub(now),
			})
		}
		if r.state != stateSession {
			continue
		}
		state.Sessions = append(state.Sessions, SessionRecord{
			Sequence:  r.sequence,
			RequestID: r.requestID,
			Attempt:   r.attempt,
			Key:       r.key,
			Member:    r.member,
			Class:     r.class,
			Sent:      r.sendSeq,
			Received:  r.received.Highest(),
			Silent:    now.Sub(r.lastSeen),
		})
	}
	return state
}

// Import takes over the state of the predecessor before the first packet. It
// returns the sessions for which there was no room.
func (m *Machine) Import(now time.Time, state State) (left []SessionRecord) {
	m.settings.Incarnation = state.Incarnation
	m.sequence = state.Sequence
	for _, n := range state.NotRun {
		m.restoreNotRun(now, n)
	}
	for _, s := range state.Sessions {
		if refusal := m.admission.OpenFlow(now, s.Member, s.Class); refusal != nil {
			left = append(left, s)
			continue
		}
		m.restore(now, s)
	}
	return left
}

func (m *Machine) restoreNotRun(now time.Time, n NotRunRecord) {
	r := &record{
		sequence:  n.Sequence,
		key:       n.Key,
		requestID: n.RequestID,
		attempt:   n.Attempt,
		session:   n.Session,
		state:     stateEnded,
		kind:      n.Kind,
		detail:    n.Detail,
		expires:   now.Add(n.Retained),
		retain:    m.notRun,
	}
	r.element = m.notRun.PushBack(r)
	m.records[r.sequence] = r
	m.opened[openKey{r.key, r.requestID}] = r
	m.schedule(r, r.expires)
}

func (m *Machine) restore(now time.Time, s SessionRecord) {
	r := &record{
		sequence:  s.Sequence,
		key:       s.Key,
		requestID: s.RequestID,
		attempt:   s.Attempt,
		member:    s.Member,
		class:     s.Class,
		session:   true,
		state:     stateSession,
		sendSeq:   s.Sent,
		received:  wire.NewWindow(s.Received),
		lastSeen:  now.Add(-s.Silent),
	}
	m.records[r.sequence] = r
	m.opened[openKey{r.key, r.requestID}] = r
	m.sessions++
	m.schedule(r, r.lastSeen.Add(SessionIdle))
}
