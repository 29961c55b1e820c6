package capacity

import (
	"fmt"
	"math"
)

// Event is an event that occurs daily or a few times a year, with its cost for
// each process.
type Event struct {
	Name string `json:"name"`
	// Processes is the number of affected processes.
	Processes float64 `json:"processes"`
	// Bytes is the number of bytes that every other process sends and receives.
	Bytes float64 `json:"bytes"`
	// Seconds is the shortest time until all processes have received the event,
	// which follows from the limit on the events that a process sends.
	Seconds float64 `json:"seconds"`
	// Processor is the share of a core at a balancer during the event.
	Processor float64 `json:"balancer_processor_share"`
	// Effect describes the consequences.
	Effect string `json:"effect"`
	// Limit describes the limit that the event exceeds; empty if there is none.
	Limit string `json:"limit,omitempty"`
}

// dayEvents returns the events of one day at a size, together with all events that
// the design page expects in a year.
func dayEvents(s Size) []Event {
	rackProcesses := min(rackNodes, float64(s.Nodes)) * s.processesPerNode()
	return []Event{
		independentEvents("hosts failing", s.failuresPerDay(), s, "each process is declared dead after 3 lost probes and its new flows go to the next candidate; its open flows are lost"),
		restarts(s),
		simultaneousFailure("a rack fails", rackProcesses, s, fmt.Sprintf("%d nodes with their agents", rackNodes)),
		simultaneousFailure("a zone fails", s.processes()/float64(s.Zones), s, "as for a rack"),
		regionPartition(s),
		configurationChanges(s),
		balancerRollout(s),
	}
}

// independentEvents returns the cost of failures or restarts of single processes
// that are spread over the day.
func independentEvents(name string, count float64, s Size, effect string) Event {
	changes := 2 * count / day
	return Event{
		Name: name, Processes: count,
		Bytes:     2 * count * 2 * (eventBytes + batchFrame + headers),
		Processor: changes * viewTime(s.notLive()),
		Effect:    effect,
	}
}

// viewTime returns the processor time of a balancer for a change of the host view
// while the given number of hosts are not live, in seconds.
func viewTime(notLive float64) float64 {
	return notLive * changedHost
}

// notLive returns the number of hosts that are not live on an ordinary day: those
// that failed during the day and those that are restarting.
func (s *Size) notLive() float64 {
	return s.failuresPerDay() + s.restartsPerDay()*restartSeconds/day
}

func restarts(s Size) Event {
	e := independentEvents("hosts restarting", s.restartsPerDay(), s, "")
	e.Effect = fmt.Sprintf("each process receives %s from peers, %s over the fleet on average", amount(s.joinBytes(), "B"), amount(s.restartsPerDay()*s.joinBytes()/day, "B/s"))
	return e
}

// simultaneousFailure returns the cost of the failure of many processes at the
// same time.
func simultaneousFailure(name string, processes float64, s Size, effect string) Event {
	bytes := processes * (eventBytes + (batchFrame+headers)/batchEvents)
	e := Event{
		Name: name, Processes: processes, Bytes: 2 * bytes,
		Seconds: verdictSeconds + math.Max(0, bytes-eventBurstBytes)/eventRate,
		Effect:  effect + "; their open flows are lost",
	}
	changes := min(ticksPerSecond, processes/verdictSeconds)
	e.Processor = changes * viewTime(s.notLive()+processes)
	if e.Processor > budgetProcessor {
		e.Limit = fmt.Sprintf("up to %s of a core at each balancer while verdicts are received", percent(e.Processor))
	}
	return e
}

// verdictSeconds is the time from a failure to the verdict: 3 lost probes, one
// per second.
const verdictSeconds = 3.0

// regionPartition returns the cost of a network partition that separates one region
// from the others. Both sides continue to serve.
func regionPartition(s Size) Event {
	if s.Regions < 2 {
		return Event{Name: "a region cut off", Effect: "there is one region"}
	}
	share := 1 / float64(s.Regions)
	e := simultaneousFailure("a region cut off", s.processes()*share, s, "")
	inside := doubtProbability(1 - share)
	outside := doubtProbability(share)
	e.Effect = fmt.Sprintf("both sides serve the flows that they own; %s of the processes in the region and %s of the others find more than %s of 19 probed peers dead, suspect their own link and continue to use all hosts", percent(inside), percent(outside), percent(doubtShare))
	e.Limit = fmt.Sprintf("%s of the balancers outside continue to place new flows on targets that they cannot reach, worked out for peers that are chosen independently of the region; a check with more peers or by region would reach it, untested. The other processes spread %s verdicts", percent(outside), grouped(e.Processes))
	return e
}

// doubtProbability returns the probability that more than doubtShare of the probed
// peers of a process appear dead, where dead is the probability for each peer.
func doubtProbability(dead float64) float64 {
	n := probers + checkPeers
	least := int(math.Floor(doubtShare*float64(n))) + 1
	sum := 0.0
	for k := least; k <= n; k++ {
		sum += binomial(n, k) * math.Pow(dead, float64(k)) * math.Pow(1-dead, float64(n-k))
	}
	return sum
}

// binomial returns the number of ways to choose k of n items.
func binomial(n, k int) float64 {
	out := 1.0
	for i := range k {
		out = out * float64(n-i) / float64(i+1)
	}
	return out
}

// configurationChanges returns the cost of all configuration changes of a day.
func configurationChanges(s Size) Event {
	targets := float64(s.Targets)
	perChange := changeBase + targets*(changePerTarget+routePerTarget+(supersededHeap+routeHeap)*collectionPerByte)
	count := float64(s.ChangesPerDay)
	depth := math.Ceil(math.Log(math.Max(s.processes()/float64(s.Zones), 2)) / math.Log(fanOut))
	return Event{
		Name: "configuration changes", Processes: s.processes(),
		Bytes:     count * (1 + fanOut) * (deltaFrame + headers),
		Processor: count * perChange / day,
		Effect:    fmt.Sprintf("%s of processor time per change at a balancer; %.0f levels of the distribution tree in each zone; bytes are those of an inner process of the tree", duration(perChange), depth),
	}
}

// balancerRollout returns the cost of a restart of all balancers within an hour.
func balancerRollout(s Size) Event {
	const hour = 3_600.0
	count := float64(s.Nodes)
	changes := min(ticksPerSecond, 2*count/hour)
	e := Event{
		Name: "all balancers restarted in an hour", Processes: count,
		Bytes:     2 * 2 * count * (eventBytes + batchFrame + headers),
		Processor: changes * viewTime(s.notLive()),
		Effect:    fmt.Sprintf("no flow breaks; transfers of %s over the fleet, %s for each process", amount(count*s.joinBytes()/hour, "B/s"), amount(2*count*s.joinBytes()/hour/s.processes(), "B/s")),
	}
	if total := e.Processor + changesProcessorShare(s); total > budgetProcessor {
		e.Limit = fmt.Sprintf("%s of a core at each balancer for the hour, configuration changes included; a balancer also copies its table when another balancer changes, although it places no flows on balancers", percent(total))
	}
	return e
}

// changesProcessorShare returns the processor share of a balancer for configuration
// changes.
func changesProcessorShare(s Size) float64 { return configurationChanges(s).Processor }
