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
