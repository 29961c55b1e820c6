package occupancy

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/peridotstall/peridotstall/internal/segment"
)

// serveOne simulates a whole request on a flow of its own.
func serveOne(t *Tracker, now, took time.Duration, port uint16) {
	openFlow(t, now, port)
	t.Answered(now+took, fromTarget(port, segment.Head{DataLength: 500}), Succeeded)
	t.Answered(now+took, fromTarget(port, segment.Head{Ended: true}), NoOutcome)
}

// busyTracker returns a tracker of a target with four slots, a service time of 40 ms and a
// number of pending requests.
func busyTracker(pending uint16) *Tracker {
	t := New("web")
	t.SetSlots(4)
	for port := range uint16(100) {
		serveOne(t, time.Duration(port+1)*50*ms, 40*ms, port)
	}
	for port := range pending {
		openFlow(t, 10*time.Second, 1000+port)
	}
	return t
}

func withBudget(budget time.Duration, priority uint8) segment.Mark {
	m := mark
	m.Budget, m.Priority = budget, priority
	return m
}

// Guards against an answer whose parts arrive out of order that does not count: the end of
// the flow overtakes the data, and the data without a status overtakes the rest. Then the
// target has no service time, and its failures are not seen (carpas-austro: 11 of 860
// answers counted).
func TestAnswerInAnyOrder(t *testing.T) {
	c := qt.New(t)
	end, part, status := segment.Head{Ended: true}, segment.Head{DataLength: 700}, segment.Head{DataLength: 1200}
	for _, order := range [][]segment.Head{{end, part, status}, {part, end, status}, {status, part, end}, {status, end, part}} {
		for _, outcome := range []Outcome{Succeeded, Failed} {
			tr := New("web")
			tr.SetSlots(4)
			openFlow(tr, ms, 1)
			resolved := 0
			for i, head := range order {
				o := NoOutcome
				if head == status {
					o = outcome
				}
				if a := tr.Answered(time.Duration(31+i)*ms, fromTarget(1, head), o); a.Resolved {
					resolved++
					c.Check(a.Waited, qt.Equals, 30*ms)
				}
			}
			c.Check(resolved, qt.Equals, 1)
			c.Check(tr.Pending(), qt.Equals, 0)
			if outcome == Succeeded {
				c.Check(tr.ServiceTime(), qt.Equals, 30*ms)
			} else {
				c.Check(tr.Failing(40*ms) > 0, qt.IsTrue)
			}
		}
	}
}

// Guards against a target whose service time is never learnt because its protocol has no
// status.
func TestServiceTimeWithoutStatus(t *testing.T) {
	c := qt.New(t)
	for _, last := range []segment.Head{
		{Source: callerAt(1), Destination: service, Ended: true},
		{Source: callerAt(1), Destination: service, Sequence: 100, DataLength: 50},
	} {
		tr := New("web")
		tr.SetSlots(4)
		openFlow(tr, ms, 1)
		tr.Answered(31*ms, fromTarget(1, segment.Head{DataLength: 500}), NoOutcome)
		c.Check(tr.ServiceTime(), qt.Equals, time.Duration(0))
		tr.Delivered(40*ms, last, mark, 0, nil)
		c.Check(tr.ServiceTime(), qt.Equals, 30*ms)
		c.Check(tr.Failing(40*ms), qt.Equals, 0.0)
	}
}

// Guards against a service time that includes the wait for a slot: the target would look
// slower the longer its queue is.
func TestServiceTimeExcludesTheWait(t *testing.T) {
	c := qt.New(t)
	tr := New("web")
	tr.SetSlots(1)
	for port := range uint16(5) {
		openFlow(tr, ms, port)
	}
	for port := range uint16(5) {
		tr.Answered(ms+time.Duration(port+1)*20*ms, fromTarget(port, segment.Head{DataLength: 500}), Succeeded)
	}
	c.Check(tr.ServiceTime(), qt.Equals, 20*ms)
}

// Guards against requests that count as load without end because their target lost them:
// the target gets too few requests, and its slots look taken.
func TestLostRequestsExpire(t *testing.T) {
	c := qt.New(t)
	tr := busyTracker(20)
	c.Check(tr.Pending(), qt.Equals, 20)
	tr.Tick(10*time.Second + pendingTimeoutFactor*defaultAnswerTimeout)
	c.Check(tr.Pending(), qt.Equals, 0)
	c.Check(tr.Admit(13*time.Second, opening(1), withBudget(150*ms, 0)), qt.Equals, Accepted)
}

