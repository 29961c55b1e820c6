package occupancy

import (
	"math"
	"time"

	"github.com/peridotstall/peridotstall/internal/segment"
	"github.com/peridotstall/peridotstall/internal/waitline"
)

const (
	// unknownServiceShare is the share of an opening's patience that is assumed as the
	// service time until the first answer.
	unknownServiceShare = 0.05
	// minSpareShare is the share of the slots that new openings have to leave for those that
	// wait. Under a lasting overload nothing waits: it would take slots from openings that
	// can still meet their objective.
	minSpareShare = 0.05
	// rateWindow is the time constant of the rate of openings. An overload that is shorter is a
	// backlog, which clears.
	rateWindow = 2 * time.Second
	// prefetch is the number of openings beyond the free slots that go to the target, so
	// that a slot is not idle for the round trip to the caller.
	prefetch = 1
)

// rate is a decayed rate of events.
type rate struct {
	count   float64
	updated time.Duration
}

func (r *rate) add(now time.Duration) {
	r.decay(now)
	r.count++
}

func (r *rate) decay(now time.Duration) {
	if elapsed := now - r.updated; elapsed > 0 {
		r.count *= math.Exp(-float64(elapsed) / float64(rateWindow))
		r.updated = now
	}
}

// perSecond returns the rate.
func (r *rate) perSecond(now time.Duration) float64 {
	r.decay(now)
	return r.count / rateWindow.Seconds()
}

// mayWait reports whether an opening that the target has no room for can be answered within
// its patience if it waits.
func (t *Tracker) mayWait(now time.Duration, mark segment.Mark) bool {
	if !t.policy.Wait || !mark.MayWait || mark.Cold {
		return false
	}
	answer := t.Quote(now, mark)
	return answer > 0 && answer <= mark.Patience
}

// serviceTime returns the mean service time, or an assumed one that suits a patience.
func (t *Tracker) serviceTime(patience time.Duration) time.Duration {
	if t.work.service != 0 {
		return t.work.service
	}
	return time.Duration(unknownServiceShare * float64(patience))
}

// answerTime returns the expected time from the delivery of an opening to a free slot to its
// answer.
func (t *Tracker) answerTime(patience time.Duration) time.Duration {
	return 2*t.work.roundTrip + time.Duration(serviceMargin*float64(t.serviceTime(patience)))
}

// expectedTurn returns the expected time until an opening that joins the line goes to the
// target; false if new openings leave no slots for those that wait.
func (t *Tracker) expectedTurn(now time.Duration, mark segment.Mark) (time.Duration, bool) {
	perSlot := t.serviceTime(mark.Patience).Seconds() / float64(t.work.slots)
	spare := 1 - t.demand.perSecond(now)*perSlot
	if spare < minSpareShare {
		return 0, false
	}
	ahead := t.load() - t.work.slots + 1 + t.line.Ahead(mark.Priority, mark.Late)
	return time.Duration(float64(max(ahead, 0)) * perSlot / spare * float64(time.Second)), true
}

// Quote returns the time in which an opening that is refused now could be answered if it
// waited; 0 if it could not wait or the time is unknown.
func (t *Tracker) Quote(now time.Duration, mark segment.Mark) time.Duration {
	if mark.Patience == 0 || t.work.slots == 0 || t.warmup.Cold(now) {
		return 0
	}
	turn, ok := t.expectedTurn(now, mark)
	if !ok {
		return 0
	}
	return turn + t.answerTime(mark.Patience)
}

// Wait adds an opening that Admit let wait to the line, and reports whether there was room
// for it. A copy of one that waits already takes its place.
func (t *Tracker) Wait(now time.Duration, head segment.Head, mark segment.Mark, sender uint8, data []byte) bool {
	flow := head.FromCaller()
	return t.line.Replace(flow, data, sender) || t.line.Add(now, waitline.Opening{
		Flow: flow, Segment: data, Sender: sender, Priority: mark.Priority,
		Arrived: now, Objective: now + mark.Budget, Deadline: now + mark.Patience,
	})
}

// Waiting returns the number of openings that wait.
func (t *Tracker) Waiting() int { return t.line.Len() }

// Withdraw removes the waiting opening of a flow if the balancer with the given number sent
// its last copy.
func (t *Tracker) Withdraw(flow segment.Flow, sender uint8) { t.line.Withdraw(flow, sender) }

// Released returns the opening that goes to the target now, if one waits and the target has
// room for it.
func (t *Tracker) Released(now time.Duration) (waitline.Opening, bool) {
	if t.line.Len() == 0 || t.leaving || t.evacuated || t.Unresponsive(now) || t.warmup.Cold(now) ||
		t.work.slots > 0 && t.load() >= t.work.slots+prefetch {
		return waitline.Opening{}, false
	}
	o, ok := t.line.Next(now, t.answerTime(0))
	if ok {
		t.warmup.Admit(now, false)
	}
	return o, ok
}

// DeliveredFromLine records that an opening that waited goes to the target. It counts as
// pending at once, because further ones are released before the target accepts it.
func (t *Tracker) DeliveredFromLine(now time.Duration, head segment.Head, mark segment.Mark, sender uint8) {
	t.Delivered(now, head, mark, sender, nil)
	flow := head.FromCaller()
	s, known := t.flows.Get(flow)
	if !known || s.pending() || s.arriving {
		return
	}
	before := s
	s.opening = true
	t.openings = append(t.openings, flowAt{flow, now})
	t.update(now, flow, before, s)
}

// GivenUp removes and returns the openings that wait for nothing, with the reason: those that
// cannot be answered within their patience any more, and all while the target cannot take
// any.
func (t *Tracker) GivenUp(now time.Duration) ([]waitline.Opening, Refusal) {
	switch {
	case t.line.Len() == 0:
		return nil, Accepted
	case t.leaving:
		return t.line.Clear(), Leaving
	case t.evacuated:
		return t.line.Clear(), Evacuated
	case t.Unresponsive(now):
		return t.line.Clear(), Unresponsive
	case t.warmup.Cold(now):
		return t.line.Clear(), WarmingUp
	}
	return t.line.Expired(now, t.answerTime(0)), Busy
}
