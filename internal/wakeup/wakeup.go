// Package wakeup keeps, for many items, the time at which each has to be looked
// at next. It has no clock.
package wakeup

import (
	"container/heap"
	"time"
)

type entry struct {
	at time.Time
	id uint64
}

// entries is a heap; an entry is stale when the item wakes at another time.
type entries []entry

func (e entries) Len() int { return len(e) }

// Less breaks ties by ID, so that the order does not depend on the heap.
func (e entries) Less(i, j int) bool {
	if e[i].at.Equal(e[j].at) {
		return e[i].id < e[j].id
	}
	return e[i].at.Before(e[j].at)
}
func (e entries) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *entries) Push(x any)   { *e = append(*e, x.(entry)) }
func (e *entries) Pop() any {
	last := len(*e) - 1
	out := (*e)[last]
	*e = (*e)[:last]
	return out
}

// Queue holds the wake-up times. The zero value is empty.
type Queue struct {
	entries entries
	at      map[uint64]time.Time
}

// Set makes sure that an item is due no later than at a time; a zero time and a
// time after the present one change nothing.
func (q *Queue) Set(id uint64, at time.Time) {
	if at.IsZero() {
		return
	}
	if present, ok := q.at[id]; ok && !at.Before(present) {
		return
	}
	if q.at == nil {
		q.at = make(map[uint64]time.Time)
	}
	q.at[id] = at
	heap.Push(&q.entries, entry{at, id})
}

// Forget removes an item.
func (q *Queue) Forget(id uint64) {
	delete(q.at, id)
}

// Due removes and returns the items that are due, earliest first.
func (q *Queue) Due(now time.Time) []uint64 {
	var out []uint64
	for q.clean(); len(q.entries) > 0 && !q.entries[0].at.After(now); q.clean() {
		e := heap.Pop(&q.entries).(entry)
		delete(q.at, e.id)
		out = append(out, e.id)
	}
	return out
}

// Next returns when the first item is due; zero when there is none.
func (q *Queue) Next() time.Time {
	q.clean()
	if len(q.entries) == 0 {
		return time.Time{}
	}
	return q.entries[0].at
}

// clean removes stale entries from the front.
func (q *Queue) clean() {
	for len(q.entries) > 0 {
		front := q.entries[0]
		if at, ok := q.at[front.id]; ok && at.Equal(front.at) {
			return
		}
		heap.Pop(&q.entries)
	}
}
