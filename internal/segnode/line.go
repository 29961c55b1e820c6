package segnode

import (
	"bytes"
	"net/netip"
	"time"

	"github.com/peridotstall/peridotstall/internal/occupancy"
	"github.com/peridotstall/peridotstall/internal/schema"
	"github.com/peridotstall/peridotstall/internal/segment"
	"github.com/peridotstall/peridotstall/internal/telemetry"
	"github.com/peridotstall/peridotstall/internal/waitline"
)

// wait lets an opening wait at the agent, if there is room for it. The caller must hold a.mu.
func (a *Agent) wait(now time.Duration, b []byte, head segment.Head, mark segment.Mark) occupancy.Refusal {
	b = bytes.Clone(b)
	a.options.Codec.Forwardable(b, mark.Pack())
	if !a.tracker.Wait(now, head, mark, mark.Sender, b) {
		return occupancy.Busy
	}
	return occupancy.Waits
}

// release returns the waiting openings that go to the target now. The caller must hold a.mu
// and deliver them.
func (a *Agent) release(now time.Duration) []waitline.Opening {
	var released []waitline.Opening
	for {
		o, ok := a.tracker.Released(now)
		if !ok {
			return released
		}
		if head, ok := a.options.Codec.Parse(o.Segment); ok {
			a.tracker.DeliveredFromLine(now, head, segment.Unpack(head.Mark), o.Sender)
			a.metrics.OpeningWait.Record(now - o.Arrived)
			released = append(released, o)
		}
	}
}

// deliver sends waiting openings to the target.
func (a *Agent) deliver(openings []waitline.Opening) {
	for _, o := range openings {
		a.metrics.Forwarded.Inc()
		a.out.datagram(a.packets, o.Segment, *a.backend.Load())
	}
}

// returnOpenings returns waiting openings that are not served here to their balancers.
func (a *Agent) returnOpenings(now time.Duration, openings []waitline.Opening, reason occupancy.Refusal, load openingLoad) {
	for _, o := range openings {
		head, ok := a.options.Codec.Parse(o.Segment)
		if !ok {
			continue
		}
		mark := segment.Unpack(head.Mark)
		mark.Patience = o.Deadline - now
		a.mu.Lock()
		to := a.balancers[o.Sender].packets
		a.mu.Unlock()
		a.refuse(o.Segment, head, mark, reason, load, to)
	}
}

// sendWaiting informs a balancer that an opening waits.
func (a *Agent) sendWaiting(flow segment.Flow, sender uint8) {
	a.mu.Lock()
	to, identity := a.balancers[sender].link, a.identity()
	a.mu.Unlock()
	if a.options.Logger.Allow(telemetry.OpeningWaits) {
		a.options.Logger.Log(telemetry.OpeningWaits, "flow", flow.String(), "balancer", to)
	}
	if !to.IsValid() {
		return
	}
	encoded := flow.Encode()
	a.out.message(a.link, &schema.LinkMessage{Body: &schema.LinkMessage_Waiting{Waiting: &schema.LinkWaiting{Flow: encoded[:], Identity: identity}}}, to)
}

// handleWithdrawal drops a waiting opening that another target takes. Only the balancer that
// sent it may withdraw it.
func (a *Agent) handleWithdrawal(m *schema.LinkWithdrawal, from netip.AddrPort) {
	flow, ok := segment.DecodeFlow(m.Flow)
	if !ok {
		a.metrics.Malformed.Inc()
		return
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	if index, known := a.byHost[from.Addr()]; known {
		a.tracker.Withdraw(flow, index)
	}
}
