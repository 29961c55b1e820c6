package offer

import (
	"time"

	"github.com/peridotstall/peridotstall/internal/schema"
	"github.com/peridotstall/peridotstall/internal/wire"
)

// State is transferred from an agent process to its successor. The successor
// keeps the incarnation, so that tokens of open sessions stay valid. Tokens of
// requests are no longer runnable. State includes the tokens that were not run,
// so that the successor does not reply to their late packets with an unknown
// outcome.
type State struct {
	Incarnation uint64
	// Sequence is the last assigned sequence number.
	Sequence uint64
	Sessions []SessionRecord
	NotRun   []NotRunRecord
}

// NotRunRecord is one token of a request that was not dispatched and never will be,
// or of a session that ended.
type NotRunRecord struct {
	Sequence  uint64
	RequestID uint64
	Attempt   uint32
	Key       Key
	Session   bool
	Kind      schema.ErrorKind
	Detail    string
	// Retained is the remaining retention time.
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
	// Sent and Received are the highest sequence numbers of messages.
	Sent     uint64
	Received uint64
	// Silent is the time since the last packet from the caller.
	Silent time.Duration
}

// Export returns the state for a successor. All requests must have ended before.
func (m *Machine) Export(now time.Time) State {
	state := State{Incarnation: m.settings.Incarnation, Sequence: m.sequence}
	for _, r := range m.sortedRecords() {
		if r.state == stateEnded && r.retainedIn == m.notRun {
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

// Import restores the state of the predecessor. It must be called before the
// first packet is handled. It returns the sessions that admission refused.
func (m *Machine) Import(now time.Time, state State) (refused []SessionRecord) {
	m.settings.Incarnation = state.Incarnation
	m.sequence = state.Sequence
	for _, n := range state.NotRun {
		m.restoreNotRun(now, n)
	}
	for _, s := range state.Sessions {
		if refusal := m.admission.OpenFlow(now, s.Member, s.Class); refusal != nil {
			refused = append(refused, s)
			continue
		}
		m.restoreSession(now, s)
	}
	return refused
}

func (m *Machine) restoreNotRun(now time.Time, n NotRunRecord) {
	r := &record{
		sequence:   n.Sequence,
		key:        n.Key,
		requestID:  n.RequestID,
		attempt:    n.Attempt,
		session:    n.Session,
		state:      stateEnded,
		kind:       n.Kind,
		detail:     n.Detail,
		expires:    now.Add(n.Retained),
		retainedIn: m.notRun,
	}
	r.element = m.notRun.PushBack(r)
	m.records[r.sequence] = r
	m.byRequestID[requestKey{r.key, r.requestID}] = r
	m.schedule(r, r.expires)
}

func (m *Machine) restoreSession(now time.Time, s SessionRecord) {
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
		received:  wire.NewSequenceWindow(s.Received),
		lastSeen:  now.Add(-s.Silent),
	}
	m.records[r.sequence] = r
	m.byRequestID[requestKey{r.key, r.requestID}] = r
	m.sessions++
	m.schedule(r, r.lastSeen.Add(SessionIdleTimeout))
}
