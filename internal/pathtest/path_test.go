// Package pathtest tests the path of packets: balancers, agents, backend
// servers and callers in one process, connected over loopback sockets.
package pathtest

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/netip"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/peridotstall/peridotstall/caller"
	"github.com/peridotstall/peridotstall/internal/agent"
	"github.com/peridotstall/peridotstall/internal/backendtest"
	"github.com/peridotstall/peridotstall/internal/balancer"
	"github.com/peridotstall/peridotstall/internal/config"
	"github.com/peridotstall/peridotstall/internal/schema"
	"github.com/peridotstall/peridotstall/internal/telemetry"
)

// conditionTimeout bounds the wait for a condition, so that a broken path fails
// the test instead of blocking it.
const conditionTimeout = 20 * time.Second

const (
	plainService   = 1
	requestService = 2
)

// fleet is a set of balancers, agents and backend servers with a fixed
// configuration.
type fleet struct {
	c         *qt.C
	ctx       context.Context
	backends  []*backendtest.Server
	agents    []*agent.Agent
	balancers []*balancer.Balancer
	metrics   []*telemetry.Metrics
	config    *schema.Config
	rng       *rand.Rand
	// backendTCP is the address of the backend server for services of mode TCP.
	backendTCP string
}

func newFleet(t *testing.T, targets, balancers int) *fleet {
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	f := &fleet{
		c:   qt.New(t),
		ctx: ctx,
		rng: rand.New(rand.NewPCG(1, 1)),
		config: &schema.Config{
			Revision: 1,
			HashKey:  []byte("0123456789abcdef"),
			Members:  []*schema.Member{{Name: "museum", Weight: 1}},
			Policies: []*schema.Policy{{
				Name:          "all",
				Services:      &schema.Selector{},
				TimeoutAction: schema.TimeoutAction_OPEN_ON_TIMEOUT,
				IdleTimeoutMs: 60000,
				Classes:       []*schema.Class{{Name: "payment", Weight: 1, QueueLimit: 64}},
			}},
		},
	}
	f.addService(plainService, "prices", schema.Mode_DATAGRAM)
	f.addService(requestService, "orders", schema.Mode_REQUEST)
	for i := range targets {
		f.addTarget(uint32(i + 1))
	}
	f.publish()
	for range balancers {
		f.addBalancer()
	}
	return f
}

func (f *fleet) addService(id uint32, name string, mode schema.Mode) {
	f.config.Services = append(f.config.Services, &schema.Service{
		Id: id, Name: name, Member: "museum", Mode: mode,
		Address: fmt.Sprintf("192.0.2.1:%d", 7000+id),
		Targets: &schema.Selector{Requirements: []*schema.Requirement{{
			Key: "role", Operator: schema.Requirement_IN, Values: []string{"shop"},
		}}},
	})
}

func common(host string) *schema.CommonSettings {
	return &schema.CommonSettings{Host: host, Zone: "z1", ControlAddress: "127.0.0.1:0"}
}

func (f *fleet) addTarget(id uint32) {
	host := fmt.Sprintf("host%d", id)
	server, err := backendtest.Start(host, time.Millisecond)
	f.c.Assert(err, qt.IsNil)
	f.c.Cleanup(server.Close)
	metrics := telemetry.NewMetrics(schema.Role_AGENT, host)
	a, err := agent.New(agent.Options{
		Settings: &schema.AgentSettings{
			Common:     common(host),
			Target:     id,
			BackendUdp: server.UDP(),
			BackendUrl: server.URL(),
			BackendTcp: f.backendTCP,
		},
		Logger:      telemetry.Discard(),
		Metrics:     metrics,
		Seed:        uint64(id),
		Incarnation: uint64(id) * 1000,
	})
	f.c.Assert(err, qt.IsNil)
	go a.Run(f.ctx)
	f.backends = append(f.backends, server)
	f.agents = append(f.agents, a)
	f.metrics = append(f.metrics, metrics)
	f.config.Targets = append(f.config.Targets, &schema.Target{
		Id: id, Host: host, Zone: "z1", Member: "museum",
		AgentAddress: a.Tunnel().Local().String(),
		Labels:       map[string]string{"role": "shop"},
		Slots:        3, Connections: 2000, Capacity: 100,
	})
}

