package capacity

import (
	"fmt"
	"math"
)

// messages returns the line of messages that are exchanged continuously at a rate
// per second, with the processor time for that rate.
func messages(role Role, item string, rate, frame float64, mechanism string) Line {
	return Line{
		Role: role, Scope: Control, Item: item,
		Messages: rate, Bytes: rate * (frame + headers), Processor: rate * messageTime,
		Mechanism: mechanism, Basis: WorkedOut,
	}
}

// commonLines returns the control lines of every process.
func commonLines(role Role, s Size) []Line {
	changes := s.changesPerSecond()
	lines := []Line{
		messages(role, "RevisionNote", 4*exchangePeers, revisionNoteFrame, "exchange with 2 random peers per second, with replies (confsync)"),
		messages(role, "ConfigDelta", changes*(1+fanOut), deltaFrame, "tree of fan-out 8 (confsync); figures of an inner process, 7 of 8 processes only receive"),
		messages(role, "ConfigPull", 2*lossShare*changes, pullFrame, "pull of lost deltas, assumed 1% (confsync)"),
		chunks(role, s),
		messages(role, "Probe", 2*probers, probeFrame, "3 probers per process, every second (membership)"),
		messages(role, "ProbeReply", 2*probers, probeReplyFrame, "reply to each probe (membership)"),
		messages(role, "Announce", 2*probers/float64(announceProbes), announceFrame, "repeated to the probers after 16 probes (membership)"),
		messages(role, "Verdict", verdictRate(s), verdictFrame, "between the probers of a suspected process (membership)"),
		messages(role, "host events", 2*s.eventsPerSecond(), eventBytes+batchFrame, "batches on 32 trees (membership), sent as ConfigChunk without content"),
	}
	return append(lines, configurationLines(role, s)...)
}

// chunks returns the line of the transfers to restarted processes, as a mean over
// the day.
func chunks(role Role, s Size) Line {
	bytes := 2 * (s.restartsPerDay() + s.failuresPerDay()) * s.joinBytes() / day / s.processes()
	l := messages(role, "ConfigChunk", bytes/chunkData, chunkData, "transfer of configuration and host list to restarted processes (confsync), mean of a day")
	l.State = "encoded content for 5 s after its last use"
	return l
}

// joinBytes returns the number of bytes that a starting process receives.
func (s *Size) joinBytes() float64 {
	return configEncoded*float64(s.Targets) + hostEncoded*s.processes()
}

// verdictRate returns the mean rate of verdicts at a process. It assumes that two
// probers send their suspicion to the others every second for the 3 s until the
// verdict is spread.
func verdictRate(s Size) float64 {
	return 2 * s.failuresPerDay() * probers * (probers - 1) * 3 / day / s.processes()
}

// supersededConfigurations returns the number of superseded configurations that a
// process holds.
func (s *Size) supersededConfigurations() float64 {
	return min(maxSuperseded, math.Ceil(s.changesPerSecond()*supersededWindow))
}

// configurationLines returns the lines of the configuration and the hosts that
// every process holds.
func configurationLines(role Role, s Size) []Line {
	targets := float64(s.Targets)
	config := Line{
		Role: role, Scope: Control, Item: "configuration in force",
		State:     fmt.Sprintf("%s targets, %s services", grouped(targets), grouped(float64(s.Services))),
		Memory:    configHeap * targets,
		Processor: s.changesPerSecond() * (changeBase + changePerTarget*targets),
		Mechanism: "store, one delta at a time (config)", Basis: Measured,
	}
	if config.Memory > budgetMemory/2 {
		config.Limit = "takes more than half of the memory budget of a node in each process; a compact form (the encoded one has 107 bytes per target) and, at agents, only the services that they serve would reach it; untested"
	}
	superseded := Line{
		Role: role, Scope: Control, Item: "superseded configurations",
		State:     fmt.Sprintf("%.0f within the window of 60 s", s.supersededConfigurations()),
		Memory:    s.supersededConfigurations() * supersededHeap * targets,
		Processor: s.changesPerSecond() * supersededHeap * targets * collectionPerByte,
		Mechanism: "store (config); base of deltas and earlier candidates", Basis: Measured,
	}
	if superseded.Memory > budgetMemory/8 {
		superseded.Limit = "grows with the rate of changes times the size; holding the deltas instead of the configurations would reach it; untested"
	}
	hosts := Line{
		Role: role, Scope: Control, Item: "host list and events",
		State:     fmt.Sprintf("%s processes", grouped(s.processes())),
		Memory:    (hostHeap + eventHeap) * s.processes(),
		Mechanism: "compact list (hostlist, measured) and event table (membership, worked out)", Basis: WorkedOut,
	}
	return []Line{config, superseded, hosts}
}