// Guards against openings that a target takes although their answers will be late, and
// against a refusal of those that it can answer in time.
func TestAdmissionByTime(t *testing.T) {
	c := qt.New(t)
	for _, test := range []struct {
		pending uint16
		budget  time.Duration
		want    Refusal
	}{
		{3, 10 * ms, Accepted}, // a free slot is always given
		{8, 150 * ms, Accepted},
		{13, 150 * ms, Busy},
		{13, 600 * ms, Accepted},
		{7, 0, Accepted}, // no objective
	} {
		tr := busyTracker(test.pending)
		got := tr.Admit(10*time.Second+ms, opening(1), withBudget(test.budget, 0))
		c.Check(got, qt.Equals, test.want, qt.Commentf("%d pending, budget %v, expected wait %v", test.pending, test.budget, tr.ExpectedWait()))
	}
}

// Guards against late openings that take the place of those that can be in time, and
// against a refusal of late ones while a slot is free.
func TestLateOpenings(t *testing.T) {
	c := qt.New(t)
	late := mark
	late.Late = true
	c.Check(busyTracker(3).Admit(11*time.Second, opening(1), late), qt.Equals, Accepted)
	c.Check(busyTracker(4).Admit(11*time.Second, opening(1), late), qt.Equals, Busy)
}

// Guards against a refusal that says that the target does not hold a flow which it has
// accepted: the caller's flow may be open.
func TestCopyOfAcceptedOpeningIsNotRefused(t *testing.T) {
	c := qt.New(t)
	tr := busyTracker(14)
	late := mark
	late.Late = true
	c.Check(tr.Admit(11*time.Second, opening(1), late), qt.Equals, Busy)
	c.Check(tr.Admit(11*time.Second, opening(1003), late), qt.Equals, Accepted)
	tr.RefuseOpenings()
	c.Check(tr.Admit(11*time.Second, opening(1003), late), qt.Equals, Accepted)
	c.Check(tr.Admit(11*time.Second, opening(1), late), qt.Equals, Leaving)
}

// Guards against requests that a target sheds again and again because its queue is
// shorter than their budget.
func TestShedLimitIsLearnt(t *testing.T) {
	c := qt.New(t)
	tr := busyTracker(8)
	c.Check(tr.Admit(10*time.Second+ms, opening(1), withBudget(time.Second, 0)), qt.Equals, Accepted)
	tr.Answered(10*time.Second+ms, fromTarget(1007, segment.Head{DataLength: 200}), Failed)
	openFlow(tr, 10*time.Second+ms, 1100)
	c.Check(tr.Admit(10*time.Second+2*ms, opening(1), withBudget(time.Second, 0)), qt.Equals, Busy)
	c.Check(tr.Admit(15*time.Second, opening(1), withBudget(time.Second, 0)), qt.Equals, Accepted)
}

// Guards against a lower priority that keeps its share under overload, against a caller
// whose second try is admitted in place of another caller's first one, and against a
// priority that starves.
func TestLevelRanksByPriorityAndCaller(t *testing.T) {
	c := qt.New(t)
	l := newLevel()
	for range 100 {
		l.observe(ms, 1)
		l.observe(ms, 2)
	}
	l.admitted = 0.5
	counts := map[uint8]int{}
	for i := range 1000 {
		caller := segment.Endpoint{IP: [4]byte{100, 64, byte(i >> 8), byte(i)}}
		again := caller
		again.Port = 999
		for _, priority := range []uint8{1, 2} {
			excluded := l.excludes(priority, caller)
			c.Assert(l.excludes(priority, again), qt.Equals, excluded)
			if !excluded {
				counts[priority]++
			}
		}
	}
	c.Check(counts[1], qt.Equals, 1000)
	c.Check(counts[2] > 20 && counts[2] < 100, qt.IsTrue, qt.Commentf("%v", counts))
}

// Guards against a level that stays low after an overload, or does not fall in one.
func TestLevelFollowsTheWait(t *testing.T) {
	c := qt.New(t)
	l := newLevel()
	for range 500 {
		l.adjust(100*ms, 120*ms)
	}
	c.Check(l.admitted < 0.1, qt.IsTrue)
	for range 500 {
		l.adjust(10*ms, 120*ms)
	}
	c.Check(l.admitted, qt.Equals, 1.0)
}
