package admission

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"github.com/peridotstall/peridotstall/internal/schema"
	"github.com/peridotstall/peridotstall/internal/testseed"
)

func TestMain(m *testing.M) { testseed.Main(m, "20260") }

var epoch = time.Unix(1_000_000, 0)

// classes returns the policy classes of the tests.
func classes() []*schema.Class {
	return []*schema.Class{
		{Name: "bid", Urgency: 30, FloorPercent: 30, Weight: 3, QueueLimit: 12},
		{Name: "payment", Urgency: 20, FloorPercent: 20, Weight: 2, QueueLimit: 12},
		{Name: "feed", Urgency: 10, FloorPercent: 10, Weight: 1, QueueLimit: 12},
		{Name: "upload", Urgency: 1, FloorPercent: 10, Weight: 1, QueueLimit: 12},
	}
}

func settings(slots int, a Algorithm) Settings {
	members := map[string]uint32{"house": 3, "shop": 1}
	return Settings{Slots: slots, Connections: 20, Capacity: 100, Members: members, Classes: classes(), Algorithm: a}
}

// Guards against requests that run twice or above the concurrency limit, queues
// that exceed their limit, and wrong counts of waiting requests, under random
// sequences of operations.
func TestControllerInvariants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		slots := rapid.IntRange(1, 4).Draw(t, "slots")
		algorithm := rapid.SampledFrom([]Algorithm{WeightedFair, FIFO}).Draw(t, "algorithm")
		c := New(settings(slots, algorithm), rand.New(rand.NewPCG(1, 2)))
		now := epoch
		waiting, running, started := []Ticket{}, []Ticket{}, map[Ticket]bool{}
		removeRandom := func(from *[]Ticket) Ticket {
			i := rapid.IntRange(0, len(*from)-1).Draw(t, "index")
			ticket := (*from)[i]
			*from = append((*from)[:i:i], (*from)[i+1:]...)
			return ticket
		}
		for range rapid.IntRange(1, 150).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 40).Draw(t, "ms")) * time.Millisecond)
			op := rapid.IntRange(0, 9).Draw(t, "op")
			switch {
			case op < 3:
				r := Request{Member: rapid.SampledFrom([]string{"house", "shop", "x"}).Draw(t, "member"),
					Class:    rapid.SampledFrom([]string{"bid", "upload", "y"}).Draw(t, "class"),
					Deadline: now.Add(time.Duration(rapid.IntRange(1, 500).Draw(t, "deadline")) * time.Millisecond)}
				if ticket, err := c.Reserve(now, r); err == nil {
					waiting = append(waiting, ticket)
				} else if !err.NotRun() {
					t.Fatalf("refusal %v has NotRun() == false", err)
				}
			case op < 5 && len(waiting) > 0:
				ticket := waiting[rapid.IntRange(0, len(waiting)-1).Draw(t, "index")]
				c.Enqueue(now, ticket)
				if c.Enqueue(now, ticket) {
					t.Fatalf("ticket %d enqueued twice", ticket)
				}
			case op < 7:
				if ticket, ok := c.Next(now); ok {
					if started[ticket] {
						t.Fatalf("ticket %d started twice", ticket)
					}
					started[ticket] = true
					running = append(running, ticket)
				}
			case op == 7 && len(running) > 0:
				r := Result{ServiceTime: time.Duration(rapid.IntRange(1, 300).Draw(t, "service")) * time.Millisecond}
				r.Shed = rapid.Bool().Draw(t, "shed")
				c.Done(now, removeRandom(&running), r)
			case op == 8 && len(waiting) > 0:
				c.Release(removeRandom(&waiting))
			case op == 9:
				for _, ticket := range c.RemoveExpired(now) {
					if started[ticket] {
						t.Fatalf("ticket %d expired after its start", ticket)
					}
					started[ticket] = true
				}
			}
			checkCounts(t, c, slots, len(running))
		}
	})
}

func checkCounts(t *rapid.T, c *Controller, slots, running int) {
	got, waiting := 0, 0
	for _, s := range c.Stats() {
		got += s.Running
		waiting += s.Reserved + s.Queued
		if limit := c.classByName[s.Class].queueLimit; c.settings.Algorithm != FIFO && s.Reserved+s.Queued > limit {
			t.Fatalf("%s %s: %d waiting, limit %d", s.Member, s.Class, s.Reserved+s.Queued, limit)
		}
	}
	if got != running || got > slots || got != c.running || waiting != c.waiting {
		t.Fatalf("running %d, want %d of %d slots; waiting %d, want %d", got, running, slots, c.waiting, waiting)
	}
}

