package agent

import (
	"net/netip"
	"slices"
	"time"

	"github.com/peridotstall/peridotstall/internal/admission"
	"github.com/peridotstall/peridotstall/internal/offer"
	"github.com/peridotstall/peridotstall/internal/placement"
	"github.com/peridotstall/peridotstall/internal/schema"
	"github.com/peridotstall/peridotstall/internal/wire"
)

// opening is an opening of the caller package, received from a balancer or
// forwarded by an earlier candidate.
type opening struct {
	key           placement.Key
	returnAddress netip.AddrPort
	age           time.Duration
	hops          int
	refusedBy     []uint32
	data          []byte
	packet        *schema.CallerPacket
}

// offerOrForward offers queue room at this target or forwards the opening to the
// next candidate. Forwarding is safe because an opening starts no work: the caller
// accepts one offer, and offers of other candidates expire.
func (a *Agent) offerOrForward(now time.Time, o opening) {
	member := a.view.member(o.key.Service)
	peer := offer.Peer{Caller: o.key.Caller, Age: o.age}
	service := offer.Service{ID: o.key.Service, Member: member}
	next, candidates := a.nextCandidate(o)
	opened := a.offers.Opened(offer.Key(o.key), o.packet.GetRequestId())
	load := a.admission.Load(member, o.packet.GetOpen().GetClass())
	down := now.Sub(a.backendDown) < backendRetryInterval
	if !opened && admission.ShouldForward(load, o.hops, candidates, down) {
		a.forwardOpening(o, next)
		return
	}
	actions := a.offers.Handle(now, peer, service, o.packet)
	if refusedLocally(actions) && admission.ShouldForward(load, o.hops, candidates, true) {
		a.forwardOpening(o, next)
		return
	}
	a.runOffer(actions)
}

// nextCandidate returns the first usable candidate after this target in the order
// of the request, and the number of usable candidates after this target.
func (a *Agent) nextCandidate(o opening) (next uint32, usable int) {
	hash := placement.RequestHash(a.view.table.Hash(o.key), o.packet.GetRequestId())
	tried := o.packet.GetOpen().GetTried()
	ownTarget := a.options.Settings.GetTarget()
	var buf [placement.MaxCandidates]uint32
	order := a.view.table.Candidates(o.key.Service, hash, buf[:0])
	for _, id := range order[slices.Index(order, ownTarget)+1:] {
		if slices.Contains(tried, id) || slices.Contains(o.refusedBy, id) || !a.targetUsable(id) {
			continue
		}
		if usable == 0 {
			next = id
		}
		usable++
	}
	return next, usable
}

// refusedLocally reports whether the actions refuse an opening for a reason that
// may not hold at another target.
func refusedLocally(actions []offer.Action) bool {
	for _, action := range actions {
		send, ok := action.(offer.Send)
		if !ok {
			continue
		}
		switch send.Packet.GetRefusal().GetKind() {
		case schema.ErrorKind_REFUSED_OVERLOAD, schema.ErrorKind_REFUSED_DEADLINE, schema.ErrorKind_REFUSED_DRAINING:
			return true
		}
	}
	return false
}

// forwardOpening forwards an opening to the agent of the next candidate.
func (a *Agent) forwardOpening(o opening, next uint32) {
	a.options.Metrics.OpeningsRetried.Inc()
	a.send(next, &schema.Frame{
		Key:           wire.FlowKey(o.key.Service, o.key.Caller),
		Hops:          uint32(o.hops + 1),
		AgeMs:         uint32(o.age.Milliseconds()),
		ReturnAddress: o.returnAddress.String(),
		Passed:        append(slices.Clone(o.refusedBy), a.options.Settings.GetTarget()),
		TraceParent:   a.trace,
		Body:          &schema.Frame_Packet{Packet: o.data},
	})
}
