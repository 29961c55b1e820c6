package capacity

import (
	"fmt"
	"math"
)

// watchRate returns the number of calls per second of one watch. A call ends with
// the next change or after watchTimeout, and calls start at least watchDelay apart.
func watchRate(changesPerSecond float64) float64 {
	pending := watchTimeout
	if changesPerSecond > 0 {
		pending = min(watchTimeout, 1/changesPerSecond)
	}
	return 1 / max(pending, watchDelay)
}

// parts returns the number of parts and the mean size of a part in bytes.
func (s *Size) parts() (count, bytes float64) {
	total := targetJSON * float64(s.Targets)
	count = math.Ceil(total / valueLimit)
	return count, total / count
}

// readerLines returns the lines of a reader in addition to those of a balancer or
// agent. The first reader of a zone reads the parts; the others usually receive
// the delta before they would read.
func readerLines(s Size) []Line {
	changes := s.changesPerSecond()
	indexRate := watchRate(changes)
	count, part := s.parts()
	index := Line{
		Role: Reader, Scope: Control, Item: "index",
		State: "one pending watch", Messages: indexRate, Bytes: indexRate * (60*count + headers),
		Processor: indexRate * messageTime, Reads: indexRate * s.readers(),
		Mechanism: "watch of each reader (confsync, platform)", Basis: WorkedOut,
	}
	parts := Line{
		Role: Reader, Scope: Control, Item: "changed part",
		State:    fmt.Sprintf("%.0f parts of %s; first reader of each zone", count, amount(part, "B")),
		Messages: changes, Bytes: changes * part, Reads: changes * float64(s.Zones),
		Processor: changes * readPerTarget * float64(s.Targets),
		Memory:    part,
		Mechanism: "reads the whole part after each change (control)", Basis: WorkedOut,
	}
	if parts.Bytes > budgetBytes {
		parts.Limit = fmt.Sprintf("%.1f times the bytes of the budget at the first reader of each zone; parts of at most %s, or deltas published by the service, would reach it", parts.Bytes/budgetBytes, amount(budgetBytes/2/changes, "B"))
	}
	return []Line{index, parts, hostsLine(s), startPeak(s, count), fallbackPeak(s)}
}

// readPerTarget is the additional processor time of a reader for a changed part
// compared with a delta, in seconds per target. It holds for 51,000 targets only,
// where a part takes 29.4 ms instead of 6.9 ms.
const readPerTarget = 440e-9

func hostsLine(s Size) Line {
	rate := min(watchRate(s.eventsPerSecond()), 1/(hostReadInterval*s.processes()))
	size := hostJSON * s.processes()
	l := Line{
		Role: Reader, Scope: Control, Item: "host list",
		State:    fmt.Sprintf("one value of %s", amount(size, "B")),
		Messages: rate, Reads: rate * s.readers(), Bytes: rate * size,
		Mechanism: "watch of each reader (confsync, platform), which reads the full list at intervals that grow with its size", Basis: WorkedOut,
	}
	if size > valueLimit {
		l.Basis = NotBuilt
		l.Bytes = 0
		l.Limit = "larger than the limit of 1 MB for a value, so that the client rejects it and no process of the fleet receives the host list; parts with an index, as for the configuration, would reach it"
	} else if l.Bytes > budgetBytes {
		l.Limit = excessBytes(l.Bytes)
	}
	return l
}

// startPeak returns the load when all readers read all parts at the same time.
func startPeak(s Size, count float64) Line {
	reads := s.readers() * min(count, partBurst+1/partInterval)
	l := Line{
		Role: Reader, Scope: Peak, Item: "all readers read all parts",
		Reads: reads, Mechanism: "8 parts at once, then one every 30 ms (control)", Basis: WorkedOut,
		State: "first second",
	}
	l.Limit = excessReads(reads)
	return l
}

// fallbackPeak returns the load when no process receives messages from peers and
// all processes read the store, including the watches of the readers.
func fallbackPeak(s Size) Line {
	reads := min(fallbackRate, s.processes()*3) + s.readers()*(watchRate(s.changesPerSecond())+watchRate(s.eventsPerSecond()))
	l := Line{
		Role: Reader, Scope: Peak, Item: "no process hears a peer",
		Reads: reads, Mechanism: "jittered fallback of all processes (confsync)", Basis: WorkedOut,
	}
	l.Limit = excessReads(reads)
	return l
}

// excessReads returns the limit text for a rate in calls/s; empty within the budget.
func excessReads(reads float64) string {
	if reads <= budgetReads {
		return ""
	}
	return fmt.Sprintf("%.1f times the permitted calls of the configuration service", reads/budgetReads)
}

// openFileLimit is the usual limit on open files in an operator's shell.
const openFileLimit = 1024

func toolLines(s Size) []Line {
	one := Line{
		Role: OperatorTools, Scope: Peak, Item: "status, explain or compare of one process",
		State: "one connection", Messages: 2, Mechanism: "net/rpc (rpcapi)", Basis: WorkedOut,
	}
	all := Line{
		Role: OperatorTools, Scope: Peak, Item: "status of every process",
		State:    fmt.Sprintf("%s connections at the same time", grouped(s.processes())),
		Messages: 2 * s.processes(), Mechanism: "all addresses called at once (cli)", Basis: WorkedOut,
	}
	if s.processes() > openFileLimit {
		all.Limit = "above the usual limit of 1,024 open files, and the addresses must be given by hand; a limited number of concurrent calls and the addresses of the host list would reach it"
	}
	return []Line{one, all}
}
