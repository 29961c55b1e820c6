package platform

import (
	"math/rand/v2"
	"time"
)

// Backoff yields growing, jittered delays between attempts. The jitter keeps
// processes that lost the service at the same moment from returning together.
type Backoff struct {
	// Min and Max bound the delays. Min must be positive.
	Min, Max time.Duration
	// bound is the upper end of the last delay.
	bound time.Duration
}

// Next returns the next delay: random between half of a bound and the bound,
// which doubles with each call up to Max.
func (b *Backoff) Next(rng *rand.Rand) time.Duration {
	switch {
	case b.bound == 0:
		b.bound = b.Min
	case b.bound > b.Max/2:
		b.bound = b.Max
	default:
		b.bound *= 2
	}
	half := b.bound / 2
	return max(b.Min, half+time.Duration(rng.Int64N(int64(b.bound-half)+1)))
}

// Reset starts again from Min, after a success.
func (b *Backoff) Reset() { b.bound = 0 }
