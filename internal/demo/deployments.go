// Package demo runs the deployments of both members of the consortium in one process
// on loopback: the daemons, a stand-in for the platform, backend servers and callers.
// It replaces balancers, drains a backend server and changes the configuration
// meanwhile, and reports whether the promises to callers were kept.
package demo

import (
	"fmt"

	"github.com/peridotstall/peridotstall/internal/schema"
)

// deployment describes the part of the fleet that belongs to one member.
type deployment struct {
	member    string
	city      string
	zones     int
	balancers int
	pools     []pool
}

// pool describes a set of targets and the services that they serve.
type pool struct {
	name     string
	targets  int
	slots    uint32
	services []service
}

type service struct {
	id    uint32
	name  string
	mode  schema.Mode
	class string
}

// connections is the number of open flows that a target admits.
const connections = 2000

// deployments are the deployments of both members at their current sizes.
var deployments = []deployment{
	{
		member: "museum", city: "ankara", zones: 4, balancers: 3,
		pools: []pool{
			{name: "storefront", targets: 7, slots: 3, services: []service{
				{id: 1, name: "prices", mode: schema.Mode_DATAGRAM},
				{id: 2, name: "payments", mode: schema.Mode_REQUEST, class: "payment"},
			}},
			{name: "catalogue", targets: 4, slots: 3, services: []service{
				{id: 3, name: "catalogue-intake", mode: schema.Mode_REQUEST, class: "upload"},
			}},
		},
	},
	{
		member: "auction", city: "bogota", zones: 3, balancers: 3,
		pools: []pool{
			{name: "bidding", targets: 7, slots: 4, services: []service{
				{id: 4, name: "lot-feed", mode: schema.Mode_DATAGRAM},
				{id: 5, name: "bids", mode: schema.Mode_REQUEST, class: "bid"},
			}},
			{name: "inspection", targets: 3, slots: 4, services: []service{
				{id: 6, name: "inspection-intake", mode: schema.Mode_REQUEST, class: "upload"},
			}},
		},
	},
}

func serviceAddress(id uint32) string {
	return fmt.Sprintf("192.0.2.%d:7000", id)
}

func poolSelector(name string) *schema.Selector {
	return &schema.Selector{Requirements: []*schema.Requirement{{
		Key:      "pool",
		Operator: schema.Requirement_IN,
		Values:   []string{name},
	}}}
}

// policies returns the policy for all services. The floors sum to less than 100 percent,
// so that classes can borrow the rest.
func policies() []*schema.Policy {
	return []*schema.Policy{{
		Name:          "default",
		Services:      &schema.Selector{},
		TimeoutAction: schema.TimeoutAction_OPEN_ON_TIMEOUT,
		IdleTimeoutMs: 60_000,
		Classes: []*schema.Class{
			{Name: "bid", Urgency: 3, FloorPercent: 40, Weight: 4, QueueLimit: 64},
			{Name: "payment", Urgency: 2, FloorPercent: 30, Weight: 4, QueueLimit: 64},
			{Name: "upload", Urgency: 1, FloorPercent: 10, Weight: 1, QueueLimit: 64},
		},
	}}
}

// baseConfig returns the configuration without targets. Targets are added when their
// agents have started, since their addresses are assigned then.
func baseConfig() *schema.Config {
	c := &schema.Config{
		Revision: 1,
		HashKey:  []byte("demo-hash-key-16"),
		Policies: policies(),
	}
	for _, d := range deployments {
		c.Members = append(c.Members, &schema.Member{Name: d.member, Weight: 1})
		for _, p := range d.pools {
			for _, s := range p.services {
				c.Services = append(c.Services, &schema.Service{
					Id: s.id, Name: s.name, Member: d.member, Mode: s.mode,
					Address: serviceAddress(s.id),
					Labels:  map[string]string{"member": d.member, "pool": p.name},
					Targets: poolSelector(p.name),
				})
			}
		}
	}
	return c
}
