package steering

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/peridotstall/peridotstall/internal/registry"
	"github.com/peridotstall/peridotstall/internal/segment"
)

const warmupTime = 2 * time.Second

// newWarmupFixture returns a fixture whose service has a rate, and whose first targets are
// cold.
func newWarmupFixture(t *testing.T, count, cold int) *fixture {
	f := newFixture(t, count)
	for i := range cold {
		f.targets[i].Born, f.targets[i].Cold, f.targets[i].WarmupLeft = 2, true, warmupTime
	}
	f.setView(warmupRoutes(2, 4), 2)
	return f
}

func warmupRoutes(version uint64, rate float64) registry.Routes {
	r := routes(version, "web")
	r.Warmups = map[string]registry.Warmup{"web": {Duration: warmupTime, Rate: rate}}
	return r
}

// reportCredit sends reports of the targets: the credit of cold ones, 0 for unknown.
func (f *fixture) reportCredit(raw uint32) {
	for _, t := range f.engine.View().Targets() {
		r := Report{Complete: true}
		if t.Cold(f.now) {
			r.WarmupCredit = raw
		}
		t.Report(f.now, r)
	}
}

// open places the opening of a flow.
func (f *fixture) open(i int) (*Target, bool) {
	v := f.engine.Segment(f.now, opening(i, 0))
	f.c.Assert(v.Action, qt.Equals, Forward)
	t := v.Targets()[0]
	return t, segment.UnpackOpening(v.Mark(t)).Cold
}

// Guards against openings for cold targets beyond their credit while others can be used.
func TestColdTargetIsPassedOverWithoutCredit(t *testing.T) {
	f := newWarmupFixture(t, 6, 3)
	f.reportCredit(3)
	given := make(map[*Target]int)
	for i := range 300 {
		target, marked := f.open(i)
		f.c.Check(marked, qt.Equals, target.Cold(f.now))
		given[target]++
	}
	used := 0
	for target, count := range given {
		if target.Cold(f.now) {
			used++
			f.c.Check(count, qt.Equals, 2, qt.Commentf("target %s", target.Info.ID))
		}
	}
	f.c.Check(used, qt.Equals, 3)
	f.reportCredit(1)
	for i := range 100 {
		target, _ := f.open(1000 + i)
		f.c.Check(target.Cold(f.now), qt.IsFalse)
	}
	f.now += warmupTime
	f.reportIdle()
	warm := 0
	for i := range 100 {
		if target, marked := f.open(2000 + i); given[target] == 2 {
			warm++
			f.c.Check(marked, qt.IsFalse)
		}
	}
	f.c.Check(warm > 0, qt.IsTrue, qt.Commentf("they became warm without a new entry"))
}

// Guards against a limit on the targets of a service without a rate.
func TestNoRateIsNoLimit(t *testing.T) {
	f := newWarmupFixture(t, 2, 2)
	f.setView(warmupRoutes(3, 0), 2)
	f.reportCredit(1)
	for i := range 50 {
		target, marked := f.open(i)
		f.c.Check(target.Cold(f.now), qt.IsTrue)
		f.c.Check(marked, qt.IsFalse)
		f.c.Check(target.WarmupUnknown(f.now), qt.IsFalse)
	}
}

// Guards against an opening that goes round among cold targets without credit, against a
// reset while the caller would still repeat it, and against refusals for the warm-up that
// count as those of busy targets.
func TestAllTargetsCold(t *testing.T) {
	f := newWarmupFixture(t, 8, 8)
	f.reportCredit(1)
	v := f.engine.Segment(f.now, opening(1, 0))
	f.c.Assert(v.Action, qt.Equals, Forward, qt.Commentf("the window of the agent may have room by now"))
	v = f.returnOpening(v, opening(1, 0), false)
	f.c.Check(v.Action, qt.Equals, Drop)
	f.c.Check(v.Reason, qt.Equals, WarmingUp)
	f.now += 200 * time.Millisecond
	v = f.engine.Segment(f.now, opening(1, 1))
	f.c.Assert(v.Action, qt.Equals, Forward)
	v = f.returnOpening(v, opening(1, 1), false)
	f.c.Check(v.Action, qt.Equals, Reset)
	f.c.Check(v.Reason, qt.Equals, WarmingUp)

	// With credit it is passed on to each target once.
	f.reportCredit(2)
	v = f.engine.Segment(f.now, opening(2, 0))
	for range 7 {
		v = f.returnOpening(v, opening(2, 0), false)
		f.c.Assert(v.Action, qt.Equals, Forward)
		f.c.Check(v.Reason, qt.Equals, Retried)
	}
	v = f.returnOpening(v, opening(2, 0), false)
	f.c.Check(v.Action, qt.Equals, Reset)
	f.c.Check(v.Reason, qt.Equals, Refused)
}

