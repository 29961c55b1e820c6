package offer

import (
	"container/list"
	"time"

	"github.com/peridotstall/peridotstall/internal/fragment"
	"github.com/peridotstall/peridotstall/internal/schema"
	"github.com/peridotstall/peridotstall/internal/wire"
)

// state of a record. It is a plain value rather than an fsm.FSM because one is
// needed per request, and an fsm.FSM carries several maps.
type state int

const (
	stateOffered    state = iota + 1 // offer made, nothing received
	stateAssembling                  // part of the request received
	stateQueued                      // complete, waiting for a slot
	stateRunning                     // handed to the backend server
	stateEnded                       // outcome decided
	stateSession                     // session open
)

// allowed lists the transitions. None leads back from stateRunning or
// stateEnded to a state from which the request could be handed over.
var allowed = map[state][]state{
	stateOffered:    {stateAssembling, stateEnded, stateSession},
	stateAssembling: {stateQueued, stateEnded},
	stateQueued:     {stateRunning, stateEnded},
	stateRunning:    {stateEnded},
	stateSession:    {stateEnded},
}

// runnable reports whether the request may still be handed over.
func (s state) runnable() bool {
	return s == stateOffered || s == stateAssembling || s == stateQueued
}

// record is one token.
type record struct {
	sequence   uint64
	key        Key
	requestID  uint64
	attempt    uint32
	member     string
	class      string
	idempotent bool
	session    bool
	size       int
	deadline   time.Time

	state   state
	expires time.Time // of the offer, then of the retained outcome
	// tell is the time until which the caller of a withdrawn offer may still send
	// its request; zero when it was told or has no such offer.
	tell time.Time

	ticket  Ticket
	request *fragment.Receiver
	started time.Time
	atBack  bool // handed over and not yet reported by BackendDone

	kind    schema.ErrorKind
	detail  string
	status  uint32
	answer  *fragment.Sender
	bytes   int // size of the answer
	retain  *list.List
	element *list.Element

	lastSeen time.Time // of a session
	sendSeq  uint64
	received wire.Window
}

// move changes the state. A transition outside the table is a programming
// error that would break the at-most-once rule, so it stops the process.
func (r *record) move(to state) {
	for _, next := range allowed[r.state] {
		if next == to {
			r.state = to
			return
		}
	}
	panic("offer: transition not allowed")
}

// reopens reports whether another opening of the request ID may get an offer. A
// caller opens again when an attempt was not run, and repeats an opening whose
// offer was lost until it expired; any other opening is a late duplicate.
func (r *record) reopens(attempt uint32) bool {
	if r.state != stateEnded {
		return false
	}
	return attempt > r.attempt || r.kind == schema.ErrorKind_OFFER_EXPIRED
}
