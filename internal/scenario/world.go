// Package scenario runs scripts that bring about failures between the decision
// packages of balancers, agents and callers. Time is virtual, links lose, delay
// and cut packets as the script says, and all choices come from a seed, so that
// a script gives the same result on every run.
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
	// linkDelay is the time that a packet travels between two processes.
	linkDelay = time.Millisecond
	// tickInterval is the interval of the timers of a process.
	tickInterval = 50 * time.Millisecond
)

// event is something that happens at a time.
type event struct {
	at       time.Time
	sequence uint64
	run      func()
}

// events is a heap by time; events of one time keep their order.
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

// slot holds a process and what the script does to it.
type slot struct {
	process process
	dead    bool
	paused  bool
	// waiting are frames that arrived while the process was paused.
	waiting []arrival
}

type arrival struct {
	at   time.Time
	data []byte
}

// world is the state of one script.
type world struct {
	now      time.Time
	rng      *rand.Rand
	events   events
	sequence uint64
	slots    map[string]*slot
	names    []string
	byAddr   map[netip.AddrPort]string
	cuts     map[link]bool
	loss     float64
	twice    float64

	fleet   *fleet
	callers *callers
}

func newWorld(seed uint64) *world {
	w := &world{
		now:    time.Unix(1_000_000, 0),
		rng:    rand.New(rand.NewPCG(seed, seed)),
		slots:  map[string]*slot{},
		byAddr: map[netip.AddrPort]string{},
		cuts:   map[link]bool{},
	}
	w.after(tickInterval, w.tickAll)
	return w
}

func (w *world) after(d time.Duration, run func()) {
	w.sequence++
	heap.Push(&w.events, event{at: w.now.Add(d), sequence: w.sequence, run: run})
}

// advance runs all events of the next time span.
func (w *world) advance(d time.Duration) {
	end := w.now.Add(d)
	for len(w.events) > 0 && !w.events[0].at.After(end) {
		next := heap.Pop(&w.events).(event)
		w.now = next.at
		next.run()
	}
	w.now = end
}

func (w *world) tickAll() {
	for _, name := range w.names {
		s := w.slots[name]
		if !s.dead && !s.paused {
			s.process.tick()
		}
	}
	if w.callers != nil {
		w.callers.tick()
	}
	w.after(tickInterval, w.tickAll)
}

// add puts a process into the world, in place of an earlier one of that name.
func (w *world) add(p process, address netip.AddrPort) {
	if _, ok := w.slots[p.name()]; !ok {
		w.names = append(w.names, p.name())
	}
	w.slots[p.name()] = &slot{process: p}
	w.byAddr[address] = p.name()
}

// send carries a frame between processes.
func (w *world) send(from string, to netip.AddrPort, f *schema.Frame) {
	name, ok := w.byAddr[to]
	if !ok {
		return
	}
	data, err := wire.AppendFrame(nil, f)
	if err != nil {
		return
	}
	w.transmit(from, name, func() { w.arrive(name, data) })
}

// transmit runs deliver after the delay of the link, unless the link is cut or
// loses the packet; it may run twice.
func (w *world) transmit(from, to string, deliver func()) {
	copies := 1
	if w.rng.Float64() < w.twice {
		copies = 2
	}
	for range copies {
		if w.cuts[newLink(from, to)] || w.rng.Float64() < w.loss {
			continue
		}
		jitter := time.Duration(w.rng.Int64N(int64(linkDelay)))
		w.after(linkDelay+jitter, deliver)
	}
}

func (w *world) arrive(name string, data []byte) {
	s := w.slots[name]
	switch {
	case s.dead:
	case s.paused:
		s.waiting = append(s.waiting, arrival{at: w.now, data: data})
	default:
		w.handle(s, 0, data)
	}
}

func (w *world) handle(s *slot, age time.Duration, data []byte) {
	f := &schema.Frame{}
	if wire.DecodeFrame(data, f) == nil {
		s.process.receive(age, f)
	}
}

// resume wakes a paused process. It finds the frames that arrived meanwhile
// before its own timers run, as a real process may.
func (w *world) resume(name string) {
	s := w.slots[name]
	s.paused = false
	waiting := s.waiting
	s.waiting = nil
	for _, a := range waiting {
		w.handle(s, w.now.Sub(a.at), a.data)
	}
}
