package loadmodel

import "time"

// ClassResult counts what became of the requests of a class.
type ClassResult struct {
	Name  string
	Asked int
	// InTime were answered within the objective, Late after it.
	InTime, Late int
	// LateWorth is the sum of what the late answers are worth; see Class.LateWorth.
	LateWorth float64
	// RefusedAtOnce ended without an answer within the objective, RefusedLate after it.
	RefusedAtOnce, RefusedLate int
}

// windowLength is the length of the windows of a result.
const windowLength = time.Second

// Window counts the requests that began in a window.
type Window struct{ Asked, InTime, Failed int }

// Result is what became of the requests of a run.
type Result struct {
	Classes []ClassResult
	Windows []Window
	// Openings counts the openings that callers sent, Forwards the targets that they were
	// sent to, Resets those that balancers ended.
	Openings, Forwards, Resets int
	// Shed counts the requests that targets shed.
	Shed int
}

// record counts a request that ended, with an answer or without one, in the window of its
// start.
func (r *Result) record(began time.Duration, inTime, answered bool) {
	i := int(max(began, 0) / windowLength)
	for len(r.Windows) <= i {
		r.Windows = append(r.Windows, Window{})
	}
	r.Windows[i].Asked++
	if inTime {
		r.Windows[i].InTime++
	}
	if !answered {
		r.Windows[i].Failed++
	}
}

// Class returns the result of a class; the zero value if there is none.
func (r *Result) Class(name string) ClassResult {
	for _, c := range r.Classes {
		if c.Name == name {
			return c
		}
	}
	return ClassResult{}
}

// Total returns the sum over all classes.
func (r *Result) Total() ClassResult {
	total := ClassResult{Name: "all"}
	for _, c := range r.Classes {
		total.add(c)
	}
	return total
}

func (c *ClassResult) add(other ClassResult) {
	c.Asked += other.Asked
	c.InTime += other.InTime
	c.Late += other.Late
	c.LateWorth += other.LateWorth
	c.RefusedAtOnce += other.RefusedAtOnce
	c.RefusedLate += other.RefusedLate
}

// Failed returns the number of requests without an answer before their timeout.
func (c *ClassResult) Failed() int { return c.RefusedAtOnce + c.RefusedLate }

// FailedShare returns the share of requests without an answer before their timeout.
func (c *ClassResult) FailedShare() float64 { return c.share(c.Failed()) }

// AnsweredShare returns the share of requests that were answered before their timeout.
func (c *ClassResult) AnsweredShare() float64 { return c.share(c.InTime + c.Late) }

// WorthShare returns what the answers are worth relative to answers within the objective.
func (c *ClassResult) WorthShare() float64 {
	if c.Asked == 0 {
		return 0
	}
	return (float64(c.InTime) + c.LateWorth) / float64(c.Asked)
}

// share returns a part of the requests asked; 0 if there are none.
func (c *ClassResult) share(part int) float64 {
	if c.Asked == 0 {
		return 0
	}
	return float64(part) / float64(c.Asked)
}

// InTimeShare returns the share of requests that were answered within the objective.
func (c *ClassResult) InTimeShare() float64 { return c.share(c.InTime) }

// PassesPerOpening returns the number of targets that an opening was sent to on average.
func (r *Result) PassesPerOpening() float64 {
	if r.Openings == 0 {
		return 0
	}
	return float64(r.Forwards) / float64(r.Openings)
}

// InTimeBetween returns the share of the requests that began in a span of windows and were
// answered within the objective.
func (r *Result) InTimeBetween(from, to time.Duration) float64 {
	w := r.between(from, to)
	return float64(w.InTime) / float64(max(w.Asked, 1))
}

// FailedBetween returns the share of the requests that began in a span of windows and were
// not answered before their timeout.
func (r *Result) FailedBetween(from, to time.Duration) float64 {
	w := r.between(from, to)
	return float64(w.Failed) / float64(max(w.Asked, 1))
}

func (r *Result) between(from, to time.Duration) Window {
	var sum Window
	for i := int(from / windowLength); i < int(to/windowLength) && i < len(r.Windows); i++ {
		sum.add(r.Windows[i])
	}
	return sum
}

func (w *Window) add(other Window) {
	w.Asked += other.Asked
	w.InTime += other.InTime
	w.Failed += other.Failed
}

// merge adds the counts of another run of the same classes.
func (r *Result) merge(other Result) {
	if r.Classes == nil {
		r.Classes = make([]ClassResult, len(other.Classes))
		for i := range other.Classes {
			r.Classes[i].Name = other.Classes[i].Name
		}
	}
	for i := range other.Classes {
		r.Classes[i].add(other.Classes[i])
	}
	for i, w := range other.Windows {
		if i >= len(r.Windows) {
			r.Windows = append(r.Windows, Window{})
		}
		r.Windows[i].add(w)
	}
	r.Openings += other.Openings
	r.Forwards += other.Forwards
	r.Resets += other.Resets
	r.Shed += other.Shed
}
