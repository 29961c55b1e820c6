package offer_test

import (
	"fmt"
	"time"

	"github.com/peridotstall/peridotstall/internal/errkind"
	"github.com/peridotstall/peridotstall/internal/offer"
	"github.com/peridotstall/peridotstall/internal/schema"
)

// fakeAdmission is first-in, first-out admission with fixed limits. It panics
// when a ticket is used in a way that the real admission does not allow.
type fakeAdmission struct {
	slots, room, flows int
	running            int
	openFlows          int
	last               offer.Ticket
	reserved           map[offer.Ticket]offer.Request
	started            map[offer.Ticket]bool
	queue              []offer.Ticket
	results            []offer.Result
	draining           bool
}

func newFakeAdmission(slots, room, flows int) *fakeAdmission {
	return &fakeAdmission{
		slots: slots, room: room, flows: flows,
		reserved: make(map[offer.Ticket]offer.Request),
		started:  make(map[offer.Ticket]bool),
	}
}

func (f *fakeAdmission) Reserve(now time.Time, r offer.Request) (offer.Ticket, *errkind.Error) {
	if f.draining {
		return 0, errkind.New(schema.ErrorKind_REFUSED_DRAINING, "")
	}
	if len(f.reserved) >= f.room {
		return 0, errkind.New(schema.ErrorKind_REFUSED_OVERLOAD, "queue of %d", f.room)
	}
	f.last++
	f.reserved[f.last] = r
	return f.last, nil
}

func (f *fakeAdmission) Enqueue(now time.Time, t offer.Ticket) bool {
	if _, ok := f.reserved[t]; !ok {
		return false
	}
	f.queue = append(f.queue, t)
	return true
}

func (f *fakeAdmission) Next(now time.Time) (offer.Ticket, bool) {
	if f.running >= f.slots || len(f.queue) == 0 {
		return 0, false
	}
	t := f.queue[0]
	f.queue = f.queue[1:]
	delete(f.reserved, t)
	f.started[t] = true
	f.running++
	return t, true
}

func (f *fakeAdmission) RemoveExpired(now time.Time) []offer.Ticket {
	var out []offer.Ticket
	for _, t := range f.queue {
		if !now.Before(f.reserved[t].Deadline) {
			out = append(out, t)
		}
	}
	for _, t := range out {
		f.Release(t)
	}
	return out
}

func (f *fakeAdmission) Release(t offer.Ticket) {
	if f.started[t] {
		panic(fmt.Sprintf("ticket %d released after its start", t))
	}
	delete(f.reserved, t)
	for i, queued := range f.queue {
		if queued == t {
			f.queue = append(f.queue[:i:i], f.queue[i+1:]...)
			return
		}
	}
}

func (f *fakeAdmission) Done(now time.Time, t offer.Ticket, r offer.Result) {
	if !f.started[t] {
		panic(fmt.Sprintf("ticket %d done twice or never started", t))
	}
	delete(f.started, t)
	f.running--
	f.results = append(f.results, r)
}

func (f *fakeAdmission) OpenFlow(now time.Time, member, class string) *errkind.Error {
	if f.draining || f.openFlows >= f.flows {
		return errkind.New(schema.ErrorKind_REFUSED_OVERLOAD, "%d flows", f.openFlows)
	}
	f.openFlows++
	return nil
}

func (f *fakeAdmission) CloseFlow(member, class string) { f.openFlows-- }

func (f *fakeAdmission) SetDraining(draining bool) { f.draining = draining }
