package cli

import (
	"net"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
)

// Guards against a revision that is not put in force and a stop that cuts off flows,
// exits with a status other than 0 or logs no event with the counts. The processes run
// separately, since sharing one test binary can hide such faults.
func TestProcessesServeAndStop(t *testing.T) {
	d := newDeployment(t)
	agents, balancers := d.startAll()
	flow := d.openPlain()
	at := flow.exchange("127.0.0.1:7010")
	idle := agents[0]
	if strings.HasPrefix(at, "shop1 ") {
		idle = agents[1]
	}
	d.sendRequest("127.0.0.1:7011", "127.0.0.1:7021")
	d.edit("config.json", `"revision": "1"`, `"revision": "2"`)
	d.waitState("serving", 2, balancer1, balancer2, agent1, agent2)
	balancers[0].signal()
	d.Check(balancers[0].waitExit(), qt.Equals, exitOK)
	d.Check(balancers[0].waitLine("name=stopped"), qt.Matches, ".*cut_flows=0 cut_requests=0.*")
	d.Check(flow.exchange("127.0.0.1:7020"), qt.Equals, at)
	d.sendRequest("127.0.0.1:7021")
	idle.signal()
	d.Check(idle.waitExit(), qt.Equals, exitOK)
	d.Check(idle.waitLine("name=stopped"), qt.Matches, ".*cut_flows=0 cut_requests=0.*")
	d.Check(flow.exchange("127.0.0.1:7020"), qt.Equals, at)
	d.sendRequest("127.0.0.1:7021")
}

// Guards against a second signal that is ignored, and against flows that are cut off but
// missing from the event and the exit status. The drain limit exceeds the timeout of the
// test.
func TestSecondSignalStopsImmediately(t *testing.T) {
	d := newDeployment(t)
	d.edit("agent1.toml", "drain_limit_ms = 10000", "drain_limit_ms = 3600000")
	agents, _ := d.startAll()
	d.openOnBackend("shop1", "127.0.0.1:7010")
	agents[0].signal()
	d.Check(agents[0].waitLine("name=stop_begun"), qt.Matches, ".*reason=terminated limit=1h0m0s.*")
	agents[0].signal()
	d.Check(agents[0].waitExit(), qt.Equals, exitCut)
	d.Check(agents[0].waitLine("name=stopped"), qt.Matches, ".*cut_flows=[1-9].* cut_requests=0.*")
}

// Guards against an agent upgrade that changes the source port of a flow at the backend
// server, against a predecessor that exits with an error, and against a successor with
// the wrong target or an invalid peer address that ends the running agent.
func TestTakeoverKeepsSourcePort(t *testing.T) {
	d := newDeployment(t)
	agents, _ := d.startAll()
	flow, at := d.openOnBackend("shop2", "127.0.0.1:7010")
	d.edit("agent1.toml", "target = 1", "target = 1\ntakeover_address = \""+d.replaceAddresses(agent2)+"\"")
	rejected := d.start("agent", "--settings", "agent1.toml")
	d.Check(rejected.waitExit(), qt.Equals, exitFailed)
	d.Check(rejected.waitLine("target"), qt.Matches, ".*serves target 2, the successor target 1")
	d.Check(flow.exchange("127.0.0.1:7020"), qt.Equals, at)

	d.edit("agent2.toml", "peers = [", "peers = [\"nonsense\", ")
	d.edit("agent2.toml", "target = 2", "target = 2\ntakeover_address = \""+d.replaceAddresses(agent2)+"\"")
	rejected = d.start("agent", "--settings", "agent2.toml")
	d.Check(rejected.waitExit(), qt.Not(qt.Equals), exitOK)
	d.Check(flow.exchange("127.0.0.1:7020"), qt.Equals, at)

	successor := d.start("agent", "--settings", "agent2-upgrade.toml")
	successor.waitLine("name=process_ready")
	d.Check(agents[1].waitExit(), qt.Equals, exitOK)
	d.Check(agents[1].waitLine("name=stopped"), qt.Matches, ".*cut_flows=0 cut_requests=0.*")
	d.Check(flow.exchange("127.0.0.1:7010"), qt.Equals, at)
	d.Check(flow.exchange("127.0.0.1:7020"), qt.Equals, at)
	d.sendRequest("127.0.0.1:7011")
}

// Guards against processes that exit or stop retrying when the configuration service is
// down at their start. The growth of the retry delay is tested on a virtual clock in
// internal/confsync.
func TestStartWithoutConfigurationService(t *testing.T) {
	d := newDeployment(t)
	service, err := net.Listen("tcp", d.replaceAddresses("127.0.0.1:7200"))
	d.Assert(err, qt.IsNil)
	defer service.Close()
	d.startBackend(1)
	d.startBackend(2)
	agent := d.start("agent", "--settings", "agent1.toml")
	balancer := d.start("balancer", "--settings", "balancer1.toml")
	d.start("agent", "--settings", "agent2.toml")
	d.start("balancer", "--settings", "balancer2.toml")
	for range 12 {
		conn, err := service.Accept()
		d.Assert(err, qt.IsNil)
		conn.Close()
	}
	d.waitState("joining", 0, balancer1, balancer2, agent1, agent2)
	agent.waitLine("name=config_service_unreachable")
	balancer.waitLine("name=config_service_unreachable")
	service.Close()
	d.startPlatform()
	d.waitState("serving", 1, balancer1, balancer2, agent1, agent2)
	agent.waitLine("name=config_service_reachable")
	d.sendRequest("127.0.0.1:7011")
}

// Guards against a killed agent that still gets new flows, and a restarted one that gets
// none.
func TestKilledAgentGetsNoFlowsUntilRestart(t *testing.T) {
	d := newDeployment(t)
	agents, balancers := d.startAll()
	d.Assert(agents[1].command.Process.Kill(), qt.IsNil)
	balancers[0].waitLine("name=host_dead failed_host=storefront2")
	for range 10 {
		d.Check(d.openPlain().exchange("127.0.0.1:7010"), qt.Matches, "shop1 .*")
	}
	agents[0].waitLine("name=flow_opened_out_of_order count=")
	d.start("agent", "--settings", "agent2.toml")
	balancers[0].waitLine("name=host_back failed_host=storefront2")
	d.openOnBackend("shop2", "127.0.0.1:7010")
}
