package occupancy

import (
	"math"
	"time"

	"github.com/peridotstall/peridotstall/internal/segment"
)

const (
	// targetWaitShare is the share of an opening's longest wait above which the level
	// falls. Requests vary, so that a longer queue makes some answers late.
	targetWaitShare = 0.55
	// levelDecrease is the share by which an opening that would wait too long lowers the
	// level, levelIncrease the amount by which any other one raises it.
	levelDecrease, levelIncrease = 0.02, 0.005
	// minLevel keeps the highest priority in use whatever the load.
	minLevel = 0.02
	// protectedShare is the share of the callers of each priority that are ranked with
	// the highest one, so that no priority starves.
	protectedShare = 0.05
	// demandWindow is the time constant of the demand for each priority.
	demandWindow = 2 * time.Second
)

// level limits admission under overload as DAGOR does (Zhou et al., "Overload Control for
// Scaling WeChat Microservices", SoCC 2018). Openings are ranked by priority, then by
// caller, and those above the level find the queue full at a shorter wait. A caller's
// further tries fare like its first one, so that no slot goes to tries whose objective
// passed during earlier ones.
type level struct {
	// admitted is the share of the demand that is taken, from minLevel to 1.
	admitted float64
	// demand is the decayed number of openings of each priority.
	demand  [segment.MaxPriority + 1]float64
	updated time.Duration
	period  segment.RankPeriod
}

func newLevel() level { return level{admitted: 1} }

// observe adds an opening to the demand.
func (l *level) observe(now time.Duration, priority uint8) {
	if elapsed := now - l.updated; elapsed > 0 {
		decay := math.Exp(-float64(elapsed) / float64(demandWindow))
		for i := range l.demand {
			l.demand[i] *= decay
		}
		l.updated = now
	}
	l.demand[priority]++
}

// adjust moves the level according to the expected wait of an opening and the longest one
// with which its answer is still in time.
func (l *level) adjust(wait, longest time.Duration) {
	if float64(wait) > targetWaitShare*float64(longest) {
		l.admitted = max(minLevel, l.admitted*(1-levelDecrease))
	} else {
		l.admitted = min(1, l.admitted+levelIncrease)
	}
}

// excludes reports whether an opening ranks above the level.
func (l *level) excludes(priority uint8, caller segment.Endpoint) bool {
	return caller.Rank(l.period) >= l.excludedRank(priority)
}

// excludedRank returns the lowest rank of callers from which openings of a priority rank
// above the level, from 0 to 1; 1 if none does.
func (l *level) excludedRank(priority uint8) float64 {
	total, above := 0.0, 0.0
	for i, d := range l.demand {
		total += d
		if i < int(priority) {
			above += d
		}
	}
	if l.demand[priority] == 0 {
		return 1
	}
	return min(1, max(protectedShare, (l.admitted*total-above)/l.demand[priority]))
}

// SetPeriod sets the period for which callers are ranked.
func (t *Tracker) SetPeriod(period segment.RankPeriod) { t.level.period = period }

// ExcludedRanks returns, for each priority, the lowest rank of callers whose openings the
// admission level excludes, from 0 to 1; 1 if it excludes none.
func (t *Tracker) ExcludedRanks() (ranks [segment.MaxPriority + 1]float64) {
	for i := range ranks {
		ranks[i] = t.level.excludedRank(uint8(i))
	}
	return ranks
}

// observeDemand adjusts the level to an opening.
func (t *Tracker) observeDemand(now time.Duration, mark segment.Mark) {
	t.level.observe(now, mark.Priority)
	if t.work.slots > 0 && mark.Budget > 0 {
		t.level.adjust(t.waits(mark.Budget))
	}
}
