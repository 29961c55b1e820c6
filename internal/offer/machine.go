package offer

import (
	"container/list"
	"sort"
	"time"

	"github.com/peridotstall/peridotstall/internal/errkind"
	"github.com/peridotstall/peridotstall/internal/fragment"
	"github.com/peridotstall/peridotstall/internal/schema"
	"github.com/peridotstall/peridotstall/internal/wakeup"
)

type requestKey struct {
	key       Key
	requestID uint64
}

// Machine is the request state machine of one agent. It is not safe for
// concurrent use.
type Machine struct {
	settings  Settings
	admission Admission
	draining  bool

	sequence    uint64
	records     map[uint64]*record
	byRequestID map[requestKey]*record // latest record of each request ID
	byTicket    map[Ticket]*record
	wakeups     wakeup.Queue

	offers        int // records that are runnable
	running       int
	sessions      int
	pendingBytes  int
	afterDispatch *list.List // ended after dispatch, oldest first
	notRun        *list.List // ended before dispatch, and ended sessions, oldest first
	answerBytes   int

	actions []Action
}

// New returns a Machine that reserves queue room through admission.
func New(settings Settings, admission Admission) *Machine {
	return &Machine{
		settings:      settings,
		admission:     admission,
		records:       make(map[uint64]*record),
		byRequestID:   make(map[requestKey]*record),
		byTicket:      make(map[Ticket]*record),
		afterDispatch: list.New(),
		notRun:        list.New(),
	}
}

// Stats holds the current number of offers, running requests, open sessions and
// retained records, and the sizes of pending requests and retained responses in
// bytes.
type Stats struct {
	Offers, Running, Sessions, Retained int
	PendingBytes, RetainedBytes         int
}

// Stats returns the current counts.
func (m *Machine) Stats() Stats {
	return Stats{
		Offers:        m.offers,
		Running:       m.running,
		Sessions:      m.sessions,
		Retained:      m.afterDispatch.Len() + m.notRun.Len(),
		PendingBytes:  m.pendingBytes,
		RetainedBytes: m.answerBytes,
	}
}

// Opened reports whether the table holds a record of a request ID of a caller.
func (m *Machine) Opened(key Key, requestID uint64) bool {
	return m.byRequestID[requestKey{key, requestID}] != nil
}

func (m *Machine) emit(a Action) {
	m.actions = append(m.actions, a)
}

func (m *Machine) flush() []Action {
	out := m.actions
	m.actions = nil
	return out
}

// Handle processes a packet from a caller.
func (m *Machine) Handle(now time.Time, from Peer, service Service, p *schema.CallerPacket) []Action {
	key := Key{Service: service.ID, Caller: from.Caller}
	if open := p.GetOpen(); open != nil {
		m.handleOpen(now, from, service, p.RequestId, open)
		return m.flush()
	}
	if p.Token == nil {
		m.handleWithoutToken(now, key, p)
		return m.flush()
	}
	m.handleWithToken(now, key, p)
	m.startQueued(now)
	return m.flush()
}

// handleWithoutToken processes a cancellation from a caller that has not
// received an offer yet.
func (m *Machine) handleWithoutToken(now time.Time, key Key, p *schema.CallerPacket) {
	r := m.byRequestID[requestKey{key, p.RequestId}]
	if p.GetCancel() == nil || r == nil || r.state != stateOffered {
		m.drop(key, 0, "no token")
		return
	}
	m.endAndRelease(now, r, schema.ErrorKind_CANCELLED_NOT_RUN, "cancelled by the caller")
}

func (m *Machine) handleWithToken(now time.Time, key Key, p *schema.CallerPacket) {
	if p.Token.Target != m.settings.Target {
		m.drop(key, p.Token.Sequence, "token of another target")
		return
	}
	r := m.records[p.Token.Sequence]
	if p.Token.Incarnation != m.settings.Incarnation {
		m.replyUnknown(key, p, "the owner was restarted")
		return
	}
	if r == nil {
		m.replyUnknown(key, p, "the token is no longer known")
		return
	}
	if r.key != key || r.requestID != p.RequestId {
		m.drop(key, r.sequence, "token of another request")
		return
	}
	if r.session {
		m.handleSessionPacket(now, r, p)
		return
	}
	m.handleRequestPacket(now, r, p)
}

