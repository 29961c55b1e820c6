package segnode

import (
	"bytes"
	"time"

	"github.com/peridotstall/peridotstall/internal/schema"
	"github.com/peridotstall/peridotstall/internal/segment"
	"github.com/peridotstall/peridotstall/internal/steering"
)

const (
	// maxHeldPerFlow is the number of segments that one end of a flow has in
	// flight.
	maxHeldPerFlow = 16
	// maxHeld bounds the held segments of a balancer: 5 MB at the largest size.
	maxHeld = 4096
)

// heldSegments are segments that wait until the owner of their flow is known.
type heldSegments struct {
	flows map[segment.Flow][][]byte
	count int
}

func newHeldSegments() heldSegments {
	return heldSegments{flows: make(map[segment.Flow][][]byte)}
}

// add keeps a copy of a segment. It reports whether there was room.
func (h *heldSegments) add(flow segment.Flow, data []byte) bool {
	list := h.flows[flow]
	if len(list) >= maxHeldPerFlow || h.count >= maxHeld {
		return false
	}
	h.flows[flow] = append(list, bytes.Clone(data))
	h.count++
	return true
}

// take removes and returns the segments of a flow.
func (h *heldSegments) take(flow segment.Flow) [][]byte {
	list := h.flows[flow]
	if list != nil {
		h.count -= len(list)
		delete(h.flows, flow)
	}
	return list
}

// hold keeps a segment. A segment that finds no room is dropped; its sender
// retransmits it.
func (b *Balancer) hold(flow segment.Flow, data []byte) {
	if !b.held.add(flow, data) {
		b.metrics.Overruns.Inc()
	}
}

// sendQuery queries the agents of a verdict for its flow.
func (b *Balancer) sendQuery(verdict *steering.Verdict) {
	encoded := verdict.Flow.Encode()
	message := &schema.LinkMessage{Body: &schema.LinkMessage_Query{Query: &schema.LinkQuery{Flow: encoded[:], Deny: verdict.NegativeReplies()}}}
	for _, t := range verdict.Agents() {
		b.out.message(b.link, message, b.agentLink(t))
	}
}

// release sends the held segments of a flow to its owner.
func (b *Balancer) release(flow segment.Flow, t *steering.Target) {
	mark := segment.Mark{Tag: t.Tag}.Pack()
	for _, data := range b.held.take(flow) {
		b.options.Codec.Forwardable(data, mark)
		b.out.datagram(b.packets, data, t.Agent)
		b.metrics.Forwarded.Inc()
	}
}

// continueSearches takes the next step of searches that no agent answered in
// time.
func (b *Balancer) continueSearches(now time.Duration) {
	for _, flow := range b.engine.DueSearches(now) {
		list := b.held.flows[flow]
		if len(list) == 0 {
			continue
		}
		head, ok := b.options.Codec.Parse(list[0])
		if !ok {
			continue
		}
		verdict := b.engine.ContinueSearch(now, flow)
		// The segment is already held.
		switch verdict.Action {
		case steering.Hold:
			continue
		case steering.Query:
			b.sendQuery(&verdict)
			verdict.Action = steering.Forward
		}
		b.execute(now, bytes.Clone(list[0]), head, &verdict)
	}
}

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
