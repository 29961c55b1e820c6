package admission

import (
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/peridotstall/peridotstall/internal/schema"
)

// Guards against queued work that is lost when the policy no longer lists its
// class, and against new members and classes that are not admitted.
func TestReconfigureKeepsQueuedWork(t *testing.T) {
	c := qt.New(t)
	now := time.Unix(1000, 0)
	settings := Settings{
		Slots: 1, Connections: 2, Warm: true,
		Members: map[string]uint32{"a": 1},
		Classes: []*schema.Class{{Name: "bid", Weight: 1, QueueLimit: 4}},
	}
	control := New(settings, rand.New(rand.NewPCG(1, 2)))
	var tickets []Ticket
	for range 3 {
		ticket, refusal := control.Reserve(now, Request{Member: "a", Class: "bid"})
		c.Assert(refusal == nil, qt.IsTrue)
		c.Assert(control.Enqueue(now, ticket), qt.IsTrue)
		tickets = append(tickets, ticket)
	}
	first, ok := control.Next(now)
	c.Assert(ok, qt.IsTrue)
	c.Assert(first, qt.Equals, tickets[0])

	settings.Slots = 3
	settings.Members = map[string]uint32{"a": 1, "b": 2}
	settings.Classes = []*schema.Class{{Name: "upload", Weight: 1}}
	control.Reconfigure(now, settings)
	control.Done(now, first, Result{ServiceTime: time.Millisecond})
	second, ok := control.Next(now)
	c.Assert(ok, qt.IsTrue)
	c.Check(second, qt.Equals, tickets[1])
	_, refusal := control.Reserve(now, Request{Member: "b", Class: "upload"})
	c.Check(refusal == nil, qt.IsTrue)
}
