package occupancy

import (
	"math"
	"time"

	"github.com/peridotstall/peridotstall/internal/segment"
)

const (
	// defaultPatience is the time to wait for an answer until a balancer has told
	// the one of the routes: twice the usual latency objective of 250 ms.
	defaultPatience = 500 * time.Millisecond
	// outcomeWeight is the weight of one more outcome in the share of failures:
	// three failures in a row are enough for a clear verdict, one is not.
	outcomeWeight = 0.15
	// forgiveTime is the time constant with which the share of failures decays,
	// so that a target that gets no requests is tried again after some seconds.
	forgiveTime = 4 * time.Second
	// maxExpected bounds the requests whose answers are awaited.
	maxExpected = 1 << 14
)

// failures keeps the share of a target's recent requests that failed. Only what
// the target itself did counts, as seen on its own host: no link to a balancer or
// a caller takes part in the verdict.
type failures struct {
	patience time.Duration
	value    float64
	updated  time.Duration
	// awaited are requests in the order of time.
	awaited flowQueue
}

// record counts an outcome.
func (f *failures) record(now time.Duration, failed bool) {
	outcome := 0.0
	if failed {
		outcome = 1
	}
	f.value = f.share(now)*(1-outcomeWeight) + outcome*outcomeWeight
	f.updated = now
}

// share returns the share of failures, which decays with time.
func (f *failures) share(now time.Duration) float64 {
	return f.value * math.Exp(-float64(now-f.updated)/float64(forgiveTime))
}

// expect notes that a request was handed to the target.
func (f *failures) expect(flow segment.Flow, now time.Duration) {
	if len(f.awaited) < maxExpected {
		f.awaited = append(f.awaited, flowAt{flow, now})
	}
}
