package segnode

import (
	"time"

	"github.com/peridotstall/peridotstall/internal/schema"
	"github.com/peridotstall/peridotstall/internal/steering"
	"github.com/peridotstall/peridotstall/internal/telemetry"
	"github.com/peridotstall/peridotstall/internal/warmup"
)

// describeWarmupOf adds the warm-up of a target to its description.
func describeWarmupOf(m *schema.LinkTarget, now time.Duration, view *steering.View, t *steering.Target) {
	m.RoutesVersion = view.Version
	if m.WarmupRateMilli = t.WarmupRateMilli(); m.WarmupRateMilli > 0 {
		m.EntrySequence = t.WarmupSequence()
		m.WarmupLeftMs = uint64((t.WarmupLeft(now) + time.Millisecond - 1) / time.Millisecond)
	}
}

// validWarmup reports whether the warm-up in a description is in range.
func validWarmup(m *schema.LinkTarget) bool {
	return m.WarmupLeftMs <= maxMilliseconds && m.WarmupRateMilli <= warmup.MaxRate*1000
}

// describeWarmup decodes the warm-up in a valid description.
func describeWarmup(m *schema.LinkTarget) warmup.Description {
	return warmup.Description{
		Version: m.RoutesVersion, Rate: float64(m.WarmupRateMilli) / 1000,
		Born: m.BornUnixMs, Sequence: m.EntrySequence, Left: time.Duration(m.WarmupLeftMs) * time.Millisecond,
	}
}

// warmupLog notices the begin and the end of warm-ups, to log them.
type warmupLog struct {
	// cold is set while the target is cold and limited.
	cold  bool
	since time.Duration
}

// warmupEvent is the begin or the end of a warm-up.
type warmupEvent struct {
	begun, ended bool
	rate         float64
	left, lasted time.Duration
	// phase is what the target got so far, or in the warm-up that ended.
	phase warmup.Phase
}

// update returns what has changed since the last call.
func (w *warmupLog) update(now time.Duration, l *warmup.Limiter) warmupEvent {
	cold := l.Cold(now)
	e := warmupEvent{begun: cold && !w.cold, ended: !cold && w.cold, rate: l.Rate(), left: l.Left(now), lasted: now - w.since, phase: l.Phase()}
	if e.begun {
		w.since = now
	}
	if !cold {
		l.ResetPhase()
	}
	w.cold = cold
	return e
}

// recordWarmup publishes the state of the warm-up and logs its begin and end.
func (a *Agent) recordWarmup(cold bool, credit int, e warmupEvent) {
	if !cold {
		credit = -1
	}
	p := e.phase
	a.metrics.WarmupCredit.Set(int64(credit))
	if cold || e.ended {
		a.metrics.WarmupOpenings.Set(int64(p.Taken))
		a.metrics.WarmupPeak.Set(int64(p.Peak))
	}
	if e.begun {
		a.options.Logger.Log(telemetry.WarmupBegun, "rate", e.rate, "left", e.left.Round(time.Millisecond))
	}
	if !e.ended {
		return
	}
	event := telemetry.WarmupEnded
	if p.Peak > p.Bound {
		event = telemetry.WarmupExceeded
	}
	a.options.Logger.Log(event, "rate", p.Rate, "bound", p.Bound, "peak", p.Peak, "openings", p.Taken,
		"given_back", p.Refused, "further_requests", p.Further, "lasted", e.lasted.Round(time.Millisecond))
}
