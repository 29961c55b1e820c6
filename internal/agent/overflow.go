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

// opening is an opening of the caller package on its way between agents.
type opening struct {
	key    placement.Key
	back   netip.AddrPort
	age    time.Duration
	hops   int
	passed []uint32
	data   []byte
	packet *schema.CallerPacket
}

// openOrPass offers queue room here or passes the opening on to the next
// candidate. Nothing is handed over with an opening, so that a second candidate
// is free of risk: the caller takes one offer, the others expire.
func (a *Agent) openOrPass(now time.Time, o opening) {
	member := a.view.member(o.key.Service)
	peer := offer.Peer{Caller: o.key.Caller, Age: o.age}
	service := offer.Service{ID: o.key.Service, Member: member}
	next, candidates := a.nextCandidate(o)
	known := a.offers.Opened(offer.Key(o.key), o.packet.GetRequestId())
	load := a.admission.Load(member, o.packet.GetOpen().GetClass())
	down := now.Sub(a.backendDown) < backendRetry
	if !known && admission.Overflow(load, o.hops, candidates, down) {
		a.pass(o, next)
		return
	}
	actions := a.offers.Handle(now, peer, service, o.packet)
	if refusedHere(actions) && admission.Overflow(load, o.hops, candidates, true) {
		a.pass(o, next)
		return
	}
	a.runOffer(actions)
}

// nextCandidate returns the usable candidate after this target in the order of
// the request, and how many there are.
func (a *Agent) nextCandidate(o opening) (next uint32, count int) {
	hash := placement.RequestHash(a.view.table.Hash(o.key), o.packet.GetRequestId())
	tried := o.packet.GetOpen().GetTried()
	self := a.options.Settings.GetTarget()
	var buf [placement.MaxCandidates]uint32
	order := a.view.table.Candidates(o.key.Service, hash, buf[:0])
	for _, id := range order[slices.Index(order, self)+1:] {
		if slices.Contains(tried, id) || slices.Contains(o.passed, id) || !a.targetUsable(id) {
			continue
		}
		if count == 0 {
			next = id
		}
		count++
	}
	return next, count
}

// refusedHere reports whether the answer to an opening is a refusal that another
// target may not share.
func refusedHere(actions []offer.Action) bool {
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

func (a *Agent) pass(o opening, next uint32) {
	a.options.Metrics.OpeningsPassed.Inc()
	a.send(next, &schema.Frame{
		Key:           wire.Key(o.key.Service, o.key.Caller),
		Hops:          uint32(o.hops + 1),
		AgeMs:         uint32(o.age.Milliseconds()),
		ReturnAddress: o.back.String(),
		Passed:        append(slices.Clone(o.passed), a.options.Settings.GetTarget()),
		TraceParent:   a.trace,
		Body:          &schema.Frame_Packet{Packet: o.data},
	})
}
