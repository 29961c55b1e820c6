package segnode

import (
	"bytes"
	"time"

	"github.com/peridotstall/peridotstall/internal/steering"
)

const (
	// maxWaiting bounds the segments that wait for the view: 1.2 MB at the largest size.
	maxWaiting = 1024
	// waitingTimeout is the time for which a segment waits for the view. The sender
	// retransmits it after 200 ms.
	waitingTimeout = 150 * time.Millisecond
	// waitingInterval is the time between two decisions on waiting segments.
	waitingInterval = 2 * time.Millisecond
)

// waitingSegment is a segment that the engine could not decide on yet.
type waitingSegment struct {
	data []byte
	at   time.Duration
}

// waitForView keeps a segment until the engine can decide on it. It reports
// whether there was room.
func (b *Balancer) waitForView(now time.Duration, data []byte) bool {
	if len(b.waiting) >= maxWaiting {
		return false
	}
	b.waiting = append(b.waiting, waitingSegment{bytes.Clone(data), now})
	return true
}

// retryWaiting decides again on the segments that wait for the view, in order of
// arrival.
func (b *Balancer) retryWaiting(now time.Duration) {
	if now-b.waitingRetried < waitingInterval {
		return
	}
	b.waitingRetried = now
	list := b.waiting
	b.waiting = nil
	for _, w := range list {
		if now-w.at > waitingTimeout {
			b.metrics.Overruns.Inc()
			continue
		}
		head, ok := b.options.Codec.Parse(w.data)
		if !ok {
			continue
		}
		head.Age += now - w.at
		head.Patience = max(head.Patience-(now-w.at), 0)
		verdict := b.engine.Segment(now, head)
		if verdict.Action == steering.Wait {
			b.waiting = append(b.waiting, w)
			continue
		}
		b.execute(now, w.data, head, &verdict)
	}
}

// nextDue returns the time of the next step of a search or of the next decision
// on waiting segments; false if there is neither.
func (b *Balancer) nextDue() (time.Duration, bool) {
	at, ok := b.engine.NextDueSearch()
	if len(b.waiting) == 0 {
		return at, ok
	}
	retry := b.waitingRetried + waitingInterval
	if ok {
		retry = min(retry, at)
	}
	return retry, true
}
