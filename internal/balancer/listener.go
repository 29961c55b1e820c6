package balancer

import (
	"net/netip"
	"time"

	"github.com/peridotstall/peridotstall/internal/errkind"
	"github.com/peridotstall/peridotstall/internal/placement"
	"github.com/peridotstall/peridotstall/internal/route"
	"github.com/peridotstall/peridotstall/internal/schema"
	"github.com/peridotstall/peridotstall/internal/telemetry"
	"github.com/peridotstall/peridotstall/internal/udp"
	"github.com/peridotstall/peridotstall/internal/wire"
)

// listener serves the socket of one service. Its fields are immutable.
type listener struct {
	balancer *Balancer
	conn     *udp.Conn
	service  uint32
	mode     schema.Mode
	address  string
}

// packetFrame is a frame and its parts, which a listener reuses for every packet.
type packetFrame struct {
	frame  schema.Frame
	key    schema.FlowKey
	body   schema.Frame_Packet
	caller [16]byte
}

// serve forwards packets until the socket is closed.
func (l *listener) serve() {
	buf := make([]byte, wire.MaxPacket+1)
	out := &packetFrame{}
	out.frame.Key = &out.key
	out.frame.Body = &out.body
	out.frame.ReturnAddress = l.balancer.tunnel.Local().String()
	for {
		n, from, age, err := l.conn.Read(buf)
		if err != nil {
			return
		}
		l.balancer.lastPacket.Store(time.Now().UnixNano())
		l.balancer.options.Metrics.PacketsIn.Inc()
		if n > wire.MaxPacket {
			l.drop(from, nil, schema.ErrorKind_TOO_LARGE)
			continue
		}
		l.forward(out, buf[:n], from, age)
	}
}

func (l *listener) forward(out *packetFrame, data []byte, from netip.AddrPort, age time.Duration) {
	b := l.balancer
	routes := b.routes.Load()
	agent, kind := l.chooseAgent(routes, data, from)
	if kind != schema.ErrorKind_ERROR_KIND_NONE {
		l.drop(from, data, kind)
		return
	}
	span := l.span(data)
	span.Service(l.service)
	span.Target(agent.Target)
	out.key.Service = l.service
	out.key.CallerIp = callerIP(out, from)
	out.key.CallerPort = uint32(from.Port())
	out.frame.Revision = routes.Snapshot().Revision()
	out.frame.AgeMs = uint32(age.Milliseconds())
	out.frame.TraceParent = span.TraceParent()
	out.body.Packet = data
	if err := b.tunnel.Send(agent.Address, &out.frame); err != nil {
		b.options.Metrics.Error(schema.ErrorKind_INTERNAL)
	}
	span.End()
}

// span starts the span of a packet at the balancer: a root span for a plain
// packet, whose caller sends no trace, and a child of the caller's span for a
// request.
func (l *listener) span(data []byte) telemetry.Span {
	tracer := l.balancer.options.Tracer
	if tracer == nil || l.mode != schema.Mode_REQUEST {
		return tracer.Root("balancer")
	}
	id, ok := wire.RequestID(data)
	if !ok {
		return telemetry.Span{}
	}
	return tracer.Request("balancer", id)
}

func callerIP(out *packetFrame, from netip.AddrPort) []byte {
	if from.Addr().Is4() {
		ip := from.Addr().As4()
		return append(out.caller[:0], ip[:]...)
	}
	ip := from.Addr().As16()
	return append(out.caller[:0], ip[:]...)
}

// chooseAgent returns the agent for a packet, or an error kind if there is none.
func (l *listener) chooseAgent(routes *route.Table, data []byte, from netip.AddrPort) (route.Agent, schema.ErrorKind) {
	key := placement.Key{Service: l.service, Caller: from}
	if l.mode == schema.Mode_REQUEST {
		return routes.Request(key, data)
	}
	return routes.Plain(key)
}

// drop counts a packet that cannot be forwarded, and refuses an opening of the
// caller package. The refusal may state "not run", because a balancer dispatches
// nothing to a backend server itself. A packet with the token of an unknown target
// gets no answer, because another balancer may have a newer configuration with
// that target.
func (l *listener) drop(from netip.AddrPort, data []byte, kind schema.ErrorKind) {
	b := l.balancer
	b.options.Metrics.Error(kind)
	b.options.Logger.LogLimited(time.Now(), telemetry.PacketDropped, l.service, kind)
	if l.mode != schema.Mode_REQUEST || data == nil {
		return
	}
	p, err := wire.DecodeCaller(data)
	if err != nil || p.GetOpen() == nil {
		return
	}
	l.answer(from, &schema.CallerPacket{
		RequestId: p.GetRequestId(),
		Body: &schema.CallerPacket_Refusal{Refusal: &schema.Refusal{
			Kind:   kind,
			Detail: errkind.Lookup(kind).Text,
		}},
	})
}

func (l *listener) answer(to netip.AddrPort, p *schema.CallerPacket) {
	data, err := wire.EncodeCaller(p)
	if err != nil {
		return
	}
	l.send(to, data)
}

func (l *listener) send(to netip.AddrPort, data []byte) {
	if err := l.conn.Write(data, to); err != nil {
		return
	}
	l.balancer.options.Metrics.PacketsOut.Inc()
}

// sendAnswer sends an answer of an agent to the caller, from the socket of the
// service in the frame.
func (b *Balancer) sendAnswer(f *schema.Frame, data []byte) {
	caller, err := wire.CallerAddr(f.GetKey())
	if err != nil {
		b.options.Metrics.Error(schema.ErrorKind_MALFORMED)
		return
	}
	l := b.listener(f.GetKey().GetService())
	if l == nil {
		b.options.Metrics.Error(schema.ErrorKind_UNKNOWN_SERVICE)
		return
	}
	span := b.options.Tracer.Hop("balancer answer", f.GetTraceParent())
	l.send(caller, data)
	span.End()
}
