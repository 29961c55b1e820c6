// Package offer is the request state machine of an agent. It offers queue room,
// assembles requests, hands them to the backend server when admission starts
// them, and retains the responses. It has no clock, socket or goroutine.
//
// A token becomes runnable once, when its offer is made, and leaves that state
// for good when the request is handed over or given up. Any token that is not
// in the table is therefore not runnable, and nothing else needs remembering.
package offer

import (
	"net/netip"
	"time"

	"github.com/peridotstall/peridotstall/internal/admission"
	"github.com/peridotstall/peridotstall/internal/errkind"
	"github.com/peridotstall/peridotstall/internal/schema"
)

// Types that are shared with admission.
type (
	// Request describes work to admission.
	Request = admission.Request
	// Ticket identifies a reservation of admission.
	Ticket = admission.Ticket
	// Result tells admission how a request ended.
	Result = admission.Result
)

// Admission decides which work is accepted and when it starts.
type Admission interface {
	// Reserve reserves queue room; a refusal means that the request is not run.
	Reserve(now time.Time, r Request) (Ticket, *errkind.Error)
	// Enqueue marks a request as complete; false when the ticket is unknown.
	Enqueue(now time.Time, t Ticket) bool
	// Next starts the next queued request if a slot is free.
	Next(now time.Time) (Ticket, bool)
	// Expired removes queued requests whose deadline passed.
	Expired(now time.Time) []Ticket
	// Release gives up a reservation or a queued request.
	Release(t Ticket)
	// Done frees the slot of a started request.
	Done(now time.Time, t Ticket, r Result)
	// OpenFlow takes a connection for a session.
	OpenFlow(now time.Time, member, class string) *errkind.Error
	// CloseFlow gives a connection back.
	CloseFlow(member, class string)
	// SetDraining makes admission refuse new work.
	SetDraining(draining bool)
}

// Key identifies the flow of a caller.
type Key struct {
	Service uint32
	Caller  netip.AddrPort
}

// Peer is the sender of a packet.
type Peer struct {
	Caller netip.AddrPort
	// Age is the time since the packet entered the system.
	Age time.Duration
}

// Service is what the state machine needs to know of a service.
type Service struct {
	ID     uint32
	Member string
}

// Settings configure a Machine.
type Settings struct {
	// Target is the ID of the agent's own target.
	Target uint32
	// Incarnation is chosen at random when the process starts.
	Incarnation uint64
}

// Action is something for the daemon to do.
type Action interface{ action() }

// Send sends a packet to a caller.
type Send struct {
	To     Key
	Packet *schema.CallerPacket
}

// StartRequest hands a request to the backend server. The daemon reports its
// end with Machine.BackendDone exactly once, also after a CancelRequest.
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

// DeliverSession passes a message of the caller to the backend server.
type DeliverSession struct {
	Sequence uint64
	Data     []byte
}

// CloseSession disconnects a session from the backend server.
type CloseSession struct {
	Sequence uint64
}

// Fact is an observation for logs, metrics and traces.
type Fact struct {
	Event    Event
	Key      Key
	Sequence uint64
	Kind     schema.ErrorKind
	Detail   string
}

// Event names a Fact.
type Event int

// Events.
const (
	// OfferMade follows an accepted opening.
	OfferMade Event = iota + 1
	// OpenRefused follows a refused opening.
	OpenRefused
	// RequestStarted follows the hand-over to the backend server.
	RequestStarted
	// RequestEnded follows the end of a request, with its kind.
	RequestEnded
	// AnswerEvicted reports a response that was given up before its time.
	AnswerEvicted
	// SessionOpened and SessionClosed enclose a session.
	SessionOpened
	SessionClosed
	// PacketDropped reports a packet that fits no state.
	PacketDropped
)

func (Send) action()           {}
func (StartRequest) action()   {}
func (CancelRequest) action()  {}
func (OpenSession) action()    {}
func (DeliverSession) action() {}
func (CloseSession) action()   {}
func (Fact) action()           {}

// Response is the result of a request at the backend server.
type Response struct {
	// Status and Body are the answer of the backend server.
	Status uint32
	Body   []byte
	// Kind is ERROR_KIND_NONE when there is an answer.
	Kind   schema.ErrorKind
	Detail string
}

// Bounds of one agent.
const (
	// MaxOffers bounds requests that are not handed over, and open sessions that
	// are not accepted.
	MaxOffers = 4096
	// MaxRetained bounds the ended requests that are remembered, once for those
	// handed over and once for the others, so that a flood of openings does not
	// push out responses.
	MaxRetained = 4096
	// MaxRetainedBytes bounds the retained responses.
	MaxRetainedBytes = 16 << 20
	// MaxPendingBytes bounds the requests that are being assembled, queued or
	// running. With the responses it takes at most 48 of the 64 MB of an agent.
	MaxPendingBytes = 32 << 20
	// OfferLife is the time for which an offer is valid. It starts again with
	// each new fragment of the request, so that a slow upload can finish.
	OfferLife = 2 * time.Second
	// MaxOpenAge is the age above which an opening is refused as too old.
	MaxOpenAge = 2 * time.Second
	// RetainAfterEnd and RetainAfterDeadline bound the time for which an ended
	// request is remembered; the earlier one counts.
	RetainAfterEnd      = 30 * time.Second
	RetainAfterDeadline = 60 * time.Second
	// MaxDeadline caps the time that a caller may ask for.
	MaxDeadline = 10 * time.Minute
	// SessionIdle is the time without a packet after which a session ends. It
	// covers many of the pings that a caller sends every 2 s.
	SessionIdle = 30 * time.Second
	// maxAnswerRounds is the number of timeouts after which an answer is sent
	// only when the caller asks for it.
	maxAnswerRounds = 5
	// maxDetail bounds the text of a refusal so that it fits a packet.
	maxDetail = 200
)
