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

// balancer places packets by route and passes answers to the callers.
type balancer struct {
	fleet   *fleet
	label   string
	address netip.AddrPort
	routes  *route.Table
	beliefs beliefs
}

func newBalancer(f *fleet, i int) *balancer {
	return &balancer{
		fleet:   f,
		label:   fmt.Sprintf("b%d", i),
		address: balancerAddress(i),
		beliefs: beliefs{},
	}
}

func (b *balancer) name() string { return b.label }

func (b *balancer) tick() {}

func (b *balancer) setConfig(s *config.Snapshot) {
	if b.routes == nil {
		b.routes = route.New(s, b.beliefs.usable, b.fleet.policy)
		return
	}
	b.routes = b.routes.WithConfig(s, b.beliefs.usable)
}

func (b *balancer) believe(host string, state schema.HostState) {
	b.beliefs[host] = state
	if b.routes != nil {
		b.routes = b.routes.WithHosts(b.beliefs.usable)
	}
}

// fromCaller forwards a packet of a caller; age is the time that it waited.
func (b *balancer) fromCaller(key placement.Key, data []byte, age time.Duration) {
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
	b.fleet.world.send(b.label, a.Address, &schema.Frame{
		Key:           wire.Key(key.Service, key.Caller),
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
	caller, err := wire.Caller(f.GetKey())
	if err != nil {
		return
	}
	b.fleet.world.callers.answer(b.label, placement.Key{Service: f.Key.Service, Caller: caller}, answer.Answer)
}
