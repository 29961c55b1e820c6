package agent

import (
	"net/netip"
	"time"

	"github.com/peridotstall/peridotstall/internal/flow"
	"github.com/peridotstall/peridotstall/internal/placement"
	"github.com/peridotstall/peridotstall/internal/schema"
	"github.com/peridotstall/peridotstall/internal/telemetry"
	"github.com/peridotstall/peridotstall/internal/wire"
)

// runFlow executes actions of the flow state machine. The caller must hold a.mu.
func (a *Agent) runFlow(actions []flow.Action) {
	for _, action := range actions {
		switch v := action.(type) {
		case flow.Deliver:
			a.deliver(v)
		case flow.Forward:
			a.send(v.Target, packetFrame(v.Packet))
		case flow.SendQuery:
			a.options.Metrics.Queries.Inc()
			a.send(v.Target, &schema.Frame{Body: &schema.Frame_Ask{Ask: v.Ask}})
		case flow.SendReply:
			a.send(v.Target, &schema.Frame{Body: &schema.Frame_AskReply{AskReply: v.Reply}})
		case flow.SendRegister:
			a.send(v.Target, &schema.Frame{Body: &schema.Frame_Register{Register: v.Register}})
		case flow.Close:
			a.closeBackend(v.Key)
		case flow.OutOfOrder:
			a.countOutOfOrder()
		case flow.QueryTimeout:
			a.countQueryTimeout()
		case flow.Drop:
			a.refusals.add(time.Now(), v.Packet.Key, v.Kind, v.Cause)
			a.drop(v.Packet.Key.Service, v.Kind)
		}
	}
}

func packetFrame(p flow.Packet) *schema.Frame {
	return &schema.Frame{
		Key:           wire.FlowKey(p.Key.Service, p.Key.Caller),
		Hops:          uint32(p.Hops),
		AgeMs:         uint32(p.Age.Milliseconds()),
		ReturnAddress: p.Return.String(),
		Passed:        p.RefusedBy,
		TraceParent:   p.Trace,
		Body:          &schema.Frame_Packet{Packet: p.Payload},
	}
}

// deliver writes a packet to the backend server. The packet that opens a flow
// opens its socket.
func (a *Agent) deliver(d flow.Deliver) {
	key := d.Packet.Key
	if d.Opened {
		a.openBackend(key)
	}
	b := a.backends[key]
	if b == nil {
		a.drop(key.Service, schema.ErrorKind_BACKEND_FAILED)
		return
	}
	b.setReturnAddress(d.Packet.Return)
	a.options.Metrics.PacketsIn.Inc()
	span := a.options.Tracer.Hop("backend server", d.Packet.Trace)
	b.write(d.Packet.Payload)
	b.trace = span.TraceParent()
	span.End()
}

func (a *Agent) openBackend(key placement.Key) {
	a.options.Metrics.FlowsOpened.Inc()
	b, err := dialBackend(a.options.Settings.GetBackendUdp(), netip.AddrPort{})
	if err != nil {
		a.options.Logger.Log(telemetry.BackendUnreachable, "service", key.Service, "error", err)
		a.runFlow(a.flows.BackendClosed(key))
		return
	}
	a.backends[key] = b
	go b.serve(func(data []byte) { a.forwardResponse(key, b, data) })
}

// forwardResponse sends a packet of the backend server to the caller.
func (a *Agent) forwardResponse(key placement.Key, b *backend, data []byte) {
	a.mu.Lock()
	if a.backends[key] != b {
		// This is a late packet of a closed flow.
		a.mu.Unlock()
		return
	}
	a.flows.HandleBackendPacket(time.Now(), key)
	balancer := a.liveBalancer(b.returnAddress())
	trace := b.trace
	b.trace = ""
	a.mu.Unlock()
	a.sendAnswer(balancer, key, trace, data)
}

// closeBackend removes the socket of a flow and closes it after closeDelay.
func (a *Agent) closeBackend(key placement.Key) {
	b := a.backends[key]
	if b == nil {
		return
	}
	delete(a.backends, key)
	time.AfterFunc(closeDelay, b.close)
}

// recordLostFlow counts and logs a flow that could not be taken over from the
// predecessor.
func (a *Agent) recordLostFlow(service uint32, err error) {
	a.options.Metrics.FlowsCut.Inc()
	a.options.Logger.Log(telemetry.FlowLost, "service", service, "error", err)
}
