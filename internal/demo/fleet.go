package demo

import (
	"context"
	"fmt"
	"net/netip"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/peridotstall/peridotstall/internal/backendtest"
	"github.com/peridotstall/peridotstall/internal/daemon"
	"github.com/peridotstall/peridotstall/internal/platform/platformtest"
	"github.com/peridotstall/peridotstall/internal/route"
	"github.com/peridotstall/peridotstall/internal/schema"
	"github.com/peridotstall/peridotstall/internal/telemetry"
)

const (
	// serviceTime is the time that a backend server of capacity 100 takes for a request.
	serviceTime = 4 * time.Millisecond
	// readyTimeout limits the time until all processes serve.
	readyTimeout = 20 * time.Second
	// stopGraceMs is the grace period of a stopping balancer in milliseconds.
	stopGraceMs = 500
)

// capacities are the relative speeds that targets get in rotation. They differ as on
// hosts that were bought over many years.
var capacities = []uint32{100, 200, 100, 400, 200, 100, 200}

// fleetOptions select the placement policy and the logger of the daemons.
type fleetOptions struct {
	baseline bool
	logger   *telemetry.Logger
}

// fleet is the set of daemons and backend servers of all members, with the platform
// stand-in that configures them.
type fleet struct {
	options  fleetOptions
	platform *platformtest.Service
	targets  []*target

	mu               sync.Mutex
	config           *schema.Config
	hosts            map[string]*schema.Host
	hostOrder        []string
	hostsVersion     uint64
	balancers        map[string][]*memberBalancer // by member
	balancersStarted int
}

// target is a backend server with its agent.
type target struct {
	id       uint32
	member   string
	pool     string
	capacity uint32
	backend  *backendtest.Server
	agent    *daemon.Agent
}

// memberBalancer is a running balancer of a member.
type memberBalancer struct {
	host     string
	balancer *daemon.Balancer
}

func startFleet(o fleetOptions) (*fleet, error) {
	f := &fleet{
		options:   o,
		config:    baseConfig(),
		hosts:     map[string]*schema.Host{},
		balancers: map[string][]*memberBalancer{},
	}
	server, err := platformtest.New()
	if err != nil {
		return nil, err
	}
	f.platform = server
	for _, d := range deployments {
		if err := f.startDeployment(d); err != nil {
			f.close()
			return nil, err
		}
	}
	err = f.publish()
	if err == nil {
		err = f.waitReady()
	}
	if err != nil {
		f.close()
		return nil, err
	}
	return f, nil
}

func (f *fleet) startDeployment(d deployment) error {
	for _, p := range d.pools {
		for i := range p.targets {
			if err := f.startTarget(d, p, i); err != nil {
				return err
			}
		}
	}
	for range d.balancers {
		if err := f.startBalancer(d); err != nil {
			return err
		}
	}
	return nil
}

func (f *fleet) common(host, zone string) *schema.CommonSettings {
	return &schema.CommonSettings{
		Host:           host,
		Zone:           zone,
		ControlAddress: "127.0.0.1:0",
		RpcAddress:     "127.0.0.1:0",
		ConfigUrl:      f.platform.URL(),
		Peers:          f.peers(),
	}
}

// peers returns the addresses of up to three running processes.
func (f *fleet) peers() []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	var list []string
	for _, name := range f.hostOrder {
		if host := f.hosts[name]; host != nil && len(list) < 3 {
			list = append(list, host.Address)
		}
	}
	return list
}

func (f *fleet) startTarget(d deployment, p pool, i int) error {
	id := uint32(len(f.targets) + 1)
	host := fmt.Sprintf("%s-%s%d", d.city, p.name, i+1)
	zone := fmt.Sprintf("%s-%d", d.city, i%d.zones+1)
	capacity := capacities[i%len(capacities)]
	backend, err := backendtest.Start(host, serviceTime*100/time.Duration(capacity))
	if err != nil {
		return err
	}
	t := &target{id: id, member: d.member, pool: p.name, capacity: capacity, backend: backend}
	f.targets = append(f.targets, t)
	t.agent, err = daemon.StartAgent(&schema.AgentSettings{
		Common:       f.common(host, zone),
		Target:       id,
		BackendUdp:   backend.UDP(),
		BackendUrl:   backend.URL(),
		DrainLimitMs: 5000,
	}, f.options.logger, daemon.AgentOptions{Baseline: f.options.baseline})
	if err != nil {
		return err
	}
	f.addHost(host, zone, t.agent.Address(), schema.Role_AGENT)
	f.mu.Lock()
	defer f.mu.Unlock()
	f.config.Targets = append(f.config.Targets, &schema.Target{
		Id: id, Host: host, Zone: zone, Member: d.member,
		AgentAddress: t.agent.Address().String(),
		Labels:       map[string]string{"pool": p.name, "member": d.member},
		Slots:        p.slots, Connections: connections, Capacity: capacity,
	})
	return nil
}

