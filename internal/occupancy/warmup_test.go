package occupancy

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/peridotstall/peridotstall/internal/segment"
	"github.com/peridotstall/peridotstall/internal/warmup"
)

// coldTracker returns a tracker of a target that takes some requests per second for a
// minute from coldStart on.
func coldTracker(rate float64) *Tracker {
	t := New("web")
	t.SetWarmup(warmup.New(0, warmup.Tolerance{}))
	t.Warmup().Describe(coldStart, warmup.Description{Version: 1, Rate: rate, Born: 1, Left: time.Minute})
	return t
}

const coldStart = 10 * time.Second

// admit delivers an opening if it is admitted.
func admit(t *Tracker, now time.Duration, head segment.Head) Refusal {
	refusal := t.Admit(now, head, mark)
	if refusal == Accepted {
		t.Delivered(now, head, mark, 0, nil)
	}
	return refusal
}

// Guards against openings beyond the rate, and against a copy of an opening that is counted
// again or refused although the target may have the flow.
func TestColdTargetTakesItsRate(t *testing.T) {
	c := qt.New(t)
	tr := coldTracker(2)
	copyOf := func(port uint16, n uint32) segment.Head {
		head := opening(port)
		head.Copy = n
		return head
	}
	c.Check(admit(tr, coldStart, opening(1)), qt.Equals, Accepted)
	c.Check(admit(tr, coldStart, opening(2)), qt.Equals, Accepted)
	tr.Answered(coldStart+ms, fromTarget(1, segment.Head{Opening: true, Accepted: true}), NoOutcome)
	c.Check(admit(tr, coldStart+2*ms, opening(3)), qt.Equals, WarmingUp)
	c.Check(admit(tr, coldStart+200*ms, copyOf(1, 1)), qt.Equals, Accepted, qt.Commentf("accepted by the target"))
	c.Check(admit(tr, coldStart+200*ms, copyOf(2, 1)), qt.Equals, Accepted, qt.Commentf("counted, not accepted yet"))
	c.Check(admit(tr, coldStart+200*ms, copyOf(3, 1)), qt.Equals, WarmingUp)
	tr.Delivered(coldStart+300*ms, request(1), mark, 0, nil)
	tr.Answered(coldStart+340*ms, fromTarget(1, segment.Head{DataLength: 500}), Succeeded)
	c.Check(admit(tr, coldStart+1100*ms, opening(4)), qt.Equals, Accepted, qt.Commentf("the opening of 2 is a second old"))
	tr.Answered(coldStart+1101*ms, fromTarget(4, segment.Head{Opening: true, Accepted: true}), NoOutcome)
	c.Check(admit(tr, coldStart+1100*ms, opening(5)), qt.Equals, WarmingUp, qt.Commentf("the request of 1 is not"))
	c.Check(admit(tr, coldStart+1301*ms, opening(5)), qt.Equals, Accepted)
	c.Check(tr.Warmup().Phase().Refused, qt.Equals, uint64(3))
}

// Guards against openings of long flows beside their requests, which nothing can refuse.
func TestRequestsOfLongFlowsCount(t *testing.T) {
	c := qt.New(t)
	tr := coldTracker(3)
	now := coldStart
	c.Assert(admit(tr, now, opening(1)), qt.Equals, Accepted)
	tr.Answered(now, fromTarget(1, segment.Head{Opening: true, Accepted: true}), NoOutcome)
	head := request(1)
	for range 3 {
		now += 100 * ms
		tr.Delivered(now, head, mark, 0, nil)
		tr.Answered(now+50*ms, fromTarget(1, segment.Head{DataLength: 500}), Succeeded)
		head.Sequence = head.DataEnd()
	}
	c.Check(admit(tr, now+ms, opening(2)), qt.Equals, WarmingUp)
	c.Check(tr.Warmup().Phase().Further, qt.Equals, uint64(2))
	retransmitted := head
	retransmitted.Sequence -= uint32(head.DataLength)
	tr.Delivered(now+60*ms, retransmitted, mark, 0, nil)
	c.Check(tr.Warmup().Phase().Further, qt.Equals, uint64(2))
}

// Guards against an opening that reaches a cold target before its agent knows the rate.
func TestUndescribedTargetRefusesMarkedOpenings(t *testing.T) {
	c := qt.New(t)
	tr := New("web")
	tr.SetWarmup(warmup.New(0, warmup.Tolerance{}))
	marked := mark
	marked.Cold = true
	c.Check(tr.Admit(coldStart, opening(1), marked), qt.Equals, WarmingUp)
	c.Check(tr.Admit(coldStart, opening(1), mark), qt.Equals, Accepted)
	tr.Warmup().Describe(coldStart, warmup.Description{Version: 1, Rate: 1, Born: 1})
	c.Check(admit(tr, coldStart, opening(1)), qt.Equals, Accepted, qt.Commentf("warm"))
	c.Check(tr.Admit(coldStart, opening(2), marked), qt.Equals, WarmingUp, qt.Commentf("a new incarnation that is not described yet"))
}

// Guards against refusals for the warm-up in place of those that say more, and against a
// window that counts openings which do not reach the target.
func TestOtherRefusalsDoNotCount(t *testing.T) {
	c := qt.New(t)
	tr := coldTracker(1)
	wrong := mark
	wrong.Tag++
	c.Check(tr.Admit(coldStart, opening(1), wrong), qt.Equals, WrongService)
	tr.RefuseOpenings()
	c.Check(admit(tr, coldStart, opening(1)), qt.Equals, Leaving)
	credit, _ := tr.Warmup().Credit(coldStart)
	c.Check(credit, qt.Equals, 1)
}

// Guards against a target that crashes and starts again at its address, and that takes
// openings without a limit until its agent hears of the new incarnation (soak, seed 1: 20 in
// 149 ms, limit 8).
func TestTargetThatMayHaveStartedAgain(t *testing.T) {
	for name, sign := range map[string]func(tr *Tracker){
		"answers again": func(tr *Tracker) {
			tr.Delivered(10*time.Second, opening(1), mark, 0, nil)
			tr.Answered(10*time.Second+400*ms, fromTarget(1, segment.Head{Opening: true, Accepted: true}), NoOutcome)
		},
		"returns a flow that it held": func(tr *Tracker) {
			openFlow(tr, 10*time.Second, 1)
			tr.Answered(10*time.Second+10*ms, fromTarget(1, segment.Head{DataLength: 10}), Succeeded)
			tr.Returned(10*time.Second+400*ms, request(1))
		},
	} {
		c := qt.New(t)
		tr := New("web")
		l := warmup.New(0, warmup.Tolerance{})
		l.Describe(time.Second, warmup.Description{Version: 1, Rate: 4, Born: 1, Sequence: 1})
		tr.SetWarmup(l)
		c.Check(l.Cold(9*time.Second), qt.IsFalse)
		sign(tr)
		now := 10*time.Second + 401*ms
		taken := 0
		for port := range uint16(50) {
			if tr.Admit(now, opening(100+port), mark) == Accepted {
				taken++
			}
		}
		c.Check(taken <= 4, qt.IsTrue, qt.Commentf("%s: %d taken", name, taken))
		c.Check(l.Cold(now+2*time.Second), qt.IsFalse, qt.Commentf("it had not started again"))
		l.Describe(now, warmup.Description{Version: 1, Rate: 4, Born: 2, Sequence: 1, Left: 100 * ms})
		c.Check(l.Cold(now+200*ms), qt.IsFalse, qt.Commentf("the new incarnation is warm"))
	}
}
