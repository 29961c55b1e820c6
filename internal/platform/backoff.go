package platform

import (
	"math/rand/v2"
	"time"
)

// Backoff yields exponentially growing delays with jitter. The jitter keeps
// processes that lost the service at the same time from retrying in step.
type Backoff struct {
	// Min and Max limit the delays. Min must be positive.
	Min, Max time.Duration
	// upper is the upper limit of the previous delay, 0 before the first.
	upper time.Duration
}

// Next returns the next delay. It is random between half of an upper limit and
// that limit, which starts at Min and doubles with each call up to Max.
func (b *Backoff) Next(rng *rand.Rand) time.Duration {
	switch {
	case b.upper == 0:
		b.upper = b.Min
	case b.upper > b.Max/2:
		b.upper = b.Max
	default:
		b.upper *= 2
	}
	half := b.upper / 2
	return max(b.Min, half+time.Duration(rng.Int64N(int64(b.upper-half)+1)))
}

// Reset makes the next delay start from Min again. Call it after a success.
func (b *Backoff) Reset() { b.upper = 0 }