func (f *fleet) startBalancer(d deployment) error {
	f.balancersStarted++
	host := fmt.Sprintf("%s-entry%d", d.city, f.balancersStarted)
	zone := fmt.Sprintf("%s-%d", d.city, f.balancersStarted%d.zones+1)
	settings := &schema.BalancerSettings{Common: f.common(host, zone), StopGraceMs: stopGraceMs}
	for _, p := range d.pools {
		for _, s := range p.services {
			settings.Listeners = append(settings.Listeners, &schema.Listener{
				Service: serviceAddress(s.id),
				Bind:    "127.0.0.1:0",
			})
		}
	}
	policy := route.Candidates
	if f.options.baseline {
		policy = route.PlainHash
	}
	b, err := daemon.StartBalancer(settings, f.options.logger, policy)
	if err != nil {
		return err
	}
	f.addHost(host, zone, b.Address(), schema.Role_BALANCER)
	f.mu.Lock()
	defer f.mu.Unlock()
	f.balancers[d.member] = append(f.balancers[d.member], &memberBalancer{host: host, balancer: b})
	return nil
}

func (f *fleet) addHost(name, zone string, address netip.AddrPort, role schema.Role) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.hosts[name] = &schema.Host{
		Name: name, Zone: zone, Address: address.String(), Role: role, State: schema.HostState_LIVE,
	}
	f.hostOrder = append(f.hostOrder, name)
}

func (f *fleet) removeHost(name string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	delete(f.hosts, name)
}

// publish publishes the current configuration and host list.
func (f *fleet) publish() error {
	f.mu.Lock()
	defer f.mu.Unlock()
	if err := f.platform.Publish(f.config); err != nil {
		return errors.Wrap(err, "publish configuration")
	}
	f.hostsVersion++
	list := &schema.HostList{Version: f.hostsVersion}
	for _, name := range f.hostOrder {
		if host := f.hosts[name]; host != nil {
			list.Hosts = append(list.Hosts, host)
		}
	}
	f.platform.SetHosts(list)
	return nil
}

// change edits the configuration, publishes it as the next revision and returns the
// revision.
func (f *fleet) change(edit func(c *schema.Config)) (uint64, error) {
	f.mu.Lock()
	edit(f.config)
	f.config.Revision++
	revision := f.config.Revision
	f.mu.Unlock()
	return revision, f.publish()
}

func (f *fleet) waitReady() error {
	ctx, cancel := context.WithTimeout(context.Background(), readyTimeout)
	defer cancel()
	for _, t := range f.targets {
		if err := wait(ctx, t.agent.Ready()); err != nil {
			return errors.Wrapf(err, "agent of target %d", t.id)
		}
	}
	for _, list := range f.balancers {
		for _, e := range list {
			if err := wait(ctx, e.balancer.Ready()); err != nil {
				return errors.Wrapf(err, "balancer %s", e.host)
			}
		}
	}
	return nil
}

func wait(ctx context.Context, ready <-chan struct{}) error {
	select {
	case <-ready:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// addresses returns the addresses of a service at all balancers of a member that the
// fabric sends packets to.
func (f *fleet) addresses(member string, service uint32) []netip.AddrPort {
	f.mu.Lock()
	defer f.mu.Unlock()
	var list []netip.AddrPort
	for _, e := range f.balancers[member] {
		if address, ok := e.balancer.ListenerAddress(service); ok {
			list = append(list, address)
		}
	}
	return list
}

// lowestRevision returns the lowest revision in force at any process.
func (f *fleet) lowestRevision() uint64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	lowest := ^uint64(0)
	for _, t := range f.targets {
		lowest = min(lowest, t.agent.Revision())
	}
	for _, list := range f.balancers {
		for _, e := range list {
			lowest = min(lowest, e.balancer.Revision())
		}
	}
	return lowest
}

// replaceBalancer starts a new balancer of a member, removes the oldest one from the
// fabric and stops it.
func (f *fleet) replaceBalancer(ctx context.Context, d deployment) error {
	if err := f.startBalancer(d); err != nil {
		return err
	}
	if err := f.publish(); err != nil {
		return err
	}
	f.mu.Lock()
	list := f.balancers[d.member]
	newest := list[len(list)-1]
	f.mu.Unlock()
	if err := wait(ctx, newest.balancer.Ready()); err != nil {
		return errors.Wrapf(err, "balancer %s", newest.host)
	}
	f.mu.Lock()
	oldest := f.balancers[d.member][0]
	f.balancers[d.member] = f.balancers[d.member][1:]
	f.mu.Unlock()
	oldest.balancer.Stop(ctx, "replaced")
	f.removeHost(oldest.host)
	return f.publish()
}

func (f *fleet) close() {
	for _, list := range f.balancers {
		for _, e := range list {
			e.balancer.Kill()
		}
	}
	for _, t := range f.targets {
		if t.agent != nil {
			t.agent.Kill()
		}
		t.backend.Close()
	}
	f.platform.Close()
}
