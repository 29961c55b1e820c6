package config

import (
	"cmp"
	"slices"
)

// row is one item with its key and digest.
type row[K cmp.Ordered, T any] struct {
	key  K
	item T
	sum  sum
}

// table holds the items of one kind ordered by key. It is immutable, so that
// snapshots share unchanged tables. Keys and items are separate slices, because
// lookups read only the keys and the item slice is exposed without a copy.
type table[K cmp.Ordered, T any] struct {
	keys  []K
	items []T
	sums  []sum
}

func (t *table[K, T]) find(key K) (T, bool) {
	i, ok := slices.BinarySearch(t.keys, key)
	if !ok {
		var none T
		return none, false
	}
	return t.items[i], true
}

func (t *table[K, T]) append(r row[K, T]) {
	t.keys = append(t.keys, r.key)
	t.items = append(t.items, r.item)
	t.sums = append(t.sums, r.sum)
}

func (t *table[K, T]) row(i int) row[K, T] {
	return row[K, T]{t.keys[i], t.items[i], t.sums[i]}
}

// merge returns the table without the removed keys and with the rows of put,
// which are ordered by key and replace rows with the same key. It applies the
// change of the digest to total.
func (t *table[K, T]) merge(removed []K, put []row[K, T], total *sum) *table[K, T] {
	if len(removed) == 0 && len(put) == 0 {
		return t
	}
	dropped := make(map[K]bool, len(removed))
	for _, key := range removed {
		dropped[key] = true
	}
	out := newTable[K, T](len(t.keys) + len(put))
	for i, key := range t.keys {
		for len(put) > 0 && put[0].key < key {
			out.append(put[0])
			total.xor(put[0].sum)
			put = put[1:]
		}
		replaced := len(put) > 0 && put[0].key == key
		if replaced || dropped[key] {
			total.xor(t.sums[i])
			continue
		}
		out.append(t.row(i))
	}
	for _, r := range put {
		out.append(r)
		total.xor(r.sum)
	}
	return out
}

func newTable[K cmp.Ordered, T any](capacity int) *table[K, T] {
	return &table[K, T]{
		keys:  make([]K, 0, capacity),
		items: make([]T, 0, capacity),
		sums:  make([]sum, 0, capacity),
	}
}

// diff returns the difference from t to next: the new or changed items and the
// removed keys.
func (t *table[K, T]) diff(next *table[K, T]) (put []T, removed []K) {
	if t == next {
		return nil, nil
	}
	i, j := 0, 0
	for i < len(t.keys) || j < len(next.keys) {
		switch {
		case j == len(next.keys) || i < len(t.keys) && t.keys[i] < next.keys[j]:
			removed = append(removed, t.keys[i])
			i++
		case i == len(t.keys) || next.keys[j] < t.keys[i]:
			put = append(put, next.items[j])
			j++
		default:
			if t.sums[i] != next.sums[j] {
				put = append(put, next.items[j])
			}
			i++
			j++
		}
	}
	return put, removed
}

// diffRows returns the difference from t to the rows of a full configuration: the
// new or changed rows and the removed keys.
func (t *table[K, T]) diffRows(rows []row[K, T]) (put []row[K, T], removed []K) {
	if len(t.keys) == 0 {
		return rows, nil
	}
	i := 0
	for _, r := range rows {
		for i < len(t.keys) && t.keys[i] < r.key {
			removed = append(removed, t.keys[i])
			i++
		}
		known := i < len(t.keys) && t.keys[i] == r.key
		if !known || t.sums[i] != r.sum {
			put = append(put, r)
		}
		if known {
			i++
		}
	}
	return put, append(removed, t.keys[i:]...)
}

func (t *table[K, T]) rows() []row[K, T] {
	out := make([]row[K, T], len(t.keys))
	for i := range out {
		out[i] = t.row(i)
	}
	return out
}
