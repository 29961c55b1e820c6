package generations

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// Guards against removal of an entry in use, and against idle entries that are never
// removed.
func TestIdleEntriesExpire(t *testing.T) {
	c := qt.New(t)
	m := New[string, int](10)
	m.Put("used", 1)
	m.Put("idle", 2)
	var evicted []string
	for rotation := 1; rotation <= 3; rotation++ {
		_, known := m.Get("used")
		c.Assert(known, qt.IsTrue)
		m.Rotate(time.Duration(rotation)*time.Second, time.Second, func(key string, _ int) { evicted = append(evicted, key) })
	}
	c.Assert(evicted, qt.DeepEquals, []string{"idle"})
	_, known := m.Get("idle")
	c.Assert(known, qt.IsFalse)
	c.Assert(m.Len(), qt.Equals, 1)
}

// Guards against a rotation before the generation is over.
func TestNoRotationBeforeGenerationEnds(t *testing.T) {
	c := qt.New(t)
	m := New[string, int](10)
	m.Put("a", 1)
	for at := time.Duration(0); at < time.Second; at += 100 * time.Millisecond {
		m.Rotate(at, time.Second, nil)
		m.Rotate(at, time.Second, nil)
	}
	_, known := m.Get("a")
	c.Assert(known, qt.IsTrue)
}

// Guards against growth beyond the bound, and against a key that is in both generations
// at once.
func TestBound(t *testing.T) {
	c := qt.New(t)
	m := New[int, int](2)
	c.Assert(m.Put(1, 1), qt.IsTrue)
	c.Assert(m.Put(2, 2), qt.IsTrue)
	c.Assert(m.Put(3, 3), qt.IsFalse)
	c.Assert(m.Put(2, 5), qt.IsTrue)
	m.Rotate(time.Second, time.Second, nil)
	c.Assert(m.Put(2, 7), qt.IsTrue)
	c.Assert(m.Len(), qt.Equals, 2)
	v, _ := m.Get(2)
	c.Assert(v, qt.Equals, 7)
	m.Delete(1)
	seen := 0
	m.All(func(int, int) bool { seen++; return true })
	c.Assert(seen, qt.Equals, 1)
}

// Guards against a generation that grows beyond its limit because entries of the older one
// are used.
func TestUsedEntriesKeepTheLimit(t *testing.T) {
	c := qt.New(t)
	m := New[int, int](10)
	for i := range 10 {
		c.Assert(m.Put(i, i), qt.IsTrue)
	}
	m.Rotate(time.Second, time.Second, nil)
	for i := 10; i < 20; i++ {
		c.Assert(m.Put(i, i), qt.IsTrue)
	}
	for i := range 20 {
		v, known := m.Get(i)
		c.Assert(known, qt.IsTrue)
		c.Assert(v, qt.Equals, i)
	}
	c.Check(len(m.young), qt.Equals, 10)
	c.Check(m.Len(), qt.Equals, 20)
}
