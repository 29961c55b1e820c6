package warmup

import (
	"math"
	"slices"
	"time"
)

const (
	// MaxRate is the highest rate of a limit, in requests per second.
	MaxRate = 10_000
	// initialEvents is the number of events that are held while no rate is known.
	initialEvents = 256
	// suspicionTime is the time for which a target that may have started again is held to the
	// rate: its entry reaches the balancers, and their description the agent, within it.
	suspicionTime = 1500 * time.Millisecond
	// maxIncarnations bounds the incarnations of a target that are remembered.
	maxIncarnations = 8
)

// Tolerance is how far a deployment accepts more requests than the configured rate: rate x
// Overshoot + Slack in one second. The zero value is no tolerance.
type Tolerance struct {
	// Overshoot is a factor; values below 1 count as 1.
	Overshoot float64
	// Slack is a number of requests.
	Slack float64
}

// Bound returns the highest number of requests in one second within the tolerance.
func (t Tolerance) Bound(rate float64) int {
	return int(min(rate*max(t.Overshoot, 1)+max(t.Slack, 0), math.MaxInt16))
}

// Description is what a balancer says of the warm-up of a target.
type Description struct {
	// Version is that of the configuration which names the rate; 0 if the balancer has none.
	Version uint64
	// Rate is the number of requests per second that a cold target takes; 0 for no limit.
	Rate float64
	// Born identifies the incarnation of the target; 0 if unknown.
	Born int64
	// Sequence counts the entries of the incarnation; 0 if unknown.
	Sequence uint64
	// Left is the time until the incarnation is warm, by that entry; 0 if it is.
	Left time.Duration
}

// incarnation is an incarnation of the target with the end of its warm-up.
type incarnation struct {
	born int64
	end  End
}

// Phase is what a target got while it was cold.
type Phase struct {
	// Rate is the configured rate in requests per second, Bound the highest number of
	// requests in one second within the tolerance.
	Rate  float64
	Bound int
	// Taken and Refused count openings, Further the requests after the first one of a flow.
	Taken, Refused, Further uint64
	// Peak is the highest number counted in one second, at most one above Bound.
	Peak int
}

// Limiter decides which openings a target takes while it is cold. An opening counts from
// the time at which it is taken; once its first request arrives, from that time. Further
// requests of a flow cannot be refused, but leave less for openings.
type Limiter struct {
	tolerance    Tolerance
	version      uint64
	rate         float64
	window       Window
	incarnations []incarnation
	grants       grants
	phase        Phase
	// suspectedUntil is the time until which the target is held to the rate because it may
	// have started again; 0 if there is no sign of that.
	suspectedUntil time.Duration
}

// New returns the limiter of an agent that starts now. Its window starts full, because
// nothing is known of the time before.
func New(now time.Duration, tolerance Tolerance) *Limiter {
	return &Limiter{tolerance: tolerance, window: newWindow(now, initialEvents, initialEvents, span)}
}

// Describe records a description. The rate of the newest configuration is in force.
func (l *Limiter) Describe(now time.Duration, d Description) {
	if d.Version == 0 {
		return
	}
	if d.Version >= l.version {
		l.version = d.Version
		l.setRate(d.Rate)
	}
	if d.Born == 0 {
		d.Sequence = 0
	}
	for i := range l.incarnations {
		if known := &l.incarnations[i]; known.born == d.Born {
			known.end = known.end.Updated(now, d.Sequence, d.Left)
			return
		}
	}
	if len(l.incarnations) == maxIncarnations {
		l.incarnations = slices.Delete(l.incarnations, 0, 1)
	}
	l.incarnations = append(l.incarnations, incarnation{d.Born, EndOf(now, d.Sequence, d.Left)})
	l.suspectedUntil = 0
}

// Suspect records a sign that the target has started again. It is held to the rate until a
// new incarnation is described, or for suspicionTime if none is.
func (l *Limiter) Suspect(now time.Duration) { l.suspectedUntil = now + suspicionTime }

func (l *Limiter) setRate(rate float64) {
	if !(rate > 0 && rate <= MaxRate) {
		rate = 0
	}
	if rate == l.rate {
		return
	}
	l.rate = rate
	if rate > 0 {
		limit, period := limitOf(rate)
		l.window.resize(limit, l.tolerance.Bound(rate)+1, period)
	}
}

// Rate returns the configured rate in requests per second; 0 for no limit.
func (l *Limiter) Rate() float64 { return l.rate }

// Cold reports whether the target is cold and its service has a rate.
func (l *Limiter) Cold(now time.Duration) bool { return l.rate > 0 && l.Left(now) > 0 }

// Left returns the time until the target is warm; 0 if it is, or nothing is known.
func (l *Limiter) Left(now time.Duration) time.Duration {
	left := max(l.suspectedUntil-now, 0)
	for _, i := range l.incarnations {
		left = max(left, i.end.At-now)
	}
	return left
}

// Admit decides on an opening. Cold is set if the balancer that sent it has a rate for the
// target and an entry that says that it is cold: this process may not know of it yet.
func (l *Limiter) Admit(now time.Duration, cold bool) bool {
	switch {
	case l.version == 0 && cold:
		l.phase.Refused++
		return false
	case l.rate == 0 || !cold && !l.Cold(now):
		l.window.Add(now)
		return true
	case !l.window.Take(now):
		l.phase.Refused++
		return false
	}
	l.phase.Taken++
	l.grants.use()
	l.observe(now)
	return true
}

// Requested records that the first request of a flow arrives, whose opening was counted at
// the given time, or a further request if the time is 0.
func (l *Limiter) Requested(now, opened time.Duration) {
	if opened != 0 {
		l.window.Move(opened, now)
	} else {
		l.window.Add(now)
	}
	if l.Cold(now) {
		if opened == 0 {
			l.phase.Further++
		}
		l.observe(now)
	}
}

// observe updates the peak of the phase.
func (l *Limiter) observe(now time.Duration) { l.phase.Peak = max(l.phase.Peak, l.window.Count(now)) }

// Credit returns the number of openings that the target may take now; false if it is warm
// or its service has no rate.
func (l *Limiter) Credit(now time.Duration) (int, bool) {
	if !l.Cold(now) {
		return 0, false
	}
	return l.window.Left(now), true
}

// Phase returns what the target got since the last ResetPhase.
func (l *Limiter) Phase() Phase {
	phase := l.phase
	phase.Rate, phase.Bound = l.rate, l.tolerance.Bound(l.rate)
	return phase
}

// ResetPhase begins a new phase.
func (l *Limiter) ResetPhase() { l.phase = Phase{} }
