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

// fleet holds the processes and the configuration that scripts publish.
type fleet struct {
	sim           *simulation
	policy        route.Policy
	timeoutAction schema.TimeoutAction
	targetSlots   uint32
	config        *schema.Config
	agents        map[uint32]*agent
	balancers     []*balancer
	// disabled holds the names of the mechanisms that the script disabled.
	disabled map[string]bool
}

func newFleet(sim *simulation, policy route.Policy, action schema.TimeoutAction, slots uint32) *fleet {
	f := &fleet{
		sim:           sim,
		policy:        policy,
		timeoutAction: action,
		targetSlots:   slots,
		agents:        map[uint32]*agent{},
		disabled:      map[string]bool{},
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
		Slots:        f.targetSlots, Connections: 2000, Capacity: 100,
	})
}

// retireTarget removes a target from all services but leaves it configured, which is
// the first step of an operator who removes a target.
func (f *fleet) retireTarget(id uint32) {
	for _, t := range f.config.Targets {
		if t.Id == id {
			t.Labels["serves"] = "none"
		}
	}
}

func (f *fleet) restoreTarget(id uint32) {
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

// start adds and starts the targets and balancers, and publishes the configuration.
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
	f.sim.add(a, agentAddress(id))
}

func (f *fleet) startBalancer() {
	b := newBalancer(f, len(f.balancers)+1)
	f.balancers = append(f.balancers, b)
	f.sim.add(b, b.address)
}

// publish applies the configuration at the named processes, or at all if the list
// is empty. Dead and paused processes are left out.
func (f *fleet) publish(names []string) error {
	s, err := f.snapshot()
	if err != nil {
		return err
	}
	for _, name := range f.runningProcesses(names) {
		switch p := f.sim.processes[name].process.(type) {
		case *agent:
			p.setConfig(s)
		case *balancer:
			p.setConfig(s)
		}
	}
	return nil
}

// setHostState sets the state of a host in the views of the named processes, or of
// all if the list is empty. Dead and paused processes are left out.
func (f *fleet) setHostState(names []string, host string, state schema.HostState) {
	for _, name := range f.runningProcesses(names) {
		switch p := f.sim.processes[name].process.(type) {
		case *agent:
			p.setHostState(host, state)
		case *balancer:
			p.setHostState(host, state)
		}
	}
}

// runningProcesses returns the processes of a list that are neither dead nor paused,
// or all such processes if the list is empty.
func (f *fleet) runningProcesses(names []string) []string {
	if len(names) == 0 {
		names = f.sim.order
	}
	var list []string
	for _, name := range names {
		if s := f.sim.processes[name]; s != nil && !s.dead && !s.paused {
			list = append(list, name)
		}
	}
	return list
}

// hostStates is the view that one process has of the hosts. A missing host is live.
type hostStates map[string]schema.HostState

func (h hostStates) usable(host string) bool {
	return h[host] != schema.HostState_DEAD && h[host] != schema.HostState_LEAVING
}

func (h hostStates) dead(host string) bool {
	return h[host] == schema.HostState_DEAD
}