// joining returns the load of a process in the seconds after its start.
func joining(role Role, s Size) Line {
	bytes := s.joinBytes()
	l := Line{
		Role: role, Scope: Peak, Item: "join",
		State: fmt.Sprintf("%s received once, in at least %s, and %s of processor time to accept it",
			amount(bytes, "B"), duration(bytes/transferRate), duration(acceptPerTarget*float64(s.Targets))),
		Messages: transferRate / chunkData, Bytes: min(bytes, transferRate),
		Memory:    bytes,
		Mechanism: "transfer from a peer at up to 2 MiB/s (confsync)", Basis: WorkedOut,
	}
	if l.Bytes > budgetBytes {
		l.Limit = fmt.Sprintf("%.0f times the bytes of the budget while it lasts, at receiver and sender; within the budget it would take %.0f s", l.Bytes/budgetBytes, bytes/budgetBytes)
	}
	return l
}

// announceLeaving returns the line of the announcement of a stopping process, which
// is sent to two processes of each zone and repeated three times within 2.1 s.
func announceLeaving(role Role, s Size) Line {
	count := 4 * 2 * float64(s.Zones)
	l := Line{
		Role: role, Scope: Peak, Item: "announce leaving",
		State:    fmt.Sprintf("%s messages in 2.1 s", grouped(count)),
		Messages: count / 2.1, Bytes: count / 2.1 * (announceFrame + headers), Processor: count / 2.1 * messageTime,
		Mechanism: "Announce to two processes of each zone, repeated (membership)", Basis: WorkedOut,
	}
	l.Limit = excessBytes(l.Bytes)
	return l
}

func balancerLines(s Size) []Line {
	targets := float64(s.Targets)
	table := Line{
		Role: Balancer, Scope: Control, Item: "route table",
		State:     "placement and one agent per target",
		Memory:    routeHeap * targets,
		Processor: s.changesPerSecond() * targets * (routePerTarget + routeHeap*collectionPerByte),
		Mechanism: "copied after each change, with only the changed targets and services rebuilt (route)", Basis: Measured,
	}
	views := Line{
		Role: Balancer, Scope: Control, Item: "changes of the host view",
		State: fmt.Sprintf("%s per change with %s hosts not live; %s changes per day",
			duration(viewTime(s.notLive())), grouped(s.notLive()), grouped(day*s.eventsPerSecond())),
		Processor: s.eventsPerSecond() * viewTime(s.notLive()),
		Mechanism: "looks up only the hosts that are not live in one of the two views (route)", Basis: Measured,
	}
	listeners := Line{
		Role: Balancer, Scope: Control, Item: "service addresses",
		State:     fmt.Sprintf("%s sockets and goroutines", grouped(float64(s.Services))),
		Memory:    listenerHeap * float64(s.Services),
		Mechanism: "one listener per address (balancer)", Basis: Measured,
	}
	if s.Services > 1024 {
		listeners.Limit = "needs an open-file limit above 1,024 and, besides the memory shown, up to 4 MB of receive queue in the kernel per address under load; a list of listeners per balancer limits both"
	}
	relay := Line{
		Role: Balancer, Scope: Callers, Item: "TCP relay", Basis: WorkedOut,
		State:     "2 sockets and 2 goroutines per connection, at most 16,384 connections",
		Mechanism: "package relay",
		Limit:     "a relayed connection ends with its balancer",
	}
	openings := Line{
		Role: Balancer, Scope: Callers, Item: "new flows",
		State:     fmt.Sprintf("none; %.0f new flows per second for each balancer", float64(s.NewFlowsPerSecond)/float64(s.Nodes)),
		Mechanism: "placed like any packet", Basis: WorkedOut,
	}
	lines := append(commonLines(Balancer, s), table, views, listeners, joining(Balancer, s), announceLeaving(Balancer, s))
	return append(lines, packets(Balancer, "tunnel frames, 1,000 packets/s", balancerPacket), openings, relay)
}

