package capacity

import (
	"fmt"
	"math"
)

// watchRate is the number of calls a second of one watch: one that ends for
// each change, or after its wait without news, and the gap before the next.
func watchRate(newsPerSecond float64) float64 {
	pending := watchWait
	if newsPerSecond > 0 {
		pending = min(watchWait, 1/newsPerSecond)
	}
	return 1 / max(pending, watchGap)
}

// parts returns the number of parts and the mean size of a part in bytes.
func (s *Size) parts() (count, bytes float64) {
	total := targetJSON * float64(s.Targets)
	count = math.Ceil(total / valueLimit)
	return count, total / count
}

// readerLines returns what a reader has in addition to a balancer or agent. The
// first reader of a zone reads the parts; the others usually get the delta
// before their turn.
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
		Mechanism: "whole part read after each change (control)", Basis: WorkedOut,
	}
	if parts.Bytes > budgetBytes {
		parts.Limit = fmt.Sprintf("%.1f times the bytes of the budget at the first reader of each zone; parts of at most %s, or deltas published by the service, would reach it", parts.Bytes/budgetBytes, amount(budgetBytes/2/changes, "B"))
	}
	return []Line{index, parts, hostsLine(s), startPeak(s, count), silentPeak(s)}
}

// readPerTarget is the processor time of a reader for a changed part beyond
// that of a delta, seconds per target. Measured at 51,000 targets only: 29.4 ms
// instead of 6.9 ms.
const readPerTarget = 440e-9

func hostsLine(s Size) Line {
	rate := min(watchRate(s.eventsPerSecond()), 1/(hostReadEvery*s.processes()))
	size := hostJSON * s.processes()
	l := Line{
		Role: Reader, Scope: Control, Item: "host list",
		State:    fmt.Sprintf("one value of %s", amount(size, "B")),
		Messages: rate, Reads: rate * s.readers(), Bytes: rate * size,
		Mechanism: "watch of each reader (confsync, platform), whole list each time, paced by its size", Basis: WorkedOut,
	}
	if size > valueLimit {
		l.Basis = NotBuilt
		l.Bytes = 0
		l.Limit = "larger than a value of 1 MB, so that the client refuses it and no process of the fleet learns the hosts; parts with an index, as for the configuration, would reach it"
	} else if l.Bytes > budgetBytes {
		l.Limit = overBytes(l.Bytes)
	}
	return l
}

// startPeak is the load when all readers read everything at the same time.
func startPeak(s Size, count float64) Line {
	reads := s.readers() * min(count, partBurst+1/partEvery)
	l := Line{
		Role: Reader, Scope: Peak, Item: "all readers read all parts",
		Reads: reads, Mechanism: "8 parts at once, then one every 30 ms (control)", Basis: WorkedOut,
		State: "first second",
	}
	l.Limit = overReads(reads)
	return l
}

// silentPeak is the load when no process hears a peer, with the watches of the
// readers.
func silentPeak(s Size) Line {
	reads := min(fallbackRate, s.processes()*3) + s.readers()*(watchRate(s.changesPerSecond())+watchRate(s.eventsPerSecond()))
	l := Line{
		Role: Reader, Scope: Peak, Item: "no process hears a peer",
		Reads: reads, Mechanism: "jittered fallback of all processes (confsync)", Basis: WorkedOut,
	}
	l.Limit = overReads(reads)
	return l
}

func overReads(reads float64) string {
	if reads <= budgetReads {
		return ""
	}
	return fmt.Sprintf("%.1f times the permitted calls of the configuration service", reads/budgetReads)
}

// toolFiles is the usual limit of open files of an operator's shell.
const toolFiles = 1024

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
	if s.processes() > toolFiles {
		all.Limit = "above the usual limit of 1,024 open files, and the addresses must be given by hand; a bounded number of calls at the same time and the addresses of the host list would reach it"
	}
	return []Line{one, all}
}
