// Package generations implements a bounded map whose entries expire after they have not
// been used for a while. It needs no timestamp per entry: entries live in two
// generations, and an entry that is used moves to the younger one.
package generations

import "time"

// Map is a bounded map of two generations. It is not safe for concurrent use. The zero
// value is not usable; use New.
type Map[K comparable, V any] struct {
	young, old map[K]V
	// limit is the maximum number of entries per generation.
	limit   int
	rotated time.Duration
}

// New returns a map that holds at most limit entries in each generation.
func New[K comparable, V any](limit int) *Map[K, V] {
	return &Map[K, V]{young: make(map[K]V), old: make(map[K]V), limit: limit}
}

// Len returns the number of entries.
func (m *Map[K, V]) Len() int { return len(m.young) + len(m.old) }

// Get returns the value of a key and moves it to the younger generation if there is room.
func (m *Map[K, V]) Get(key K) (V, bool) {
	if v, ok := m.young[key]; ok {
		return v, true
	}
	v, ok := m.old[key]
	if ok && len(m.young) < m.limit {
		m.young[key] = v
		delete(m.old, key)
	}
	return v, ok
}

// Put sets the value of a key. It reports whether there was room for it.
func (m *Map[K, V]) Put(key K, v V) bool {
	if _, known := m.young[key]; !known && len(m.young) >= m.limit {
		return false
	}
	delete(m.old, key)
	m.young[key] = v
	return true
}

// Delete removes a key.
func (m *Map[K, V]) Delete(key K) {
	delete(m.young, key)
	delete(m.old, key)
}

// Rotate replaces the older generation by the younger one if the last rotation is at
// least a generation ago, and so removes the entries that were not used for a whole
// generation. It calls evicted, which may be nil, for each removed entry.
func (m *Map[K, V]) Rotate(now, generation time.Duration, evicted func(K, V)) {
	if now-m.rotated < generation {
		return
	}
	if evicted != nil {
		for key, v := range m.old {
			evicted(key, v)
		}
	}
	m.old, m.young = m.young, m.old
	clear(m.young)
	m.rotated = now
}

// All calls visit for each entry until it returns false.
func (m *Map[K, V]) All(visit func(K, V) bool) {
	for _, generation := range []map[K]V{m.young, m.old} {
		for key, v := range generation {
			if !visit(key, v) {
				return
			}
		}
	}
}
