package offer

import (
	"container/list"
	"time"

	"github.com/peridotstall/peridotstall/internal/fragment"
	"github.com/peridotstall/peridotstall/internal/schema"
	"github.com/peridotstall/peridotstall/internal/wire"
)

// state of a record. It is a plain value because an fsm.FSM allocates several
// maps, which is too much for each request.
type state int

const (
	stateOffered    state = iota + 1 // offer sent, no fragment received
	stateAssembling                  // some fragments received
	stateQueued                      // complete, waiting for a slot
	stateRunning                     // dispatched to the backend server
	stateEnded                       // outcome decided
	stateSession                     // session open
)

// allowedTransitions lists the states that may follow each state. None leads from
// stateRunning or stateEnded to a state from which a request can be dispatched.
var allowedTransitions = map[state][]state{
	stateOffered:    {stateAssembling, stateEnded, stateSession},
	stateAssembling: {stateQueued, stateEnded},
	stateQueued:     {stateRunning, stateEnded},
	stateRunning:    {stateEnded},
	stateSession:    {stateEnded},
}

// runnable reports whether the request can still be dispatched.
func (s state) runnable() bool {
	return s == stateOffered || s == stateAssembling || s == stateQueued
}

// record is the state of one token.
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
	// withdrawnUntil is the time until which the caller of a withdrawn offer may
	// still send its request; zero when no offer was withdrawn or when the caller
	// has been sent the outcome.
	withdrawnUntil time.Time

	ticket    Ticket
	request   *fragment.Receiver
	started   time.Time
	atBackend bool // dispatched and not yet reported by BackendDone

	kind        schema.ErrorKind
	detail      string
	status      uint32
	answer      *fragment.Sender
	answerBytes int
	retainedIn  *list.List
	element     *list.Element

	lastSeen time.Time // of a session
	sendSeq  uint64
	received wire.SequenceWindow
}

// transition changes the state. It panics on a transition that is not in
// allowedTransitions, because continuing could run a request twice.
func (r *record) transition(to state) {
	for _, next := range allowedTransitions[r.state] {
		if next == to {
			r.state = to
			return
		}
	}
	panic("offer: transition not allowed")
}

// reopens reports whether another opening with the same request ID can get a new
// offer. A caller increases the attempt after an attempt that was not run. An
// opening without a higher attempt gets a new offer only after the previous one
// expired, because the caller repeats the opening while every offer is lost. Any
// other opening is a late duplicate.
func (r *record) reopens(attempt uint32) bool {
	if r.state != stateEnded {
		return false
	}
	return attempt > r.attempt || r.kind == schema.ErrorKind_OFFER_EXPIRED
}