// packets returns the cost of 1,000 packets of callers per second, with the processor
// time per packet in seconds.
func packets(role Role, item string, perPacket float64) Line {
	return Line{
		Role: role, Scope: Callers, Item: item,
		State:    "bytes in addition to the packet",
		Messages: 1_000, Bytes: 1_000 * tunnelOverhead, Processor: 1_000 * perPacket,
		Mechanism: "one frame per packet (tunnel); processor time measured, bytes worked out", Basis: Measured,
	}
}

func agentLines(s Size) []Line {
	targets := float64(s.Targets)
	table := Line{
		Role: Agent, Scope: Control, Item: "placement table",
		State:     "all services",
		Memory:    viewHeap * targets,
		Processor: s.changesPerSecond() * targets * (viewPerTarget + viewHeap*collectionPerByte),
		Mechanism: "rebuilt after each change (agent)", Basis: Measured,
	}
	lines := append(commonLines(Agent, s), table, queries(s), queryReplies(s), registrations(s), directory(s))
	lines = append(lines, joining(Agent, s), announceLeaving(Agent, s), queryPeak(s), displacedPeak(s), directoryPeak())
	return append(lines, flowLines(s)...)
}

// unsettledShare returns the share of time in which an agent sends queries before
// it opens a flow. Every change affects one service.
func (s *Size) unsettledShare() float64 {
	return min(1, s.changesPerSecond()*unsettledWindow/float64(s.Services))
}

func queries(s Size) Line {
	rate := 2 * queriesPerFlow * s.openingsPerAgent() * s.unsettledShare()
	l := messages(Agent, "Ask", rate, askFrame, "queries of unsettled agents (flow); each change of the configuration makes one service unsettled")
	l.Processor = rate / 2 * queryTime
	return l
}

func queryReplies(s Size) Line {
	l := messages(Agent, "AskReply", 2*queriesPerFlow*s.openingsPerAgent()*s.unsettledShare(), askReplyFrame, "replies to queries (flow)")
	l.Processor = 0
	l.State = "processor time is included in Ask"
	return l
}

// displacedShare returns the mean share of displaced flows: a flow is displaced
// when a change during its lifetime adds a target to its service that becomes its
// first candidate.
func (s *Size) displacedShare() float64 {
	if s.NewFlowsPerSecond == 0 {
		return 0
	}
	lifetime := float64(s.OpenFlows) / float64(s.NewFlowsPerSecond)
	changes := s.changesPerSecond() / float64(s.Services) * lifetime
	return min(1, changes/(s.targetsPerService()+1))
}

// registerTraffic returns the messages and bytes per second, sent and received, for
// a number of displaced flows. Each flow is registered with two targets.
func (s *Size) registerTraffic(flows float64) (rate, bytes float64) {
	if flows <= 0 {
		return 0, 0
	}
	receivers := max(1, min(2*flows, s.targetsPerService()-1))
	frames := receivers * math.Ceil(2*flows/receivers/hashesPerFrame)
	return 2 * frames / registerInterval, 2 * (2*flows*registerHash + frames*(registerFrame+headers)) / registerInterval
}