func (f *fleet) addBalancer() {
	host := fmt.Sprintf("entry%d", len(f.balancers)+1)
	settings := &schema.BalancerSettings{Common: common(host)}
	for _, s := range f.config.Services {
		settings.Listeners = append(settings.Listeners, &schema.Listener{Service: s.Address, Bind: "127.0.0.1:0"})
	}
	b, err := balancer.New(balancer.Options{
		Settings: settings,
		Logger:   telemetry.Discard(),
		Metrics:  telemetry.NewMetrics(schema.Role_BALANCER, host),
	})
	f.c.Assert(err, qt.IsNil)
	b.SetConfig(f.snapshot())
	go b.Run(f.ctx)
	f.balancers = append(f.balancers, b)
}

func (f *fleet) snapshot() *config.Snapshot {
	s, err := config.NewSnapshot(f.config)
	f.c.Assert(err, qt.IsNil)
	return s
}

func (f *fleet) publish() {
	s := f.snapshot()
	for _, a := range f.agents {
		a.SetConfig(s)
	}
	for _, b := range f.balancers {
		b.SetConfig(s)
	}
}

func (f *fleet) addresses(service uint32) []netip.AddrPort {
	var list []netip.AddrPort
	for _, b := range f.balancers {
		address, ok := b.ListenerAddress(service)
		f.c.Assert(ok, qt.IsTrue)
		list = append(list, address)
	}
	return list
}

// exchange sends a datagram to random balancers until an answer to it arrives,
// and returns the answer.
func (f *fleet) exchange(conn *net.UDPConn, text string) string {
	addresses := f.addresses(plainService)
	buf := make([]byte, 2048)
	deadline := time.Now().Add(conditionTimeout)
	for time.Now().Before(deadline) {
		to := addresses[f.rng.IntN(len(addresses))]
		_, err := conn.WriteToUDPAddrPort([]byte(text), to)
		f.c.Assert(err, qt.IsNil)
		f.c.Assert(conn.SetReadDeadline(time.Now().Add(time.Second)), qt.IsNil)
		for {
			n, _, err := conn.ReadFromUDPAddrPort(buf)
			if err != nil {
				break
			}
			if strings.HasSuffix(string(buf[:n]), " "+text) {
				return string(buf[:n])
			}
		}
	}
	f.c.Fatalf("no answer to %q", text)
	return ""
}

