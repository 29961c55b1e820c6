package loadmodel

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// maxFailedShare is the share of requests that callers accept to fail while targets can serve
// all within their timeout.
const maxFailedShare = 0.002

// Guards against requests that are refused or given up in the first second after a loss of
// power of all hosts, although a third of the capacity is enough for all that arrive and the
// backlog fits before their timeout.
func TestReturnOfAllCallers(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	r := run(c, "all-return-at-once", nil)
	total := r.Total()
	c.Check(total.FailedShare() <= maxFailedShare, qt.IsTrue, qt.Commentf("failed %.4f: %+v", total.FailedShare(), total))
}

// Guards against targets that run requests whose callers have gone after a loss of power,
// while they are cold and requests that can still be answered wait.
func TestReturnToColdTargets(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	p, _ := Named("all-return-cold")
	best := BestOfSeeds(p, seeds, nil)
	r := run(c, "all-return-cold", nil)
	total := r.Total()
	c.Check(total.WorthShare() >= 0.85*best.WorthShare(), qt.IsTrue, qt.Commentf("worth %.3f of %.3f, failed %.4f", total.WorthShare(), best.WorthShare(), total.FailedShare()))
}

// Guards against estimates learnt in the trough of a wave that refuse requests at its crests:
// no more are late or fail there than at a constant rate of the same height, but for the share
// that callers accept.
func TestCrestOfAWave(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	r := run(c, "wave", nil)
	constant := run(c, "wave", func(config *Config) {
		config.scale(config.Wave.High)
		config.Wave = Wave{}
	})
	period := config(c, "wave").Wave.Period
	crest := (period / 4).Truncate(windowLength)
	var crests Window
	for from := crest; from < config(c, "wave").Duration; from += period {
		crests.add(r.between(from, from+windowLength))
	}
	total, whole := r.Total(), constant.Total()
	failed, inTime := float64(crests.Failed)/float64(crests.Asked), float64(crests.InTime)/float64(crests.Asked)
	c.Check(failed <= whole.FailedShare()+maxFailedShare, qt.IsTrue, qt.Commentf("failed %.4f, %.4f at a constant rate", failed, whole.FailedShare()))
	c.Check(inTime >= whole.InTimeShare()-maxFailedShare, qt.IsTrue, qt.Commentf("in time %.3f, %.3f at a constant rate", inTime, whole.InTimeShare()))
	c.Check(total.FailedShare() <= maxFailedShare, qt.IsTrue, qt.Commentf("failed %.4f: %+v", total.FailedShare(), total))
}

// Guards against slow targets and slots with a long request that get as many requests as
// the others, below capacity.
func TestUnevenTargetsWithTail(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	r := run(c, "uneven-tail", nil)
	total := r.Total()
	c.Check(total.InTimeShare() >= 0.95, qt.IsTrue, qt.Commentf("in time %.3f: %+v", total.InTimeShare(), total))
	c.Check(total.FailedShare() <= maxFailedShare, qt.IsTrue, qt.Commentf("failed %.4f: %+v", total.FailedShare(), total))
}

// Guards against a surge of one kind that makes the other kinds late at the targets that they
// share, whatever their priority.
func TestSurgeOfOneKind(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	surge := run(c, "surge-of-one-kind", nil)
	alone := run(c, "surge-of-one-kind", func(config *Config) { config.Surges = nil })
	for _, name := range []string{Read, Write} {
		with, without := surge.Class(name), alone.Class(name)
		c.Check(with.InTimeShare() >= 0.95*without.InTimeShare(), qt.IsTrue, qt.Commentf("%s: in time %.3f, %.3f without the surge", name, with.InTimeShare(), without.InTimeShare()))
		c.Check(with.FailedShare() <= maxFailedShare, qt.IsTrue, qt.Commentf("%s: failed %.4f", name, with.FailedShare()))
	}
}

// Guards against requests that fail for an emptied zone although the other zones can serve
// all of them.
func TestZoneEmptied(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	emptiedAt := config(c, "zone-emptied").EmptiedAt
	r := run(c, "zone-emptied", nil)
	total, write := r.Total(), r.Class(Write)
	during := r.InTimeBetween(emptiedAt, config(c, "zone-emptied").Duration)
	c.Check(during >= 0.9, qt.IsTrue, qt.Commentf("in time %.3f", during))
	c.Check(write.InTimeShare() >= 0.95, qt.IsTrue, qt.Commentf("%+v", write))
	c.Check(total.FailedShare() <= maxFailedShare, qt.IsTrue, qt.Commentf("failed %.4f: %+v", total.FailedShare(), total))
}

// Guards against a loss of power after which a target still ends requests of its earlier
// incarnation, or frees slots of the next one for them.
func TestPowerLossEndsRequests(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	m := newModel(config(c, "all-return-at-once"))
	lost := &target{model: m, Target: Target{Speed: 1, Slots: 1, Queue: 1}}
	m.targets = []*target{lost}
	m.after(0, func() {
		lost.start(&try{request: &request{work: time.Second}})
		lost.queue = append(lost.queue, &try{request: &request{work: time.Second}})
		lost.lose()
		lost.running = 1
	})
	m.runEvents()
	c.Check(lost.running, qt.Equals, 1)
	c.Check(lost.queue, qt.HasLen, 0)
}