func registrations(s Size) Line {
	flows := s.flowsPerAgent()
	displaced := flows * s.displacedShare()
	rate, bytes := s.registerTraffic(displaced)
	return Line{
		Role: Agent, Scope: Control, Item: "Register",
		State:    fmt.Sprintf("%.1f of %s flows displaced", displaced, grouped(math.Round(flows))),
		Messages: rate, Bytes: bytes,
		Processor: flows*(registerPerFlow/registerInterval+sweepPerFlow) + rate*messageTime,
		Mechanism: "refresh every 5 s (flow)", Basis: WorkedOut,
	}
}

func directory(s Size) Line {
	entries := 2 * s.flowsPerAgent() * s.displacedShare()
	return Line{
		Role: Agent, Scope: Control, Item: "directory",
		State:  fmt.Sprintf("%.1f entries", entries),
		Memory: entries * directoryHeap, Mechanism: "soft state (flow)", Basis: WorkedOut,
	}
}

func queryPeak(s Size) Line {
	rate := 2 * queriesPerFlow * s.openingsPerAgent()
	l := Line{
		Role: Agent, Scope: Peak, Item: "all flows asked for",
		State:    fmt.Sprintf("for 14 s after the start or a change of the service; the first packet waits %s longer", duration(queriesPerFlow*queryDelay)),
		Messages: 2 * rate, Bytes: rate * (askFrame + askReplyFrame + 2*headers), Processor: rate / 2 * queryTime,
		Mechanism: "Ask and AskReply (flow)", Basis: WorkedOut,
	}
	l.Limit = excessBytes(l.Bytes)
	return l
}

func displacedPeak(s Size) Line {
	flows := s.flowsPerAgent()
	rate, bytes := s.registerTraffic(flows)
	l := Line{
		Role: Agent, Scope: Peak, Item: "all flows displaced",
		State:    fmt.Sprintf("%s flows of a draining target", grouped(math.Round(flows))),
		Messages: rate, Bytes: bytes, Processor: flows*displacedPerFlow/registerInterval + rate*messageTime,
		Mechanism: "Register (flow)", Basis: WorkedOut,
	}
	l.Limit = excessBytes(l.Bytes)
	return l
}

func directoryPeak() Line {
	return Line{
		Role: Agent, Scope: Peak, Item: "directory full",
		State: fmt.Sprintf("%s entries and promises", grouped(maxDirectory)), Memory: maxDirectory * directoryHeap,
		Mechanism: "fixed limits (flow)", Basis: Measured,
	}
}

// excessBytes returns the limit text for a rate in bytes/s; empty within the budget.
func excessBytes(bytes float64) string {
	if bytes <= budgetBytes {
		return ""
	}
	return fmt.Sprintf("%.1f times the bytes of the budget while it lasts", bytes/budgetBytes)
}

func flowLines(s Size) []Line {
	flows := s.flowsPerAgent()
	return []Line{
		{
			Role: Agent, Scope: Callers, Item: "open plain flows",
			State:  fmt.Sprintf("%s flows, a socket and a goroutine each; %s resident", grouped(math.Round(flows)), amount(flows*flowResident, "B")),
			Memory: flows * flowHeap, Mechanism: "flow table and sockets (agent)", Basis: Measured,
		},
		{
			Role: Agent, Scope: Callers, Item: "new flows",
			State:     fmt.Sprintf("%.1f per second", s.openingsPerAgent()),
			Processor: s.openingsPerAgent() * openTime,
			Mechanism: "socket and goroutine for each (agent)", Basis: Measured,
		},
		packets(Agent, "tunnel frames, 1,000 packets/s", agentPacket),
		packets(Agent, "tunnel frames, 1,000 answers/s", agentAnswer),
		{
			Role: Agent, Scope: Callers, Item: "retained requests",
			State:  "at most 4,096 and 16 MiB of responses",
			Memory: maxRetained*retainedHeap + retainedBytes, Mechanism: "request table (offer)", Basis: Measured,
		},
	}
}
