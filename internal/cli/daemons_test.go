package cli

import (
	"net"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
)

// Guards against processes that work inside one test binary only: a revision
// that is not put in force, and a stop that cuts flows or has another exit status
// than 0 and no event with the counts.
func TestProcessesServeAndStop(t *testing.T) {
	x := newTrial(t)
	agents, balancers := x.startAll()
	flow := x.openPlain()
	at := flow.backend("127.0.0.1:7010")
	idle := agents[0]
	if strings.HasPrefix(at, "shop1 ") {
		idle = agents[1]
	}
	x.request("127.0.0.1:7011", "127.0.0.1:7021")
	x.edit("config.json", `"revision": "1"`, `"revision": "2"`)
	x.reach("serving", 2, balancer1, balancer2, agent1, agent2)
	balancers[0].signal()
	x.Check(balancers[0].exit(), qt.Equals, exitOK)
	x.Check(balancers[0].line("name=stopped"), qt.Matches, ".*cut_flows=0 cut_requests=0.*")
	x.Check(flow.backend("127.0.0.1:7020"), qt.Equals, at)
	x.request("127.0.0.1:7021")
	idle.signal()
	x.Check(idle.exit(), qt.Equals, exitOK)
	x.Check(idle.line("name=stopped"), qt.Matches, ".*cut_flows=0 cut_requests=0.*")
	x.Check(flow.backend("127.0.0.1:7020"), qt.Equals, at)
	x.request("127.0.0.1:7021")
}

// Guards against a second signal that is ignored, and against a cut that the
// event and the exit status do not state. The drain limit is above the limit of
// the test.
func TestSecondSignalEndsAtOnce(t *testing.T) {
	x := newTrial(t)
	x.edit("agent1.toml", "drain_limit_ms = 10000", "drain_limit_ms = 3600000")
	agents, _ := x.startAll()
	x.openAt("shop1", "127.0.0.1:7010")
	agents[0].signal()
	x.Check(agents[0].line("name=stop_begun"), qt.Matches, ".*reason=terminated limit=1h0m0s.*")
	agents[0].signal()
	x.Check(agents[0].exit(), qt.Equals, exitCut)
	x.Check(agents[0].line("name=stopped"), qt.Matches, ".*cut_flows=[1-9].* cut_requests=0.*")
}

// Guards against an upgrade of an agent that the backend server notices, against a
// predecessor that ends with an error, and against a successor with the wrong
// target, or with a peer that is no address, that ends the running agent.
func TestTakeoverKeepsTheSourcePort(t *testing.T) {
	x := newTrial(t)
	agents, _ := x.startAll()
	flow, at := x.openAt("shop2", "127.0.0.1:7010")
	x.edit("agent1.toml", "target = 1", "target = 1\ntakeover_address = \""+x.replace(agent2)+"\"")
	wrong := x.start("agent", "--settings", "agent1.toml")
	x.Check(wrong.exit(), qt.Equals, exitFailed)
	x.Check(wrong.line("target"), qt.Matches, ".*serves target 2, the successor target 1")
	x.Check(flow.backend("127.0.0.1:7020"), qt.Equals, at)

	x.edit("agent2.toml", "peers = [", "peers = [\"nonsense\", ")
	x.edit("agent2.toml", "target = 2", "target = 2\ntakeover_address = \""+x.replace(agent2)+"\"")
	wrong = x.start("agent", "--settings", "agent2.toml")
	x.Check(wrong.exit(), qt.Not(qt.Equals), exitOK)
	x.Check(flow.backend("127.0.0.1:7020"), qt.Equals, at)

	successor := x.start("agent", "--settings", "agent2-upgrade.toml")
	successor.line("name=process_ready")
	x.Check(agents[1].exit(), qt.Equals, exitOK)
	x.Check(agents[1].line("name=stopped"), qt.Matches, ".*cut_flows=0 cut_requests=0.*")
	x.Check(flow.backend("127.0.0.1:7010"), qt.Equals, at)
	x.Check(flow.backend("127.0.0.1:7020"), qt.Equals, at)
	x.request("127.0.0.1:7011")
}

// Guards against processes that end, or give up, when the configuration service is
// down at their start. That the waits grow is tested on a virtual clock in
// internal/confsync.
func TestStartWithoutConfigurationService(t *testing.T) {
	x := newTrial(t)
	service, err := net.Listen("tcp", x.replace("127.0.0.1:7200"))
	x.Assert(err, qt.IsNil)
	defer service.Close()
	x.startBackend(1)
	x.startBackend(2)
	agent := x.start("agent", "--settings", "agent1.toml")
	balancer := x.start("balancer", "--settings", "balancer1.toml")
	x.start("agent", "--settings", "agent2.toml")
	x.start("balancer", "--settings", "balancer2.toml")
	for range 12 {
		conn, err := service.Accept()
		x.Assert(err, qt.IsNil)
		conn.Close()
	}
	x.reach("joining", 0, balancer1, balancer2, agent1, agent2)
	agent.line("name=config_service_unreachable")
	balancer.line("name=config_service_unreachable")
	service.Close()
	x.startPlatform()
	x.reach("serving", 1, balancer1, balancer2, agent1, agent2)
	agent.line("name=config_service_reachable")
	x.request("127.0.0.1:7011")
}

// Guards against a process that was killed and gets new work, and one that is not
// used again after its return.
func TestKilledAgentAndReturn(t *testing.T) {
	x := newTrial(t)
	agents, balancers := x.startAll()
	x.Assert(agents[1].command.Process.Kill(), qt.IsNil)
	balancers[0].line("name=host_dead failed_host=storefront2")
	for range 10 {
		x.Check(x.openPlain().backend("127.0.0.1:7010"), qt.Matches, "shop1 .*")
	}
	agents[0].line("name=flow_opened_out_of_order count=")
	x.start("agent", "--settings", "agent2.toml")
	balancers[0].line("name=host_back failed_host=storefront2")
	x.openAt("shop2", "127.0.0.1:7010")
}