// Guards against a packet that reaches another target than the owner of its
// flow because it arrives at a different balancer, also one that has just
// started.
func TestFlowKeepsOwnerAcrossBalancers(t *testing.T) {
	f := newFleet(t, 4, 2)
	for range 20 {
		conn, err := net.ListenUDP("udp", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
		f.c.Assert(err, qt.IsNil)
		defer conn.Close()
		first := strings.TrimSuffix(f.exchange(conn, "0"), "0")
		for i := range 10 {
			if i == 5 && len(f.balancers) < 4 {
				f.addBalancer()
			}
			text := fmt.Sprint(i + 1)
			f.c.Assert(f.exchange(conn, text), qt.Equals, first+text)
		}
	}
}

// Guards against an answer that is incomplete, and against a request that runs
// more than once.
func TestRequestRunsOnceAndReturnsWhole(t *testing.T) {
	f := newFleet(t, 4, 3)
	client, err := caller.Dial(caller.Settings{
		Service:   netip.MustParseAddrPort("192.0.2.1:7002"),
		Balancers: f.addresses(requestService),
		Local:     netip.MustParseAddrPort("127.0.0.1:0"),
		Seed:      1,
	})
	f.c.Assert(err, qt.IsNil)
	defer client.Close()
	for i := range 20 {
		body := fmt.Sprintf("request %d\n%s", i, strings.Repeat("x", i*1000))
		response, err := client.Do(f.ctx, caller.Request{Class: "payment", Body: []byte(body), Deadline: conditionTimeout})
		f.c.Assert(err, qt.IsNil)
		f.c.Assert(string(response.Body), qt.Equals, body)
	}
	total := 0
	for _, server := range f.backends {
		for id, runs := range server.Runs() {
			f.c.Check(runs, qt.Equals, 1, qt.Commentf("%s", id))
			total += runs
		}
	}
	f.c.Check(total, qt.Equals, 20)
}

// Guards against flows that break when their target drains or leaves the
// candidates.
func TestFlowSurvivesDrainAndConfigurationChange(t *testing.T) {
	f := newFleet(t, 4, 2)
	type openFlow struct {
		conn  *net.UDPConn
		owner string
	}
	var flows []openFlow
	for range 40 {
		conn, err := net.ListenUDP("udp", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
		f.c.Assert(err, qt.IsNil)
		defer conn.Close()
		flows = append(flows, openFlow{conn, strings.TrimSuffix(f.exchange(conn, "a"), "a")})
	}
	check := func(text string) {
		for _, flow := range flows {
			f.c.Check(f.exchange(flow.conn, text), qt.Equals, flow.owner+text)
		}
	}
	f.agents[0].SetDraining(true)
	usable := func(host string) bool { return host != "host1" }
	for _, b := range f.balancers {
		b.SetHosts(usable)
	}
	check("b")
	f.addTarget(5)
	f.config.Revision = 2
	f.config.Targets[1].Labels["role"] = "retired"
	f.publish()
	check("c")
}

// Guards against openings that wait at a busy target while another candidate is
// idle, because agents do not retry them on the next target.
func TestOpeningsAreRetriedOnIdleTarget(t *testing.T) {
	f := newFleet(t, 2, 2)
	for _, target := range f.config.Targets {
		target.Slots = 1
	}
	f.config.Revision++
	f.publish()
	client, err := caller.Dial(caller.Settings{
		Service:   netip.MustParseAddrPort("192.0.2.1:7002"),
		Balancers: f.addresses(requestService),
		Local:     netip.MustParseAddrPort("127.0.0.1:0"),
		Seed:      2,
	})
	f.c.Assert(err, qt.IsNil)
	defer client.Close()
	results := make(chan error, 60)
	for i := range 60 {
		go func() {
			_, err := client.Do(f.ctx, caller.Request{
				Class:    "payment",
				Body:     []byte(fmt.Sprintf("burst %d", i)),
				Deadline: conditionTimeout,
			})
			results <- err
		}()
	}
	for range 60 {
		f.c.Check(<-results, qt.IsNil)
	}
	retried := int64(0)
	for _, m := range f.metrics {
		retried += m.OpeningsRetried.Value()
	}
	f.c.Check(retried > 0, qt.IsTrue)
}

// Guards against requests that are lost or get an unknown outcome because the
// backend server of one target is down. Nothing was sent to it, so another
// target may run them.
func TestRequestsAvoidTargetWithBackendDown(t *testing.T) {
	f := newFleet(t, 3, 2)
	f.backends[0].Close()
	client, err := caller.Dial(caller.Settings{
		Service:   netip.MustParseAddrPort("192.0.2.1:7002"),
		Balancers: f.addresses(requestService),
		Local:     netip.MustParseAddrPort("127.0.0.1:0"),
		Seed:      3,
	})
	f.c.Assert(err, qt.IsNil)
	defer client.Close()
	for i := range 60 {
		_, err := client.Do(f.ctx, caller.Request{
			Class:    "payment",
			Body:     []byte(fmt.Sprintf("down %d", i)),
			Deadline: conditionTimeout,
		})
		f.c.Assert(err, qt.IsNil)
	}
	f.c.Check(len(f.backends[1].Runs())+len(f.backends[2].Runs()), qt.Equals, 60)
}
