package agent

import (
	"net/netip"
	"time"

	"github.com/peridotstall/peridotstall/internal/flow"
	"github.com/peridotstall/peridotstall/internal/offer"
	"github.com/peridotstall/peridotstall/internal/placement"
	"github.com/peridotstall/peridotstall/internal/schema"
	"github.com/peridotstall/peridotstall/internal/telemetry"
	"github.com/peridotstall/peridotstall/internal/wire"
)

// handleFrame handles a frame of a balancer or another agent. The frame and its
// byte slices are valid only during the call.
func (a *Agent) handleFrame(from netip.AddrPort, age time.Duration, f *schema.Frame) {
	switch body := f.Body.(type) {
	case *schema.Frame_Packet:
		a.handlePacket(age, f, body.Packet)
	case *schema.Frame_Ask:
		a.withFlows(func(now time.Time) []flow.Action { return a.flows.HandleQuery(now, body.Ask) })
	case *schema.Frame_AskReply:
		a.withFlows(func(now time.Time) []flow.Action { return a.flows.HandleReply(now, body.AskReply) })
	case *schema.Frame_Register:
		a.withFlows(func(now time.Time) []flow.Action { return a.flows.HandleRegister(now, body.Register) })
	default:
		if a.control != nil {
			a.control.Receive(from, f)
		}
	}
}

// withFlows runs call under the lock and executes the actions that it returns. It
// does nothing before the first configuration.
func (a *Agent) withFlows(call func(now time.Time) []flow.Action) {
	a.mu.Lock()
	defer a.mu.Unlock()
	now := time.Now()
	a.detectPause(now)
	if a.flows != nil {
		a.runFlow(call(now))
	}
}

func (a *Agent) handlePacket(age time.Duration, f *schema.Frame, data []byte) {
	caller, err := wire.CallerAddr(f.GetKey())
	if err != nil {
		a.drop(f.GetKey().GetService(), schema.ErrorKind_MALFORMED)
		return
	}
	key := placement.Key{Service: f.GetKey().GetService(), Caller: caller}
	returnAddress, err := netip.ParseAddrPort(f.GetReturnAddress())
	if err != nil {
		a.drop(key.Service, schema.ErrorKind_MALFORMED)
		return
	}
	span := a.options.Tracer.Hop("agent", f.GetTraceParent())
	defer span.End()
	span.Target(a.options.Settings.GetTarget())
	age += time.Duration(f.GetAgeMs()) * time.Millisecond

	a.mu.Lock()
	defer a.mu.Unlock()
	now := time.Now()
	a.detectPause(now)
	if a.flows == nil {
		a.drop(key.Service, schema.ErrorKind_WRONG_SERVICE)
		return
	}
	service, ok := a.view.snapshot.Service(key.Service)
	if ok && service.GetMode() == schema.Mode_REQUEST {
		a.trace = span.TraceParent()
		a.handleCaller(now, opening{
			key:           key,
			returnAddress: returnAddress,
			age:           age,
			hops:          int(f.GetHops()),
			refusedBy:     f.GetPassed(),
			data:          data,
		})
		a.trace = ""
		return
	}
	a.runFlow(a.flows.HandlePacket(now, flow.Packet{
		Key:       key,
		Payload:   data,
		Return:    returnAddress,
		Age:       age,
		Hops:      int(f.GetHops()),
		RefusedBy: f.GetPassed(),
		Trace:     span.TraceParent(),
	}))
}

// handleCaller handles a packet of the caller package. An opening is accepted
// only for a service of this target. Packets with a token are checked by the
// request state machine.
func (a *Agent) handleCaller(now time.Time, o opening) {
	p, err := wire.DecodeCaller(o.data)
	if err != nil {
		a.drop(o.key.Service, schema.ErrorKind_MALFORMED)
		return
	}
	o.packet = p
	a.returnPaths.set(now, o.key, o.returnAddress)
	switch {
	case p.GetOpen() == nil:
		peer := offer.Peer{Caller: o.key.Caller, Age: o.age}
		service := offer.Service{ID: o.key.Service, Member: a.view.member(o.key.Service)}
		a.runOffer(a.offers.Handle(now, peer, service, p))
	case a.view.services[o.key.Service] == nil:
		a.drop(o.key.Service, schema.ErrorKind_WRONG_SERVICE)
		a.sendCaller(o.key, refusal(p, schema.ErrorKind_WRONG_SERVICE, a.options.Settings.GetTarget()))
	default:
		a.offerOrForward(now, o)
	}
}

func refusal(p *schema.CallerPacket, kind schema.ErrorKind, target uint32) *schema.CallerPacket {
	return &schema.CallerPacket{
		RequestId: p.GetRequestId(),
		Body:      &schema.CallerPacket_Refusal{Refusal: &schema.Refusal{Kind: kind, Target: target}},
	}
}

// drop counts and logs a dropped packet.
func (a *Agent) drop(service uint32, kind schema.ErrorKind) {
	a.options.Metrics.Error(kind)
	a.options.Logger.LogLimited(time.Now(), telemetry.PacketDropped, service, kind)
}

// send sends a frame to the agent of a target.
func (a *Agent) send(target uint32, f *schema.Frame) {
	p, ok := a.view.peer(target)
	if !ok {
		return
	}
	f.Revision = a.view.table.Revision()
	if err := a.tunnel.Send(p.address, f); err != nil {
		a.options.Metrics.Error(schema.ErrorKind_INTERNAL)
	}
}

// sendAnswer sends a packet to a caller through a balancer.
func (a *Agent) sendAnswer(balancer netip.AddrPort, key placement.Key, trace string, data []byte) {
	a.options.Metrics.PacketsOut.Inc()
	err := a.tunnel.Send(balancer, &schema.Frame{
		Key:         wire.FlowKey(key.Service, key.Caller),
		TraceParent: trace,
		Body:        &schema.Frame_Answer{Answer: data},
	})
	if err != nil {
		a.options.Metrics.Error(schema.ErrorKind_INTERNAL)
	}
}
