package capacity

import (
	"fmt"
	"math"
)

// Event is something that happens on a day or a few times a year, and what it
// costs each process.
type Event struct {
	Name string `json:"name"`
	// Processes is the number of processes concerned.
	Processes float64 `json:"processes"`
	// Bytes is what every other process sends and receives for it, in bytes.
	Bytes float64 `json:"bytes"`
	// Seconds is the shortest time until all processes know, given by the limit
	// on events that a process sends.
	Seconds float64 `json:"seconds"`
	// Processor is the share of a core at a balancer meanwhile.
	Processor float64 `json:"balancer_processor_share"`
	// Effect says in words what happens.
	Effect string `json:"effect"`
	Limit  string `json:"limit,omitempty"`
}

// dayEvents returns one day at a size with everything that the design page
// expects in a year.
func dayEvents(s Size) []Event {
	rack := min(rackNodes, float64(s.Nodes)) * s.processesPerNode()
	return []Event{
		single("hosts failing", s.failuresPerDay(), s, "each process is found dead after 3 lost probes and its new flows go to the next candidate; its open flows are lost"),
		restarts(s),
		group("a rack fails", rack, s, fmt.Sprintf("%d nodes with their agents", rackNodes)),
		group("a zone fails", s.processes()/float64(s.Zones), s, "as a rack"),
		regionCut(s),
		changesOfDay(s),
		allBalancers(s),
	}
}

// single is a number of independent events over the day.
func single(name string, count float64, s Size, effect string) Event {
	changes := 2 * count / day
	return Event{
		Name: name, Processes: count,
		Bytes:     2 * count * 2 * (eventBytes + batchFrame + headers),
		Processor: changes * viewTime(s.notLive()),
		Effect:    effect,
	}
}

// viewTime is the processor time of a balancer for a change of the host view
// while a number of hosts are not live.
func viewTime(notLive float64) float64 {
	return notLive * changedHost
}

// notLive is the number of hosts that are not live on an ordinary day: those
// that failed and those that restart at the moment.
func (s *Size) notLive() float64 {
	return s.failuresPerDay() + s.restartsPerDay()*restartSeconds/day
}

func restarts(s Size) Event {
	e := single("hosts restarting", s.restartsPerDay(), s, "")
	e.Effect = fmt.Sprintf("each process receives %s from peers, %s over the fleet on average", amount(s.joinBytes(), "B"), amount(s.restartsPerDay()*s.joinBytes()/day, "B/s"))
	return e
}

// group is the failure of many processes at the same time.
func group(name string, processes float64, s Size, effect string) Event {
	bytes := processes * (eventBytes + (batchFrame+headers)/batchEvents)
	e := Event{
		Name: name, Processes: processes, Bytes: 2 * bytes,
		Seconds: verdictSeconds + math.Max(0, bytes-eventBurst)/eventRate,
		Effect:  effect + "; their open flows are lost",
	}
	changes := min(ticksPerSecond, processes/verdictSeconds)
	e.Processor = changes * viewTime(s.notLive()+processes)
	if e.Processor > budgetProcessor {
		e.Limit = fmt.Sprintf("up to %s of a core at each balancer while verdicts arrive", percent(e.Processor))
	}
	return e
}

// verdictSeconds is the time from a failure to the verdict: 3 lost probes.
const verdictSeconds = 3.0

// regionCut is a region without connection to the others, which keep serving.
func regionCut(s Size) Event {
	if s.Regions < 2 {
		return Event{Name: "a region cut off", Effect: "there is one region"}
	}
	share := 1 / float64(s.Regions)
	e := group("a region cut off", s.processes()*share, s, "")
	inside := doubting(1 - share)
	outside := doubting(share)
	e.Effect = fmt.Sprintf("both sides serve what they own; %s of the processes in the region and %s of the others see more than %s of 19 probed peers dead, doubt their own link and keep using all hosts", percent(inside), percent(outside), percent(doubtShare))
	e.Limit = fmt.Sprintf("%s of the balancers outside keep placing new flows on targets that they cannot reach, worked out for peers chosen independently of the region; a check with more peers or by region would reach it, not tried. The other processes spread %s verdicts", percent(outside), grouped(e.Processes))
	return e
}

// doubting is the probability that more than doubtShare of the peers of a
// process appear dead, when each does with a probability.
func doubting(dead float64) float64 {
	n := probers + checkPeers
	least := int(math.Floor(doubtShare*float64(n))) + 1
	sum := 0.0
	for k := least; k <= n; k++ {
		sum += choose(n, k) * math.Pow(dead, float64(k)) * math.Pow(1-dead, float64(n-k))
	}
	return sum
}

func choose(n, k int) float64 {
	out := 1.0
	for i := range k {
		out = out * float64(n-i) / float64(i+1)
	}
	return out
}

// changesOfDay is the sum over all configuration changes.
func changesOfDay(s Size) Event {
	targets := float64(s.Targets)
	each := changeBase + targets*(changePerTarget+routePerTarget+(heldHeap+routeHeap)*collectionPerByte)
	count := float64(s.ChangesPerDay)
	depth := math.Ceil(math.Log(math.Max(s.processes()/float64(s.Zones), 2)) / math.Log(fanOut))
	return Event{
		Name: "configuration changes", Processes: s.processes(),
		Bytes:     count * (1 + fanOut) * (deltaFrame + headers),
		Processor: count * each / day,
		Effect:    fmt.Sprintf("%s of processor time for each at a balancer; %.0f levels of the tree in each zone; bytes are those of an inner process of the tree", duration(each), depth),
	}
}

// allBalancers is the restart of all balancers within an hour.
func allBalancers(s Size) Event {
	const hour = 3_600.0
	count := float64(s.Nodes)
	changes := min(ticksPerSecond, 2*count/hour)
	e := Event{
		Name: "all balancers restarted in an hour", Processes: count,
		Bytes:     2 * 2 * count * (eventBytes + batchFrame + headers),
		Processor: changes * viewTime(s.notLive()),
		Effect:    fmt.Sprintf("no flow is broken by it; transfers of %s over the fleet, %s for each process", amount(count*s.joinBytes()/hour, "B/s"), amount(2*count*s.joinBytes()/hour/s.processes(), "B/s")),
	}
	if total := e.Processor + budgetOfChanges(s); total > budgetProcessor {
		e.Limit = fmt.Sprintf("with the configuration changes %s of a core at each balancer for the hour; a balancer copies its table also for the change of another balancer, on which it places nothing", percent(total))
	}
	return e
}

// budgetOfChanges is the processor share of a balancer for configuration changes.
func budgetOfChanges(s Size) float64 { return changesOfDay(s).Processor }
