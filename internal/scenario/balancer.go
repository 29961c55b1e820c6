package scenario

import (
	"fmt"
	"net/netip"
	"time"

	"github.com/peridotstall/peridotstall/internal/config"
	"github.com/peridotstall/peridotstall/internal/placement"
	"github.com/peridotstall/peridotstall/internal/route"
	"github.com/peridotstall/peridotstall/internal/schema"
	"github.com/peridotstall/peridotstall/internal/wire"
)

// balancer forwards packets of callers to agents by its route table, and answers
// to callers.
type balancer struct {
	fleet   *fleet
	id      string
	address netip.AddrPort
	routes  *route.Table
	hosts   hostStates
}

func newBalancer(f *fleet, i int) *balancer {
	return &balancer{
		fleet:   f,
		id:      fmt.Sprintf("b%d", i),
		address: balancerAddress(i),
		hosts:   hostStates{},
	}
}

func (b *balancer) name() string { return b.id }

func (b *balancer) tick() {}

func (b *balancer) setConfig(s *config.Snapshot) {
	if b.routes == nil {
		b.routes = route.New(s, b.hosts.usable, b.fleet.policy)
		return
	}
	b.routes = b.routes.WithConfig(s, b.hosts.usable)
}

func (b *balancer) setHostState(host string, state schema.HostState) {
	b.hosts[host] = state
	if b.routes != nil {
		b.routes = b.routes.WithHosts(b.hosts.usable)
	}
}

// forward forwards a packet of a caller to an agent. The age is the time since the
// packet was received.
func (b *balancer) forward(key placement.Key, data []byte, age time.Duration) {
	if b.routes == nil {
		return
	}
	place := func() (route.Agent, schema.ErrorKind) { return b.routes.Plain(key) }
	if key.Service == requestService {
		place = func() (route.Agent, schema.ErrorKind) { return b.routes.Request(key, data) }
	}
	a, kind := place()
	if kind != schema.ErrorKind_ERROR_KIND_NONE {
		return
	}
	b.fleet.sim.send(b.id, a.Address, &schema.Frame{
		Key:           wire.FlowKey(key.Service, key.Caller),
		AgeMs:         uint32(age.Milliseconds()),
		ReturnAddress: b.address.String(),
		Body:          &schema.Frame_Packet{Packet: data},
	})
}

func (b *balancer) receive(_ time.Duration, f *schema.Frame) {
	answer, ok := f.Body.(*schema.Frame_Answer)
	if !ok {
		return
	}
	caller, err := wire.CallerAddr(f.GetKey())
	if err != nil {
		return
	}
	b.fleet.sim.callers.deliverAnswer(b.id, placement.Key{Service: f.Key.Service, Caller: caller}, answer.Answer)
}