// Guards against a draining target that admits new work or drops admitted work,
// and against a member that takes the share of connections of another.
func TestDrainingAndFlowShares(t *testing.T) {
	c := qt.New(t)
	control := New(settings(3, WeightedFair), rand.New(rand.NewPCG(1, 2)))
	open := func(member string) (flows int) {
		for control.OpenFlow(epoch, member, "feed") == nil {
			flows++
		}
		return flows
	}
	c.Assert(open("house"), qt.Equals, 15)
	c.Assert(open("shop"), qt.Equals, 5)
	ticket, refusal := control.Reserve(epoch, Request{Member: "shop", Class: "bid"})
	c.Assert(refusal == nil, qt.IsTrue)
	control.SetDraining(true)
	_, refusal = control.Reserve(epoch, Request{Member: "shop", Class: "bid"})
	c.Assert(refusal.Kind, qt.Equals, schema.ErrorKind_REFUSED_DRAINING)
	c.Assert(control.OpenFlow(epoch, "shop", "feed").Kind, qt.Equals, schema.ErrorKind_REFUSED_DRAINING)
	c.Assert(control.Enqueue(epoch, ticket), qt.IsTrue)
	next, ok := control.Next(epoch)
	c.Assert(ok && next == ticket, qt.IsTrue)
	control.CloseFlow("house", "feed")
	c.Assert(control.flows, qt.Equals, 19)
}

// Guards against a class that always has work and gets less than its floor,
// under any load of the other classes. Requests are not preempted, so the floor
// may lag by the longest request of any class in each slot.
func TestBusyClassGetsItsFloor(t *testing.T) {
	const length = 5 * time.Second
	rapid.Check(t, func(t *rapid.T) {
		algorithm := map[bool]Algorithm{false: WeightedFair, true: FIFO}[enforced(FIFO)]
		slots := rapid.IntRange(1, 4).Draw(t, "slots")
		busy := rapid.IntRange(0, 3).Draw(t, "busy class")
		var sources []source
		for i, cl := range classes() {
			src := source{member: "house", class: cl.Name, deadline: time.Hour}
			src.load = rapid.Float64Range(0.1, 20).Draw(t, "load")
			if i == busy {
				src.load = 1.5 * float64(slots)
			}
			src.service = time.Duration(rapid.IntRange(5, 300).Draw(t, "service ms")) * time.Millisecond
			sources = append(sources, src)
		}
		s := newSimulation(rapid.Uint64().Draw(t, "seed"), settings(slots, algorithm), []float64{1}, sources...).run(length)
		largest := time.Duration(0)
		for _, st := range s.servers[0].Stats() {
			largest = max(largest, st.Service.Max)
		}
		cl := classes()[busy]
		got := s.slotShare(length, func(st ClassStats) bool { return st.Class == cl.Name })
		if lag := largest.Seconds() / length.Seconds(); got+lag < float64(cl.FloorPercent)/100 {
			t.Fatalf("%s got %.3f of the slots, floor %d%%, lag %.3f", cl.Name, got, cl.FloorPercent, lag)
		}
	})
}

// Guards against a member that accumulates service while its requests run and
// none is queued, and that then blocks the other member for seconds.
func TestMemberAccumulatesNoService(t *testing.T) {
	config := settings(4, WeightedFair)
	config.Warm, config.Members = true, map[string]uint32{"house": 1, "shop": 3}
	control, now := New(config, rand.New(rand.NewPCG(1, 2))), epoch
	var running []Ticket // in order of start
	add := func(member string) {
		ticket, _ := control.Reserve(now, Request{Member: member, Class: "bid"})
		control.Enqueue(now, ticket)
		for ticket, ok := control.Next(now); ok; ticket, ok = control.Next(now) {
			running = append(running, ticket)
		}
	}
	finish := func(i int) {
		now = now.Add(5 * time.Millisecond)
		control.Done(now, running[i], Result{ServiceTime: 20 * time.Millisecond})
		running = slices.Delete(running, i, i+1)
	}
	add("shop")
	for range 500 {
		add("shop")
		finish(0)
		add("house")
		finish(1)
	}
	before := control.queue("house", "bid").wait.h.TotalCount()
	for range 60 {
		add("shop")
		add("house")
		if len(running) == 4 {
			finish(0)
		}
	}
	// The share of "house" is a quarter of the 60 starts.
	got := control.queue("house", "bid").wait.h.TotalCount() - before
	qt.Assert(t, got >= 10, qt.IsTrue, qt.Commentf("%d starts", got))
}