// replyUnknown replies to a token that is not in the table. The reply never
// claims that the request was not run, because an earlier incarnation or an
// evicted record may have run it.
func (m *Machine) replyUnknown(key Key, p *schema.CallerPacket, detail string) {
	kind := schema.ErrorKind_UNKNOWN_OUTCOME
	switch p.Body.(type) {
	case *schema.CallerPacket_Ping, *schema.CallerPacket_Data:
		kind = schema.ErrorKind_UNKNOWN_FLOW
	case *schema.CallerPacket_Request, *schema.CallerPacket_Ack, *schema.CallerPacket_Cancel:
	default:
		m.drop(key, p.Token.Sequence, detail)
		return
	}
	reply := outcomePacket(kind, detail)
	reply.RequestId = p.RequestId
	reply.Token = p.Token
	m.emit(Send{key, reply})
	m.emit(Observation{PacketDropped, key, p.Token.Sequence, kind, detail})
}

func (m *Machine) drop(key Key, sequence uint64, detail string) {
	m.emit(Observation{Event: PacketDropped, Key: key, Sequence: sequence, Detail: detail})
}

// handleOpen replies to an opening with an offer or a refusal. It drops a late
// duplicate.
func (m *Machine) handleOpen(now time.Time, from Peer, service Service, id uint64, o *schema.Open) {
	key := Key{Service: service.ID, Caller: from.Caller}
	if r := m.byRequestID[requestKey{key, id}]; r != nil {
		if r.state == stateOffered {
			m.sendOffer(now, r)
			return
		}
		if !r.reopens(o.Attempt) {
			m.drop(key, r.sequence, "late opening")
			return
		}
	}
	r := &record{
		key:        key,
		requestID:  id,
		attempt:    o.Attempt,
		member:     service.Member,
		class:      o.Class,
		idempotent: o.Idempotent,
		session:    o.Session,
		size:       int(o.Size),
		state:      stateOffered,
		deadline:   now.Add(min(time.Duration(o.DeadlineMs)*time.Millisecond, MaxDeadline)),
		expires:    now.Add(OfferTTL),
	}
	if refusal := m.admit(now, from, r, o); refusal != nil {
		m.refuse(key, id, refusal)
		return
	}
	m.add(r)
	m.schedule(r, r.expires)
	m.emit(Observation{Event: OfferMade, Key: key, Sequence: r.sequence})
	m.sendOffer(now, r)
}

func (m *Machine) add(r *record) {
	m.sequence++
	r.sequence = m.sequence
	m.records[r.sequence] = r
	m.byRequestID[requestKey{r.key, r.requestID}] = r
	m.offers++
	if r.session {
		return
	}
	m.byTicket[r.ticket] = r
	m.pendingBytes += r.size
}

// admit applies the limits of the machine, then reserves room with admission.
func (m *Machine) admit(now time.Time, from Peer, r *record, o *schema.Open) *errkind.Error {
	if from.Age > MaxOpenAge {
		return errkind.New(schema.ErrorKind_TOO_OLD, "age %d ms, limit %d ms", from.Age.Milliseconds(), MaxOpenAge.Milliseconds())
	}
	if m.draining {
		return errkind.New(schema.ErrorKind_REFUSED_DRAINING, "")
	}
	for _, tried := range o.Tried {
		if tried == m.settings.Target {
			return errkind.New(schema.ErrorKind_REFUSED_NO_TARGET, "target %d refused before", tried)
		}
	}
	if o.Size > fragment.MaxSize {
		return errkind.New(schema.ErrorKind_TOO_LARGE, "%d bytes, limit %d", o.Size, fragment.MaxSize)
	}
	if o.DeadlineMs == 0 {
		return errkind.New(schema.ErrorKind_REFUSED_DEADLINE, "no time left")
	}
	if m.offers >= MaxOffers {
		return errkind.New(schema.ErrorKind_REFUSED_OVERLOAD, "%d offers, limit %d", m.offers, MaxOffers)
	}
	if r.session {
		return m.admission.OpenFlow(now, r.member, r.class)
	}
	if m.pendingBytes+r.size > MaxPendingBytes {
		return errkind.New(schema.ErrorKind_REFUSED_OVERLOAD, "%d bytes pending, limit %d", m.pendingBytes, MaxPendingBytes)
	}
	ticket, refusal := m.admission.Reserve(now, Request{
		Member:   r.member,
		Class:    r.class,
		Deadline: r.deadline,
		Bytes:    r.size,
	})
	r.ticket = ticket
	return refusal
}

