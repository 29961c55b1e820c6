// Package wakeup implements a queue of the next wake-up times of many items. It
// reads no clock.
package wakeup

import (
	"container/heap"
	"time"
)

type entry struct {
	dueAt time.Time
	id    uint64
}

// entries is a heap by time. An entry is stale when the queue holds another time,
// or none, for its item.
type entries []entry

func (e entries) Len() int { return len(e) }

// Less breaks ties by ID, so that the order does not depend on the order of
// insertion.
func (e entries) Less(i, j int) bool {
	if e[i].dueAt.Equal(e[j].dueAt) {
		return e[i].id < e[j].id
	}
	return e[i].dueAt.Before(e[j].dueAt)
}
func (e entries) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *entries) Push(x any)   { *e = append(*e, x.(entry)) }
func (e *entries) Pop() any {
	last := len(*e) - 1
	out := (*e)[last]
	*e = (*e)[:last]
	return out
}

// Queue holds one wake-up time per item ID. The zero value is an empty queue.
type Queue struct {
	entries entries
	dueAt   map[uint64]time.Time
}

// Schedule makes an item due at the given time or earlier. A zero time and a time
// that is not before the current one of the item change nothing.
func (q *Queue) Schedule(id uint64, at time.Time) {
	if at.IsZero() {
		return
	}
	if current, ok := q.dueAt[id]; ok && !at.Before(current) {
		return
	}
	if q.dueAt == nil {
		q.dueAt = make(map[uint64]time.Time)
	}
	q.dueAt[id] = at
	heap.Push(&q.entries, entry{at, id})
}

// Remove removes an item.
func (q *Queue) Remove(id uint64) {
	delete(q.dueAt, id)
}

// PopDue removes and returns the items that are due, earliest first.
func (q *Queue) PopDue(now time.Time) []uint64 {
	var out []uint64
	for q.dropStale(); len(q.entries) > 0 && !q.entries[0].dueAt.After(now); q.dropStale() {
		e := heap.Pop(&q.entries).(entry)
		delete(q.dueAt, e.id)
		out = append(out, e.id)
	}
	return out
}

// Next returns the time at which the first item is due, or the zero time when the
// queue is empty.
func (q *Queue) Next() time.Time {
	q.dropStale()
	if len(q.entries) == 0 {
		return time.Time{}
	}
	return q.entries[0].dueAt
}

// dropStale removes stale entries from the front of the heap.
func (q *Queue) dropStale() {
	for len(q.entries) > 0 {
		front := q.entries[0]
		if at, ok := q.dueAt[front.id]; ok && at.Equal(front.dueAt) {
			return
		}
		heap.Pop(&q.entries)
	}
}
