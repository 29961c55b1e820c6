// Package scenario runs scripts that inject failures between the decision packages
// of balancers, agents and callers. Time is virtual, a script controls the loss,
// duplication and cutting of links, and all random choices come from a seed, so that
// a script has the same result in every run.
package scenario

import (
	"container/heap"
	"math/rand/v2"
	"net/netip"
	"time"

	"github.com/peridotstall/peridotstall/internal/schema"
	"github.com/peridotstall/peridotstall/internal/wire"
)

const (
	// linkDelay is the shortest delay of a packet between two processes, to which
	// jitter of up to the same time is added.
	linkDelay = time.Millisecond
	// tickInterval is the interval between the ticks of a process.
	tickInterval = 50 * time.Millisecond
)

// event is a function that runs at a virtual time.
type event struct {
	at       time.Time
	sequence uint64
	run      func()
}

// events is a heap ordered by time; events of the same time keep their order.
type events []event

func (e events) Len() int { return len(e) }
func (e events) Less(i, j int) bool {
	if e[i].at.Equal(e[j].at) {
		return e[i].sequence < e[j].sequence
	}
	return e[i].at.Before(e[j].at)
}
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)   { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	last := len(*e) - 1
	out := (*e)[last]
	*e = (*e)[:last]
	return out
}

// link is an unordered pair of processes.
type link struct{ a, b string }

func newLink(a, b string) link {
	if a > b {
		a, b = b, a
	}
	return link{a, b}
}

// process is a balancer or an agent.
type process interface {
	name() string
	receive(age time.Duration, f *schema.Frame)
	tick()
}

// processState holds a process and the faults that the script applied to it.
type processState struct {
	process process
	dead    bool
	paused  bool
	// queued are frames that arrived while the process was paused.
	queued []arrival
}

// arrival is a received frame with the time of its arrival.
type arrival struct {
	at   time.Time
	data []byte
}

// simulation is the virtual time, the processes and the network of one fleet.
type simulation struct {
	now           time.Time
	rng           *rand.Rand
	events        events
	sequence      uint64
	processes     map[string]*processState
	order         []string
	byAddress     map[netip.AddrPort]string
	cutLinks      map[link]bool
	lossRate      float64
	duplicateRate float64

	fleet   *fleet
	callers *callers
}

func newSimulation(seed uint64) *simulation {
	sim := &simulation{
		now:       time.Unix(1_000_000, 0),
		rng:       rand.New(rand.NewPCG(seed, seed)),
		processes: map[string]*processState{},
		byAddress: map[netip.AddrPort]string{},
		cutLinks:  map[link]bool{},
	}
	sim.after(tickInterval, sim.tickAll)
	return sim
}

func (sim *simulation) after(d time.Duration, run func()) {
	sim.sequence++
	heap.Push(&sim.events, event{at: sim.now.Add(d), sequence: sim.sequence, run: run})
}

// advance runs all events of the next d and advances the time by d.
func (sim *simulation) advance(d time.Duration) {
	end := sim.now.Add(d)
	for len(sim.events) > 0 && !sim.events[0].at.After(end) {
		next := heap.Pop(&sim.events).(event)
		sim.now = next.at
		next.run()
	}
	sim.now = end
}

func (sim *simulation) tickAll() {
	for _, name := range sim.order {
		s := sim.processes[name]
		if !s.dead && !s.paused {
			s.process.tick()
		}
	}
	if sim.callers != nil {
		sim.callers.tick()
	}
	sim.after(tickInterval, sim.tickAll)
}

// add adds a process, which replaces an earlier one of the same name.
func (sim *simulation) add(p process, address netip.AddrPort) {
	if _, ok := sim.processes[p.name()]; !ok {
		sim.order = append(sim.order, p.name())
	}
	sim.processes[p.name()] = &processState{process: p}
	sim.byAddress[address] = p.name()
}

// send sends a frame to the process at an address.
func (sim *simulation) send(from string, to netip.AddrPort, f *schema.Frame) {
	name, ok := sim.byAddress[to]
	if !ok {
		return
	}
	data, err := wire.AppendFrame(nil, f)
	if err != nil {
		return
	}
	sim.transmit(from, name, func() { sim.arrive(name, data) })
}

// transmit calls deliver after the delay of the link, unless the link is cut or
// loses the packet. It calls deliver twice for a duplicated packet.
func (sim *simulation) transmit(from, to string, deliver func()) {
	copies := 1
	if sim.rng.Float64() < sim.duplicateRate {
		copies = 2
	}
	for range copies {
		if sim.cutLinks[newLink(from, to)] || sim.rng.Float64() < sim.lossRate {
			continue
		}
		jitter := time.Duration(sim.rng.Int64N(int64(linkDelay)))
		sim.after(linkDelay+jitter, deliver)
	}
}

func (sim *simulation) arrive(name string, data []byte) {
	s := sim.processes[name]
	switch {
	case s.dead:
	case s.paused:
		s.queued = append(s.queued, arrival{at: sim.now, data: data})
	default:
		sim.handleFrame(s, 0, data)
	}
}

func (sim *simulation) handleFrame(s *processState, age time.Duration, data []byte) {
	f := &schema.Frame{}
	if wire.DecodeFrame(data, f) == nil {
		s.process.receive(age, f)
	}
}

// resume resumes a paused process. The process handles the frames that arrived
// during the pause before its next tick, as a real process may.
func (sim *simulation) resume(name string) {
	s := sim.processes[name]
	s.paused = false
	waiting := s.queued
	s.queued = nil
	for _, a := range waiting {
		sim.handleFrame(s, sim.now.Sub(a.at), a.data)
	}
}
