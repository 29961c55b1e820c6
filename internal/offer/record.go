package offer

import (
	"container/heap"
	"container/list"
	"time"

	"github.com/peridotstall/peridotstall/internal/fragment"
	"github.com/peridotstall/peridotstall/internal/schema"
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
	wake    time.Time // earliest entry in the timer heap

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
	received window
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

// window notes received message numbers, to drop duplicates.
type window struct {
	highest uint64
	seen    uint64 // bit i stands for highest-i
}

// fresh reports whether a number is new; numbers that fell out of the window
// count as duplicates.
func (w *window) fresh(sequence uint64) bool {
	if sequence == 0 {
		return false
	}
	if sequence > w.highest {
		w.seen = w.seen<<(sequence-w.highest) | 1
		w.highest = sequence
		return true
	}
	bit := w.highest - sequence
	if bit >= 64 || w.seen&(1<<bit) != 0 {
		return false
	}
	w.seen |= 1 << bit
	return true
}

// timer is an entry of the heap; it is stale when the record wakes otherwise.
type timer struct {
	at       time.Time
	sequence uint64
}

type timers []timer

func (t timers) Len() int           { return len(t) }
func (t timers) Less(i, j int) bool { return t[i].at.Before(t[j].at) }
func (t timers) Swap(i, j int)      { t[i], t[j] = t[j], t[i] }
func (t *timers) Push(x any)        { *t = append(*t, x.(timer)) }
func (t *timers) Pop() any {
	last := len(*t) - 1
	out := (*t)[last]
	*t = (*t)[:last]
	return out
}

// schedule makes sure that the record is looked at no later than at a time.
func (m *Machine) schedule(r *record, at time.Time) {
	if at.IsZero() {
		return
	}
	if !r.wake.IsZero() && !at.Before(r.wake) {
		return
	}
	r.wake = at
	heap.Push(&m.timers, timer{at, r.sequence})
}

// due removes and returns the records to look at.
func (m *Machine) due(now time.Time) []*record {
	var out []*record
	for len(m.timers) > 0 && !m.timers[0].at.After(now) {
		t := heap.Pop(&m.timers).(timer)
		r := m.records[t.sequence]
		if r == nil || !r.wake.Equal(t.at) {
			continue
		}
		r.wake = time.Time{}
		out = append(out, r)
	}
	return out
}

// NextWake returns when Tick has something to do; zero when nothing is pending.
func (m *Machine) NextWake() time.Time {
	if len(m.timers) == 0 {
		return time.Time{}
	}
	return m.timers[0].at
}
