package occupancy

import (
	"time"

	"github.com/peridotstall/peridotstall/internal/segment"
	"github.com/peridotstall/peridotstall/internal/warmup"
)

// openingCopiesTime is the time in which a caller sends the copies of an opening.
const openingCopiesTime = 1500 * time.Millisecond

// SetWarmup sets the limiter of the target's warm-up. Without one there is no limit.
func (t *Tracker) SetWarmup(l *warmup.Limiter) { t.warmup = l }

// Warmup returns the limiter of the target's warm-up.
func (t *Tracker) Warmup() *warmup.Limiter { return t.warmup }

// counted reports whether the limiter has counted a copy of the opening that arrives now.
func (s flowState) counted(now time.Duration) bool {
	return s.countedAt != 0 && !s.ended && now-s.countedAt <= openingCopiesTime
}

// admitWarmup reports whether the limiter takes an opening.
func (t *Tracker) admitWarmup(now time.Duration, head segment.Head, mark segment.Mark) bool {
	if s, known := t.flows.Get(head.FromCaller()); known && s.counted(now) {
		return true
	}
	return t.warmup.Admit(now, mark.Cold)
}
