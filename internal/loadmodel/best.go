package loadmodel

import (
	"math"
	"time"
)

// Bound counts what a schedule that knows all requests in advance can reach at most.
type Bound struct {
	// Asked is the number of requests, InTime the number that can be answered within
	// the objective, Answered the number that can be answered before the timeout. They
	// come from different schedules.
	Asked, InTime, Answered int
	// worth is the bound of the sum of what the answers are worth.
	worth float64
}

// InTimeShare returns the highest share of requests answered within the objective.
func (b *Bound) InTimeShare() float64 { return b.share(float64(b.InTime)) }

// FailedShare returns the lowest share of requests without an answer before the timeout.
func (b *Bound) FailedShare() float64 { return b.share(float64(b.Asked - b.Answered)) }

// WorthShare returns the highest worth of the answers relative to answers within the
// objective.
func (b *Bound) WorthShare() float64 { return b.share(b.worth) }

func (b *Bound) share(part float64) float64 {
	if b.Asked == 0 {
		return 0
	}
	return part / float64(b.Asked)
}

func (b *Bound) merge(other Bound) {
	b.Asked += other.Asked
	b.InTime += other.InTime
	b.Answered += other.Answered
	b.worth += other.worth
}

// Best returns an upper bound of what any policy can reach with the requests of a
// configuration. It is computed from their times and work; nothing is simulated. The slots
// of all targets, at their speeds, form one server that divides requests at will, so that
// the bound ignores delays of the network, waits of callers for their next copy or try,
// work of requests that run twice or are lost with a target, the time that processes take
// to start after DownTo, and that a request runs in one slot, except that one whose work
// alone takes too long on the fastest target is not answered. Under overload it serves
// those with the least work. All classes have the longest objective and the longest
// timeout of any and the highest worth of a late answer; priorities do not count.
func Best(c Config) Bound {
	requests := arrivals(c)
	b := Bound{Asked: len(requests)}
	var objective, timeout time.Duration
	late := 0.0
	for _, class := range c.Classes {
		objective, timeout = max(objective, class.Objective), max(timeout, class.Timeout)
		late = max(late, class.LateWorth)
	}
	b.InTime = maxOnTime(c.jobs(requests, objective))
	b.Answered = maxOnTime(c.jobs(requests, timeout))
	// With n requests in time, the others answered are late.
	b.worth = (1-late)*float64(b.InTime) + late*float64(b.Answered)
	return b
}

// BestOfSeeds returns the sum of the bounds over seeds 1 to count.
func BestOfSeeds(p Pattern, count int, change func(*Config)) Bound {
	var sum Bound
	for seed := range count {
		c := p.Config(uint64(seed + 1))
		if change != nil {
			change(&c)
		}
		sum.merge(Best(c))
	}
	return sum
}

// arrivals returns the requests of a run in order of time.
func arrivals(c Config) []*request {
	m := newModel(c)
	var requests []*request
	m.begin = func(r *request) { requests = append(requests, r) }
	for i := range c.Classes {
		m.scheduleArrival(i)
	}
	m.runEvents()
	return requests
}

// job is a request on a server of speed 1. Release and due are positions on the server's
// clock, which counts the work that it can do.
type job struct{ release, due, work float64 }

// jobs returns the requests with a common time to their deadline. They are in order of
// release and of due. Requests that no target can finish in that time are left out.
func (c *Config) jobs(requests []*request, patience time.Duration) []job {
	fastest := 0.0
	for _, t := range c.Targets {
		fastest = max(fastest, t.Speed)
	}
	clock := c.workClock(patience)
	var jobs []job
	for _, r := range requests {
		began := r.began - time.Second
		release := began
		if c.DownTo > 0 && began >= c.DownFrom && began < c.DownTo {
			release = c.DownTo
		}
		j := job{clock(release), clock(began + patience), r.work.Seconds()}
		if float64(r.work) <= fastest*float64(patience) && j.release+j.work <= j.due {
			jobs = append(jobs, j)
		}
	}
	return jobs
}

// workClock returns the function from a time to the work that all slots can have done until
// then, in seconds of a target of speed 1. Requests that began before their zone was emptied
// may occupy its targets for their patience.
func (c *Config) workClock(patience time.Duration) func(time.Duration) float64 {
	// Each target works at constant rates in spans of time.
	type span struct {
		from, to time.Duration
		rate     float64
	}
	var spans []span
	const forever = time.Duration(math.MaxInt64)
	for i, t := range c.Targets {
		rate := float64(t.Slots) * t.Speed
		end := forever
		if c.EmptiedZone >= 0 && i%c.Zones == c.EmptiedZone {
			end = c.EmptiedAt + patience
		}
		spans = append(spans, span{0, min(end, t.ColdUntil), rate / ColdFactor})
		if !c.TargetsDown {
			spans = append(spans, span{t.ColdUntil, end, rate})
			continue
		}
		warm := c.DownTo + c.ColdAfterReturn
		spans = append(spans, span{t.ColdUntil, min(end, c.DownFrom), rate},
			span{c.DownTo, min(end, warm), rate / ColdFactor}, span{warm, end, rate})
	}
	return func(at time.Duration) float64 {
		sum := 0.0
		for _, s := range spans {
			if to := min(at, s.to); to > s.from {
				sum += s.rate * (to - s.from).Seconds()
			}
		}
		return sum
	}
}

// maxOnTime returns the largest number of jobs that one server can finish when due. Each of
// them can be finished alone. They are in order of release and of due, so that a schedule in this order finishes any set that can
// be finished; whenever the last job would be late, the one without which the others end
// earliest is dropped (Kise, Ibaraki and Mine, "A Solvable Case of the One-Machine Scheduling
// Problem with Ready and Due Times", Operations Research 26, 1978).
func maxOnTime(jobs []job) int {
	type placed struct{ start, release, work float64 }
	// busy holds the jobs since the server was last idle: dropping earlier ones gains
	// nothing for later ones.
	var busy []placed
	kept, end := 0, 0.0
	for _, j := range jobs {
		if end <= j.release {
			kept += len(busy)
			busy, end = busy[:0], j.release
		}
		busy = append(busy, placed{end, j.release, j.work})
		end += j.work
		if end <= j.due {
			continue
		}
		// The jobs after a dropped one start earlier by its work, but not before their
		// release.
		dropped, gain, slack := 0, 0.0, math.Inf(1)
		for i := len(busy) - 1; i >= 0 && slack > gain; i-- {
			if g := min(busy[i].work, slack); g > gain {
				dropped, gain = i, g
			}
			slack = min(slack, busy[i].start-busy[i].release)
		}
		shift := busy[dropped].work
		busy = append(busy[:dropped], busy[dropped+1:]...)
		for i := dropped; i < len(busy); i++ {
			shift = min(shift, busy[i].start-busy[i].release)
			busy[i].start -= shift
		}
		end -= shift
	}
	return kept + len(busy)
}
