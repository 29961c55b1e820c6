package loadmodel

import (
	"math/rand/v2"
	"testing"

	qt "github.com/frankban/quicktest"
)

// Guards against a bound that a run exceeds, so that it would hide what is left to gain.
func TestNoRunExceedsTheBound(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	for _, p := range Patterns() {
		r, best := RunSeeds(p, 1, nil), BestOfSeeds(p, 1, nil)
		total := r.Total()
		c.Check(best.Asked, qt.Equals, total.Asked, qt.Commentf("%s", p.Name))
		c.Check(total.InTime <= best.InTime, qt.IsTrue, qt.Commentf("%s: %d in time, at most %d", p.Name, total.InTime, best.InTime))
		c.Check(total.FailedShare() >= best.FailedShare(), qt.IsTrue, qt.Commentf("%s: %+v %+v", p.Name, total, best))
		c.Check(total.WorthShare() <= best.WorthShare(), qt.IsTrue, qt.Commentf("%s: %+v %+v", p.Name, total, best))
	}
}

// Guards against a bound that is not the optimum of the single server: all subsets of few
// jobs are tried.
func TestMaxOnTimeIsTheOptimum(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	random := rand.New(rand.NewPCG(1, 0))
	for range 3000 {
		var jobs []job
		release, due := 0.0, 0.0
		for range random.IntN(9) {
			work := 1 + float64(random.IntN(5))
			release += float64(random.IntN(4))
			due = max(due, release+work) + float64(random.IntN(4))
			jobs = append(jobs, job{release, due, work})
		}
		most := 0
		for set := range 1 << len(jobs) {
			count, end := 0, 0.0
			for i, j := range jobs {
				if set&(1<<i) == 0 {
					continue
				}
				end = max(end, j.release) + j.work
				if end > j.due {
					count = -len(jobs)
				}
				count++
			}
			most = max(most, count)
		}
		c.Assert(maxOnTime(jobs), qt.Equals, most, qt.Commentf("%+v", jobs))
	}
}