// Guards against a target that refused because of its limit and gets the next openings
// nevertheless until its next report.
func TestRefusalUsesUpTheCredit(t *testing.T) {
	f := newWarmupFixture(t, 4, 1)
	f.reportCredit(0)
	cold := f.targetOf(0)
	f.c.Check(cold.WarmupUnknown(f.now), qt.IsTrue)
	f.c.Check(cold.hasCredit(f.now), qt.IsTrue, qt.Commentf("the agent decides on marked openings"))
	head := opening(1, 0)
	head.Returned, head.Mark = true, segment.Mark{Tag: cold.Tag}.Pack()
	f.engine.Returned(f.now, cold.Agent.Addr(), head)
	f.c.Check(cold.hasCredit(f.now), qt.IsFalse)
	f.reportCredit(2)
	f.c.Check(cold.hasCredit(f.now), qt.IsTrue)
	f.c.Check(cold.WarmupUnknown(f.now), qt.IsFalse)
}

// Guards against a warm-up that lasts longer than the configuration says, because an entry
// names an odd time, and against one that begins again with each view.
func TestWarmupEnds(t *testing.T) {
	f := newFixture(t, 3)
	for i := range 2 {
		f.targets[i].ID, f.targets[i].Sequence = "next"+f.targets[i].ID, 1
		f.targets[i].Cold, f.targets[i].WarmupLeft = true, time.Hour
	}
	f.targets[1].Born = 0
	f.setView(warmupRoutes(3, 0.0001), 3)
	cold, unborn := f.targetOf(0), f.targetOf(1)
	f.c.Check(cold.WarmupLeft(f.now), qt.Equals, warmupTime)
	f.c.Check(cold.WarmupRateMilli(), qt.Equals, uint64(1), qt.Commentf("not without a limit"))
	f.c.Check(f.targetOf(2).Cold(f.now), qt.IsFalse)
	f.now += warmupTime / 2
	f.setView(warmupRoutes(3, 0.0001), 4)
	f.c.Check(cold.WarmupLeft(f.now), qt.Equals, warmupTime/2)
	f.c.Check(unborn.WarmupLeft(f.now), qt.Equals, warmupTime, qt.Commentf("without a start each entry is believed"))
	f.now += warmupTime / 2
	f.c.Check(cold.Cold(f.now), qt.IsFalse)
	f.setView(warmupRoutes(3, 0.0001), 5)
	f.c.Check(cold.Cold(f.now), qt.IsFalse)
	f.targets[0].Sequence = 2
	f.setView(warmupRoutes(3, 0.0001), 6)
	f.c.Check(cold.WarmupLeft(f.now), qt.Equals, warmupTime, qt.Commentf("cold again by a later entry"))
	f.c.Check(cold.WarmupSequence(), qt.Equals, uint64(2))
}

// Guards against a target that does not respond, or whose agent has not reported, and that
// is preferred to cold targets without credit.
func TestColdTargetIsPreferredToOneThatIsAvoided(t *testing.T) {
	f := newWarmupFixture(t, 4, 2)
	f.reportCredit(1)
	for i := 2; i < 4; i++ {
		f.targetOf(i).Report(f.now, Report{Unresponsive: true})
	}
	for i := range 20 {
		target, _ := f.open(i)
		f.c.Check(target.Cold(f.now), qt.IsTrue)
	}
}
