// Package generations keeps values that are forgotten when they have not been
// used for a while, without a time stamp for each: two generations of a map take
// turns, and an entry that is used moves to the younger one.
package generations

import "time"

// Map is a bounded map of two generations. It is not safe for concurrent use.
// The zero value is not usable; New makes one.
type Map[K comparable, V any] struct {
	young, old map[K]V
	// limit is the number of entries of a generation.
	limit  int
	turned time.Duration
}

// New returns a map that holds at most limit entries in each generation.
func New[K comparable, V any](limit int) *Map[K, V] {
	return &Map[K, V]{young: make(map[K]V), old: make(map[K]V), limit: limit}
}

// Len returns the number of entries.
func (m *Map[K, V]) Len() int { return len(m.young) + len(m.old) }

// Get returns the value of a key and renews it.
func (m *Map[K, V]) Get(key K) (V, bool) {
	if v, ok := m.young[key]; ok {
		return v, true
	}
	v, ok := m.old[key]
	if ok {
		m.young[key] = v
		delete(m.old, key)
	}
	return v, ok
}

// Put writes the value of a key; it reports whether there was room.
func (m *Map[K, V]) Put(key K, v V) bool {
	if _, known := m.young[key]; !known && len(m.young) >= m.limit {
		return false
	}
	delete(m.old, key)
	m.young[key] = v
	return true
}

// Delete forgets a key.
func (m *Map[K, V]) Delete(key K) {
	delete(m.young, key)
	delete(m.old, key)
}

// Turn forgets the entries that were not used for a whole generation, if the
// present one has lasted for the given time. Forgotten, which may be nil, is
// called for each of them.
func (m *Map[K, V]) Turn(now, generation time.Duration, forgotten func(K, V)) {
	if now-m.turned < generation {
		return
	}
	if forgotten != nil {
		for key, v := range m.old {
			forgotten(key, v)
		}
	}
	m.old, m.young = m.young, m.old
	clear(m.young)
	m.turned = now
}

// All calls use for each entry until it returns false.
func (m *Map[K, V]) All(use func(K, V) bool) {
	for _, generation := range []map[K]V{m.young, m.old} {
		for key, v := range generation {
			if !use(key, v) {
				return
			}
		}
	}
}