func (m *Machine) refuse(key Key, id uint64, refusal *errkind.Error) {
	m.emit(Send{key, &schema.CallerPacket{
		RequestId: id,
		Body: &schema.CallerPacket_Refusal{Refusal: &schema.Refusal{
			Kind:   refusal.Kind,
			Target: m.settings.Target,
			Detail: truncateDetail(refusal.Detail),
		}},
	}})
	m.emit(Observation{Event: OpenRefused, Key: key, Kind: refusal.Kind, Detail: refusal.Detail})
}

func (m *Machine) sendOffer(now time.Time, r *record) {
	left := max(r.expires.Sub(now), 0)
	m.reply(r, &schema.CallerPacket{Body: &schema.CallerPacket_Offer{Offer: &schema.Offer{
		ExpiresMs: uint32(left.Milliseconds()),
	}}})
}

// Tick expires offers, deadlines, sessions and retained outcomes, retransmits
// answers and dispatches queued requests. An interval of 10 ms between calls is
// sufficient.
func (m *Machine) Tick(now time.Time) []Action {
	for _, sequence := range m.wakeups.PopDue(now) {
		if r := m.records[sequence]; r != nil {
			m.wake(now, r)
		}
	}
	m.startQueued(now)
	return m.flush()
}

// NextWake returns the time at which Tick has work, or the zero time when nothing
// is pending. Admission may have a slot for queued work earlier.
func (m *Machine) NextWake() time.Time {
	return m.wakeups.Next()
}

// schedule wakes the record at the given time or earlier.
func (m *Machine) schedule(r *record, at time.Time) {
	m.wakeups.Schedule(r.sequence, at)
}

// wake applies the timers of a record.
func (m *Machine) wake(now time.Time, r *record) {
	switch r.state {
	case stateOffered, stateAssembling:
		m.wakeOffer(now, r)
	case stateQueued:
		m.wakeQueued(now, r)
	case stateRunning:
		m.wakeRunning(now, r)
	case stateSession:
		m.wakeSession(now, r)
	case stateEnded:
		m.wakeEnded(now, r)
	}
}

// ClockJump ends every request that was not dispatched: the process was paused,
// and the callers may have retried on other targets. It restarts the idle time of
// the open sessions.
func (m *Machine) ClockJump(now time.Time) []Action {
	for _, r := range m.sortedRecords() {
		if r.state.runnable() {
			m.endAndRelease(now, r, schema.ErrorKind_OFFER_EXPIRED, "clock jump of the agent")
		}
		if r.state == stateSession {
			r.lastSeen = now
		}
	}
	m.startQueued(now)
	return m.flush()
}

// SetDraining starts or stops refusing new work. A draining target gets no new
// work, so it also withdraws the offers for which no fragment arrived; requests of
// which a fragment arrived are completed.
func (m *Machine) SetDraining(now time.Time, draining bool) []Action {
	m.draining = draining
	m.admission.SetDraining(draining)
	if !draining {
		return nil
	}
	for _, r := range m.sortedRecords() {
		if r.state == stateOffered {
			m.endAndRelease(now, r, schema.ErrorKind_REFUSED_DRAINING, "")
			r.withdrawnUntil = now.Add(OfferTTL)
		}
	}
	return m.flush()
}

// sortedRecords returns the records by sequence, so that the order of actions
// does not depend on map iteration.
func (m *Machine) sortedRecords() []*record {
	out := make([]*record, 0, len(m.records))
	for _, r := range m.records {
		out = append(out, r)
	}
	sort.Slice(out, func(i, j int) bool { return out[i].sequence < out[j].sequence })
	return out
}

// reply sends a packet that carries the token of the record.
func (m *Machine) reply(r *record, p *schema.CallerPacket) {
	p.RequestId = r.requestID
	p.Token = m.token(r)
	m.emit(Send{r.key, p})
}

func (m *Machine) token(r *record) *schema.Token {
	return &schema.Token{
		Target:      m.settings.Target,
		Incarnation: m.settings.Incarnation,
		Sequence:    r.sequence,
	}
}
