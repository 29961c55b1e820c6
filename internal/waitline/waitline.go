// Package waitline orders the openings that wait at an agent until its target has room. It
// answers a backlog: callers that come back together, or a wave above the capacity, whose
// requests can still be answered within their timeout. It does no I/O and is not safe for
// concurrent use; times are monotonic times since the start of the process.
package waitline

import (
	"container/heap"
	"time"

	"github.com/peridotstall/peridotstall/internal/segment"
)

const (
	// MaxOpenings bounds the openings of a line. A target serves fewer within the time for
	// which callers wait for an opening.
	MaxOpenings = 1024
	// MaxBytes bounds the memory of their segments, in bytes.
	MaxBytes = 256 << 10
)

// Opening is an opening that waits.
type Opening struct {
	Flow segment.Flow
	// Segment is the segment as the balancer sent it, Sender the number that the agent
	// assigned to the balancer.
	Segment []byte
	Sender  uint8
	// Priority is that of the route; 0 is the highest.
	Priority uint8
	// Arrived is the time of arrival, Objective the time until which the answer is in
	// time, Deadline that from which it is useless.
	Arrived, Objective, Deadline time.Duration
}

// entry is an opening with its position in a queue.
type entry struct {
	Opening
	index int
	late  bool
}

// before orders the openings of one queue: by priority, then by the time until which an
// answer is worth what the queue stands for.
func (e *entry) before(other *entry) bool {
	if e.Priority != other.Priority {
		return e.Priority < other.Priority
	}
	return e.due() < other.due()
}

func (e *entry) due() time.Duration {
	if e.late {
		return e.Deadline
	}
	return e.Objective
}

// queue is a heap of openings.
type queue []*entry

func (q queue) Len() int           { return len(q) }
func (q queue) Less(i, j int) bool { return q[i].before(q[j]) }
func (q queue) Swap(i, j int) {
	q[i], q[j] = q[j], q[i]
	q[i].index, q[j].index = i, j
}
func (q *queue) Push(x any) {
	e := x.(*entry)
	e.index = len(*q)
	*q = append(*q, e)
}
func (q *queue) Pop() any {
	last := (*q)[len(*q)-1]
	(*q)[len(*q)-1] = nil
	*q = (*q)[:len(*q)-1]
	return last
}

// Line holds the openings that wait at one agent. Those that can be answered in time come
// first, then those that can still be answered within their timeout.
type Line struct {
	byFlow map[segment.Flow]*entry
	inTime queue
	late   queue
	bytes  int
	// counts holds the openings of each priority, in time and late.
	counts [2][segment.MaxPriority + 1]int
}

// New returns an empty line.
func New() *Line { return &Line{byFlow: make(map[segment.Flow]*entry)} }

// Len returns the number of openings.
func (l *Line) Len() int { return len(l.byFlow) }

// Contains reports whether the opening of a flow waits.
func (l *Line) Contains(flow segment.Flow) bool { return l.byFlow[flow] != nil }

// Ahead returns the number of openings that come before one that joins now.
func (l *Line) Ahead(priority uint8, late bool) int {
	ahead := 0
	for class := range l.counts {
		for p, count := range l.counts[class] {
			if class < index(late) || class == index(late) && p <= int(priority) {
				ahead += count
			}
		}
	}
	return ahead
}

// index returns the index of counts.
func index(late bool) int {
	if late {
		return 1
	}
	return 0
}

// Add adds an opening and reports whether there was room for it. An opening of a flow that
// waits already is not added again.
func (l *Line) Add(now time.Duration, o Opening) bool {
	if l.Contains(o.Flow) || len(l.byFlow) >= MaxOpenings || l.bytes+len(o.Segment) > MaxBytes {
		return false
	}
	o.Priority = min(o.Priority, segment.MaxPriority)
	e := &entry{Opening: o, late: now >= o.Objective}
	l.byFlow[o.Flow] = e
	l.bytes += len(o.Segment)
	l.push(e)
	return true
}

func (l *Line) push(e *entry) {
	l.counts[index(e.late)][e.Priority]++
	heap.Push(l.queueOf(e), e)
}

func (l *Line) queueOf(e *entry) *queue {
	if e.late {
		return &l.late
	}
	return &l.inTime
}

// take removes an entry.
func (l *Line) take(e *entry) Opening {
	heap.Remove(l.queueOf(e), e.index)
	l.counts[index(e.late)][e.Priority]--
	delete(l.byFlow, e.Flow)
	l.bytes -= len(e.Segment)
	return e.Opening
}

// Next removes and returns the opening that goes to the target next, if there is one. An
// answer is expected after the given time. Openings that can no longer be answered within
// their timeout are left for Expired.
func (l *Line) Next(now, answer time.Duration) (Opening, bool) {
	for len(l.inTime) > 0 {
		e := l.inTime[0]
		if now+answer <= e.Objective {
			return l.take(e), true
		}
		l.makeLate(e)
	}
	var hopeless []*entry
	defer func() {
		for _, e := range hopeless {
			heap.Push(&l.late, e)
		}
	}()
	for len(l.late) > 0 {
		e := l.late[0]
		if now+answer <= e.Deadline {
			return l.take(e), true
		}
		hopeless = append(hopeless, heap.Pop(&l.late).(*entry))
	}
	return Opening{}, false
}

// makeLate moves an opening to the late ones.
func (l *Line) makeLate(e *entry) {
	heap.Remove(&l.inTime, e.index)
	l.counts[index(false)][e.Priority]--
	e.late = true
	l.push(e)
}

// Expired removes and returns the openings that can no longer be answered within their
// timeout, if an answer takes the given time.
func (l *Line) Expired(now, answer time.Duration) []Opening {
	var expired []*entry
	for _, q := range []queue{l.inTime, l.late} {
		for _, e := range q {
			if now+answer > e.Deadline {
				expired = append(expired, e)
			}
		}
	}
	var out []Opening
	for _, e := range expired {
		out = append(out, l.take(e))
	}
	return out
}

// Replace puts a later copy of an opening, and the number of the balancer that sent it, in the
// place of the one that waits. It reports whether one waits. A copy for which there is no room
// is dropped.
func (l *Line) Replace(flow segment.Flow, data []byte, sender uint8) bool {
	e := l.byFlow[flow]
	if e == nil {
		return false
	}
	if size := l.bytes - len(e.Segment) + len(data); size <= MaxBytes {
		e.Segment, e.Sender, l.bytes = data, sender, size
	}
	return true
}

// Withdraw removes the opening of a flow if the balancer with the given number sent it.
func (l *Line) Withdraw(flow segment.Flow, sender uint8) {
	if e := l.byFlow[flow]; e != nil && e.Sender == sender {
		l.take(e)
	}
}

// Remove removes the opening of a flow and reports whether it waited.
func (l *Line) Remove(flow segment.Flow) (Opening, bool) {
	e := l.byFlow[flow]
	if e == nil {
		return Opening{}, false
	}
	return l.take(e), true
}

// Clear removes and returns all openings. Equal lines return them in the same order.
func (l *Line) Clear() []Opening {
	out := make([]Opening, 0, len(l.byFlow))
	for _, q := range []queue{l.inTime, l.late} {
		for _, e := range q {
			out = append(out, e.Opening)
		}
	}
	*l = *New()
	return out
}
