package waitline

import (
	"encoding/binary"
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"github.com/peridotstall/peridotstall/internal/segment"
)

// answer is the time to an answer in all tests.
const answer = 20 * time.Millisecond

func flow(i int) segment.Flow {
	f := segment.Flow{Service: segment.Endpoint{IP: [4]byte{198, 18, 0, 1}, Port: 443}, Caller: segment.Endpoint{Port: uint16(i)}}
	binary.BigEndian.PutUint32(f.Caller.IP[:], uint32(i>>16)|100<<24)
	return f
}

func opening(i int, priority uint8, objective, deadline time.Duration) Opening {
	return Opening{Flow: flow(i), Priority: priority, Objective: objective, Deadline: deadline, Segment: make([]byte, 32)}
}

// Guards against a backlog that is served in order of arrival: openings that are late already
// would make those late that are not.
func TestInTimeBeforeLate(t *testing.T) {
	c := qt.New(t)
	l := New()
	const now = time.Second
	for i, o := range []Opening{
		opening(0, 2, now-1, 3*time.Second),                           // late
		opening(1, 0, now-1, 2*time.Second),                           // late, urgent
		opening(2, 2, now+90*time.Millisecond, 3*time.Second),         // in time
		opening(3, 2, now+60*time.Millisecond, 3*time.Second),         // in time, due earlier
		opening(4, 1, now+150*time.Millisecond, 3*time.Second),        // in time, urgent
		opening(5, 2, now+10*time.Millisecond, 2500*time.Millisecond), // its objective is too near
	} {
		c.Assert(l.Add(now, o), qt.IsTrue, qt.Commentf("%d", i))
	}
	var order []int
	for o, ok := l.Next(now, answer); ok; o, ok = l.Next(now, answer) {
		order = append(order, int(o.Flow.Caller.Port))
	}
	c.Check(order, qt.DeepEquals, []int{4, 3, 2, 1, 5, 0})
}

// Guards against requests that are run after their callers have gone: whatever comes and goes,
// an opening leaves the line once, in time for its deadline or as expired.
func TestNothingIsServedAfterItsDeadline(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		l, now, waiting := New(), time.Second, map[segment.Flow]bool{}
		for i := range rapid.IntRange(1, 80).Draw(t, "steps") {
			now += time.Duration(rapid.IntRange(0, 40).Draw(t, "elapsed")) * time.Millisecond
			switch rapid.IntRange(0, 3).Draw(t, "step") {
			case 0, 1:
				objective := now + time.Duration(rapid.IntRange(-50, 200).Draw(t, "objective"))*time.Millisecond
				o := opening(i, uint8(rapid.IntRange(0, 5).Draw(t, "priority")), objective, objective+time.Duration(rapid.IntRange(0, 300).Draw(t, "limit"))*time.Millisecond)
				if l.Add(now, o) {
					waiting[o.Flow] = true
				}
			case 2:
				if o, ok := l.Next(now, answer); ok {
					if !waiting[o.Flow] || now+answer > o.Deadline {
						t.Fatalf("served at %s: %+v", now, o)
					}
					delete(waiting, o.Flow)
				}
			case 3:
				for _, o := range l.Expired(now, answer) {
					if !waiting[o.Flow] || now+answer <= o.Deadline {
						t.Fatalf("expired at %s: %+v", now, o)
					}
					delete(waiting, o.Flow)
				}
			}
			total := 0
			for _, class := range l.counts {
				for _, count := range class {
					total += count
				}
			}
			if l.Len() != len(waiting) || total != len(waiting) || len(l.inTime)+len(l.late) != len(waiting) || l.bytes != 32*len(waiting) {
				t.Fatalf("%d wait, line has %d, counts %d", len(waiting), l.Len(), total)
			}
		}
		if len(l.Clear()) != len(waiting) || l.Len() != 0 {
			t.Fatalf("not all openings were returned")
		}
	})
}

// Guards against memory that grows with a flood.
func TestLineIsBounded(t *testing.T) {
	c := qt.New(t)
	l := New()
	added := 0
	for i := range 2 * MaxOpenings {
		if l.Add(0, opening(i, 0, 0, time.Second)) {
			added++
		}
	}
	c.Check(added, qt.Equals, MaxOpenings)
	large := New()
	for i := range 300 {
		o := opening(i, 0, 0, time.Second)
		o.Segment = make([]byte, 2048)
		large.Add(0, o)
	}
	c.Check(large.bytes <= MaxBytes, qt.IsTrue)
	c.Check(l.Add(0, opening(0, 0, 0, time.Second)), qt.IsFalse)
}

func BenchmarkLine(b *testing.B) {
	for _, waiting := range []int{10, 1_000} {
		b.Run(fmt.Sprint(waiting), func(b *testing.B) {
			l := New()
			for i := range waiting {
				l.Add(0, opening(i, uint8(i%4), time.Duration(i)*time.Millisecond, time.Hour))
			}
			o := opening(1<<20, 1, time.Second, time.Hour)
			b.ReportAllocs()
			for b.Loop() {
				l.Ahead(1, false)
				l.Add(0, o)
				l.Remove(o.Flow)
			}
		})
	}
}

// Guards against runs with one seed that differ: what leaves a line at once does so in the
// order of the line, not of a map.
func TestSameLineSameOrder(t *testing.T) {
	c := qt.New(t)
	order := func(remove func(*Line) []Opening) (ports []uint16) {
		l := New()
		for i := range 100 {
			l.Add(time.Second, opening(i, uint8(i%3), time.Duration(i%7)*time.Second, 8*time.Second))
		}
		for _, o := range remove(l) {
			ports = append(ports, o.Flow.Caller.Port)
		}
		c.Assert(ports, qt.HasLen, 100)
		c.Check(l.Len(), qt.Equals, 0)
		return ports
	}
	for name, remove := range map[string]func(*Line) []Opening{
		"clear":  (*Line).Clear,
		"expire": func(l *Line) []Opening { return l.Expired(8*time.Second, answer) },
	} {
		c.Check(order(remove), qt.DeepEquals, order(remove), qt.Commentf(name))
	}
}
