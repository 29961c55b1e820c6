package scenario

import (
	"fmt"
	"net/netip"

	"github.com/peridotstall/peridotstall/internal/config"
	"github.com/peridotstall/peridotstall/internal/route"
	"github.com/peridotstall/peridotstall/internal/schema"
)

const (
	plainService   = 1
	requestService = 2
)

// fleet is the set of processes and the configuration that scripts publish.
type fleet struct {
	world     *world
	policy    route.Policy
	action    schema.TimeoutAction
	slots     uint32
	config    *schema.Config
	agents    map[uint32]*agent
	balancers []*balancer
	// disabled names the mechanisms that a script switched off.
	disabled map[string]bool
}

func newFleet(w *world, policy route.Policy, action schema.TimeoutAction, slots uint32) *fleet {
	f := &fleet{
		world:    w,
		policy:   policy,
		action:   action,
		slots:    slots,
		agents:   map[uint32]*agent{},
		disabled: map[string]bool{},
		config: &schema.Config{
			Revision: 1,
			HashKey:  []byte("scenario hash key")[:16],
			Members:  []*schema.Member{{Name: "museum", Weight: 1}, {Name: "auction", Weight: 1}},
		},
	}
	f.config.Policies = []*schema.Policy{{
		Name:          "all",
		Services:      &schema.Selector{},
		TimeoutAction: action,
		IdleTimeoutMs: 600_000,
		Classes: []*schema.Class{
			{Name: "bid", Urgency: 3, FloorPercent: 40, Weight: 4, QueueLimit: 32},
			{Name: "payment", Urgency: 2, FloorPercent: 30, Weight: 4, QueueLimit: 32},
			{Name: "upload", Urgency: 1, FloorPercent: 10, Weight: 1, QueueLimit: 32},
		},
	}}
	f.addService(plainService, "prices", schema.Mode_DATAGRAM)
	f.addService(requestService, "orders", schema.Mode_REQUEST)
	return f
}

func (f *fleet) addService(id uint32, name string, mode schema.Mode) {
	f.config.Services = append(f.config.Services, &schema.Service{
		Id: id, Name: name, Member: "museum", Mode: mode,
		Address: fmt.Sprintf("192.0.2.1:%d", 7000+id),
		Targets: &schema.Selector{Requirements: []*schema.Requirement{{
			Key: "serves", Operator: schema.Requirement_IN, Values: []string{"shop"},
		}}},
	})
}

func (f *fleet) addTarget(id uint32) {
	f.config.Targets = append(f.config.Targets, &schema.Target{
		Id: id, Host: hostName(id), Zone: "z1", Member: "museum",
		AgentAddress: agentAddress(id).String(),
		Labels:       map[string]string{"serves": "shop"},
		Slots:        f.slots, Connections: 2000, Capacity: 100,
	})
}

// retire takes a target out of all services but leaves it configured, as an
// operator does first.
func (f *fleet) retire(id uint32) {
	for _, t := range f.config.Targets {
		if t.Id == id {
			t.Labels["serves"] = "none"
		}
	}
}

func (f *fleet) restore(id uint32) {
	for _, t := range f.config.Targets {
		if t.Id == id {
			t.Labels["serves"] = "shop"
		}
	}
}

func hostName(id uint32) string {
	return fmt.Sprintf("host%d", id)
}

func agentAddress(id uint32) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(id >> 8), byte(id)}), 7000)
}

func balancerAddress(i int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 1, 0, byte(i)}), 7000)
}

func (f *fleet) snapshot() (*config.Snapshot, error) {
	return config.NewSnapshot(f.config)
}

// start builds the agents and balancers.
func (f *fleet) start(targets, balancers int) error {
	for i := range targets {
		f.addTarget(uint32(i + 1))
	}
	for i := range targets {
		f.startAgent(uint32(i + 1))
	}
	for range balancers {
		f.startBalancer()
	}
	return f.publish(nil)
}

func (f *fleet) startAgent(id uint32) {
	a := newAgent(f, id)
	f.agents[id] = a
	f.world.add(a, agentAddress(id))
}

func (f *fleet) startBalancer() {
	b := newBalancer(f, len(f.balancers)+1)
	f.balancers = append(f.balancers, b)
	f.world.add(b, b.address)
}

// publish puts the configuration in force at the named processes, or at all
// when the list is empty.
func (f *fleet) publish(names []string) error {
	s, err := f.snapshot()
	if err != nil {
		return err
	}
	for _, name := range f.running(names) {
		switch p := f.world.slots[name].process.(type) {
		case *agent:
			p.setConfig(s)
		case *balancer:
			p.setConfig(s)
		}
	}
	return nil
}

// believe sets what processes believe about a host.
func (f *fleet) believe(names []string, host string, state schema.HostState) {
	for _, name := range f.running(names) {
		switch p := f.world.slots[name].process.(type) {
		case *agent:
			p.believe(host, state)
		case *balancer:
			p.believe(host, state)
		}
	}
}

// running returns the running processes of a list, or all running ones.
func (f *fleet) running(names []string) []string {
	if len(names) == 0 {
		names = f.world.names
	}
	var list []string
	for _, name := range names {
		if s := f.world.slots[name]; s != nil && !s.dead && !s.paused {
			list = append(list, name)
		}
	}
	return list
}

// beliefs is the view of the hosts of one process.
type beliefs map[string]schema.HostState

func (b beliefs) usable(host string) bool {
	return b[host] != schema.HostState_DEAD && b[host] != schema.HostState_LEAVING
}

func (b beliefs) dead(host string) bool {
	return b[host] == schema.HostState_DEAD
}
