// Package offer implements the request state machine of an agent. It offers queue
// room to callers, assembles requests, dispatches them to the backend server when
// admission has a slot, and retains the responses. It reads no clock, opens no
// socket and starts no goroutine.
//
// A token becomes runnable once, when its offer is made. It stops being runnable
// permanently when the request is dispatched or ends before dispatch. A token that
// is not in the table is therefore never runnable, and ended tokens need no
// further state to prevent a second run.
package offer

import (
	"net/netip"
	"time"

	"github.com/peridotstall/peridotstall/internal/admission"
	"github.com/peridotstall/peridotstall/internal/errkind"
	"github.com/peridotstall/peridotstall/internal/schema"
)

// Types shared with admission.
type (
	// Request describes work for which room is reserved.
	Request = admission.Request
	// Ticket identifies a reservation.
	Ticket = admission.Ticket
	// Result is the service time of a request and how it ended.
	Result = admission.Result
)

// Admission decides which work is accepted and when it starts.
type Admission interface {
	// Reserve reserves queue room. A request that is refused must not run.
	Reserve(now time.Time, r Request) (Ticket, *errkind.Error)
	// Enqueue marks a request as complete and ready to start. It reports false when
	// the ticket is unknown.
	Enqueue(now time.Time, t Ticket) bool
	// Next starts the next queued request if a slot is free.
	Next(now time.Time) (Ticket, bool)
	// RemoveExpired removes and returns the queued requests whose deadline passed.
	RemoveExpired(now time.Time) []Ticket
	// Release cancels a reservation or a queued request.
	Release(t Ticket)
	// Done frees the slot of a started request.
	Done(now time.Time, t Ticket, r Result)
	// OpenFlow reserves a connection for a session.
	OpenFlow(now time.Time, member, class string) *errkind.Error
	// CloseFlow releases the connection of a session.
	CloseFlow(member, class string)
	// SetDraining starts or stops refusing new work.
	SetDraining(draining bool)
}

// Key identifies a flow by service and caller address.
type Key struct {
	Service uint32
	Caller  netip.AddrPort
}

// Peer describes the sender of a packet.
type Peer struct {
	Caller netip.AddrPort
	// Age is the time since the packet entered the load balancer.
	Age time.Duration
}

// Service is the part of the service configuration that the state machine uses.
type Service struct {
	ID     uint32
	Member string
}

// Settings configure a Machine.
type Settings struct {
	// Target is the ID of the agent's own target.
	Target uint32
	// Incarnation is a random number drawn when the process starts.
	Incarnation uint64
}

// Action is an operation that the agent must perform.
type Action interface{ action() }

// Send sends a packet to a caller.
type Send struct {
	To     Key
	Packet *schema.CallerPacket
}

// StartRequest dispatches a request to the backend server. The agent must call
// Machine.BackendDone exactly once when it ends, also after a CancelRequest.
type StartRequest struct {
	Sequence   uint64
	Key        Key
	RequestID  uint64
	Class      string
	Idempotent bool
	Deadline   time.Time
	Body       []byte
}

// CancelRequest cancels a request at the backend server.
type CancelRequest struct {
	Sequence uint64
}

// OpenSession connects a session to the backend server.
type OpenSession struct {
	Sequence uint64
	Key      Key
	Class    string
}

// DeliverSession sends a message from the caller to the backend server.
type DeliverSession struct {
	Sequence uint64
	Data     []byte
}

// CloseSession disconnects a session from the backend server.
type CloseSession struct {
	Sequence uint64
}

// Observation is an event reported for logs, metrics and traces.
type Observation struct {
	Event    Event
	Key      Key
	Sequence uint64
	Kind     schema.ErrorKind
	Detail   string
}

// Event is the type of an Observation.
type Event int

// Event types.
const (
	// OfferMade reports an offer for an opening.
	OfferMade Event = iota + 1
	// OpenRefused reports a refused opening.
	OpenRefused
	// RequestStarted reports a request dispatched to the backend server.
	RequestStarted
	// RequestEnded reports the end of a request and its error kind.
	RequestEnded
	// AnswerEvicted reports an answer evicted before its retention ended.
	AnswerEvicted
	// SessionOpened and SessionClosed report the start and the end of a session.
	SessionOpened
	SessionClosed
	// PacketDropped reports a packet that is not valid in the current state.
	PacketDropped
)

func (Send) action()           {}
func (StartRequest) action()   {}
func (CancelRequest) action()  {}
func (OpenSession) action()    {}
func (DeliverSession) action() {}
func (CloseSession) action()   {}
func (Observation) action()    {}

// Response is the result of a request at the backend server.
type Response struct {
	// Status and Body are the response of the backend server.
	Status uint32
	Body   []byte
	// Kind is ERROR_KIND_NONE when the backend server responded.
	Kind   schema.ErrorKind
	Detail string
}

// Limits of one agent.
const (
	// MaxOffers limits the requests that are not dispatched plus the session
	// offers that are not accepted.
	MaxOffers = 4096
	// MaxRetained limits the retained ended requests. It applies separately to
	// dispatched requests and to all others, so that a flood of openings does not
	// evict responses.
	MaxRetained = 4096
	// MaxRetainedBytes limits the total size of the retained responses.
	MaxRetainedBytes = 16 << 20
	// MaxPendingBytes limits the total size of the requests that are being
	// assembled, queued or running. Together with the responses they use at most
	// 48 of the 64 MB of an agent.
	MaxPendingBytes = 32 << 20
	// OfferTTL is how long an offer is valid. Each new fragment of the request
	// restarts it, so that a slow upload can complete.
	OfferTTL = 2 * time.Second
	// MaxOpenAge is the maximum age of an opening; older ones are refused as
	// TOO_OLD.
	MaxOpenAge = 2 * time.Second
	// RetainAfterEnd and RetainAfterDeadline limit how long an ended request is
	// retained; the earlier of the two times applies.
	RetainAfterEnd      = 30 * time.Second
	RetainAfterDeadline = 60 * time.Second
	// MaxDeadline is the longest time to the deadline that a caller can request.
	MaxDeadline = 10 * time.Minute
	// SessionIdleTimeout is the time without a packet from the caller after which
	// a session ends. A caller sends a ping every 2 s, so that many pings must be
	// lost before an active session ends.
	SessionIdleTimeout = 30 * time.Second
	// maxAnswerTimeouts is the number of timeouts after which an answer is no
	// longer retransmitted and is sent only when the caller requests it.
	maxAnswerTimeouts = 5
	// maxDetailBytes limits the detail of a refusal or outcome so that it fits into
	// a packet.
	maxDetailBytes = 200
)
