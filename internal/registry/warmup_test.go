package registry

import (
	"math"
	"net/netip"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// coldTarget returns an entry of an incarnation, by its number.
func coldTarget(id string, born int64, sequence uint64, left time.Duration) Target {
	return Target{
		ID: id, Born: born, Sequence: sequence, Service: "web", Slots: 1, Address: netip.MustParseAddrPort("10.0.0.1:80"),
		Cold: left > 0, WarmupLeft: left,
	}
}

// Guards against the time of an entry that begins anew with each table, or with a peer that
// passes it on, against an earlier entry that makes a warm target cold, and against a target
// that is cold again after it had no work and is taken for a warm one.
func TestWarmupOfAnEntryAges(t *testing.T) {
	c := qt.New(t)
	r := New()
	at := func(seconds float64) time.Duration { return time.Minute + time.Duration(seconds*float64(time.Second)) }
	revision := uint64(0)
	accept := func(seconds float64, targets ...Target) {
		revision++
		c.Assert(r.AcceptTable(at(seconds), Table{Revision: revision, Targets: targets}), qt.IsTrue)
	}
	left := func(seconds float64) time.Duration {
		t := r.WarmupsLeft(at(seconds), r.Table().Targets)[0]
		c.Check(t.Cold, qt.Equals, t.WarmupLeft > 0)
		return t.WarmupLeft
	}
	accept(0, coldTarget("a", 1, 1, 2*time.Second))
	c.Check(left(0.5), qt.Equals, 1500*time.Millisecond)
	accept(1, r.Table().Apply(nil, 0).Targets...)
	c.Check(left(1), qt.Equals, time.Second)
	c.Check(r.TableToSend(at(1.5)).Targets[0].WarmupLeft, qt.Equals, 500*time.Millisecond)
	accept(1.6, coldTarget("a", 1, 2, 100*time.Millisecond))
	c.Check(left(1.6), qt.Equals, 100*time.Millisecond)
	c.Check(left(3), qt.Equals, time.Duration(0))
	accept(4, coldTarget("a", 1, 1, 2*time.Second))
	c.Check(left(4), qt.Equals, time.Duration(0), qt.Commentf("an earlier entry"))
	accept(4, coldTarget("a", 1, 2, 100*time.Millisecond))
	c.Check(left(4), qt.Equals, time.Duration(0), qt.Commentf("the same entry"))
	accept(5, coldTarget("a", 1, 9, 2*time.Second))
	c.Check(left(5), qt.Equals, 2*time.Second, qt.Commentf("cold again"))
	accept(6, coldTarget("a", 2, 1, 2*time.Second))
	c.Check(left(6), qt.Equals, 2*time.Second, qt.Commentf("the next incarnation under the same ID"))
	accept(11, coldTarget("c", 0, 5, time.Second))
	accept(13, coldTarget("c", 0, 4, time.Second))
	c.Check(left(13), qt.Equals, time.Second, qt.Commentf("without a start each entry is believed"))
	for born := range int64(2 * maxFormerWarmups) {
		accept(14, coldTarget("d", 1+born, 1, time.Second))
	}
	r.Tick(at(20))
	c.Check(len(r.warmUntil) <= maxFormerWarmups+1, qt.IsTrue)
}

// Guards against a restored store that makes warm targets cold, because its copy is from the
// time of their start.
func TestRestoredEntryDoesNotMakeATargetCold(t *testing.T) {
	c := qt.New(t)
	r := New()
	accept := func(now time.Duration, epoch, revision, sequence uint64, left time.Duration) bool {
		r.AcceptTable(now, Table{Epoch: epoch, Revision: revision, Targets: []Target{coldTarget("a", 1, sequence, left)}})
		return r.WarmupsLeft(now, r.Table().Targets)[0].Cold
	}
	c.Check(accept(time.Minute, 0, 9, 8, 0), qt.IsFalse)
	c.Check(accept(time.Minute, 1, 2, 3, time.Second), qt.IsFalse)
	c.Check(accept(time.Minute+time.Second, 1, 3, 4, time.Second), qt.IsFalse)
	c.Check(accept(time.Minute+time.Second, 1, 4, 9, time.Second), qt.IsTrue, qt.Commentf("a later entry"))
}

// Guards against limits and times of a peer that cannot be applied.
func TestUnusableWarmups(t *testing.T) {
	c := qt.New(t)
	reported := 0
	usable := Routes{Warmups: map[string]Warmup{
		"a": {Rate: 2, Duration: time.Second}, "b": {Rate: math.NaN()}, "c": {Rate: -1}, "d": {Rate: math.Inf(1)}, "e": {Duration: -1},
	}}.Usable(func(Unusable) { reported++ })
	c.Check(usable.Warmups, qt.DeepEquals, map[string]Warmup{"a": {Rate: 2, Duration: time.Second}})
	c.Check(reported, qt.Equals, 4)
	for _, left := range []time.Duration{-1, MaxWarmup + 1} {
		target := coldTarget("a", 1, 1, left)
		c.Check(target.Validate(), qt.ErrorMatches, "time until it is warm .*")
	}
}
