package occupancy

import (
	"math"
	"time"

	"github.com/peridotstall/peridotstall/internal/segment"
)

const (
	// defaultAnswerTimeout is the answer timeout until a balancer has sent that of the
	// routes: twice the usual latency objective of 250 ms.
	defaultAnswerTimeout = 500 * time.Millisecond
	// outcomeWeight is the weight of a new outcome in the share of failures: three
	// failures in a row give a clear verdict, a single one does not.
	outcomeWeight = 0.15
	// failureDecayTime is the time constant with which the share of failures decays, so
	// that a target without requests is used again after some seconds.
	failureDecayTime = 4 * time.Second
	// maxAwaited bounds the requests whose answers are awaited.
	maxAwaited = 1 << 14
)

// failures tracks the share of a target's recent requests that failed. It counts only
// what the agent observes on the target's own host, so that faults of the links to
// balancers and callers do not count against the target.
type failures struct {
	answerTimeout time.Duration
	failedShare   float64
	updated       time.Duration
	// awaited holds the requests without an answer in order of time.
	awaited flowQueue
}

// record adds the outcome of a request.
func (f *failures) record(now time.Duration, failed bool) {
	outcome := 0.0
	if failed {
		outcome = 1
	}
	f.failedShare = f.share(now)*(1-outcomeWeight) + outcome*outcomeWeight
	f.updated = now
}

// share returns the share of failures, decayed to the given time.
func (f *failures) share(now time.Duration) float64 {
	return f.failedShare * math.Exp(-float64(now-f.updated)/float64(failureDecayTime))
}

// expectAnswer records that a request was forwarded to the target.
func (f *failures) expectAnswer(flow segment.Flow, now time.Duration) {
	if len(f.awaited) < maxAwaited {
		f.awaited = append(f.awaited, flowAt{flow, now})
	}
}
