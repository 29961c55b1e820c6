// Package loadmodel simulates the load of one service on a virtual clock: callers, targets
// and, between them, the engines of balancers and the trackers of agents as they run in
// production. It answers what a policy is worth under a pattern of load; it does not model
// the network, the store or membership.
package loadmodel

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"net/netip"
	"time"

	"github.com/peridotstall/peridotstall/internal/occupancy"
	"github.com/peridotstall/peridotstall/internal/registry"
	"github.com/peridotstall/peridotstall/internal/segment"
	"github.com/peridotstall/peridotstall/internal/steering"
)

const (
	// serviceName is the only service.
	serviceName = "web"
	// agentPort is the port of all agents.
	agentPort = 1
	// defaultZones is the number of zones over which balancers and targets are spread.
	defaultZones = 4
	// callerDelay and hopDelay are the one-way delays between a caller and the system
	// and between two hosts of the system.
	callerDelay, hopDelay = time.Millisecond, 500 * time.Microsecond
	// defaultReportInterval is the time between two reports of an agent to a balancer of a
	// small fleet.
	defaultReportInterval = 40 * time.Millisecond
	// tickInterval is the time between two ticks of engines and trackers.
	tickInterval = 50 * time.Millisecond
)

// Class is a kind of request.
type Class struct {
	Name string
	// Rate is the number of requests per second.
	Rate float64
	// Work is the mean work of a request outside the tail on a target of speed 1.
	Work time.Duration
	Tail Tail
	// Objective is the time in which an answer is worth most, Timeout the time after
	// which the caller gives up.
	Objective, Timeout time.Duration
	// LateWorth is what an answer between the objective and the timeout is worth, from 0
	// to 1.
	LateWorth float64
	Priority  uint8
	// Retries is the number of further tries after a failure.
	Retries int
}

// Tail is a share of requests, from 0 to 1, whose work is multiplied by Factor.
type Tail struct{ Share, Factor float64 }

// meanWork returns the mean work of all requests of the class.
func (c *Class) meanWork() time.Duration {
	return time.Duration(float64(c.Work) * (1 + c.Tail.Share*(c.Tail.Factor-1)))
}

// Target describes a target.
type Target struct {
	// Speed divides the work of requests.
	Speed float64
	// Slots is the number of requests that run at once, Queue the number that wait
	// before further ones are shed.
	Slots, Queue int
	// ColdUntil is the time until which the target takes ColdFactor times as long.
	ColdUntil time.Duration
}

// ColdFactor is the slowdown of a cold target.
const ColdFactor = 1.6

// Surge multiplies the rate of a class for some time.
type Surge struct {
	Class    string
	From, To time.Duration
	Factor   float64
}

// Wave multiplies the rate of all classes by a factor that swings between Low and High.
// There is none if Period is 0.
type Wave struct {
	Period    time.Duration
	Low, High float64
}

// factor returns the factor after a time; the wave begins at its mean and rises.
func (w Wave) factor(elapsed time.Duration) float64 {
	if w.Period == 0 {
		return 1
	}
	return (w.High+w.Low)/2 + (w.High-w.Low)/2*math.Sin(2*math.Pi*float64(elapsed)/float64(w.Period))
}

// Config describes one run.
type Config struct {
	Classes   []Class
	Targets   []Target
	Balancers int
	// Zones is the number of zones over which balancers and targets are spread in turn.
	Zones int
	// ReportInterval is the time between two reports of an agent to a balancer.
	ReportInterval time.Duration
	Surges         []Surge
	Wave           Wave
	// Duration is the time in which requests arrive.
	Duration time.Duration
	// DownFrom and DownTo bound the time in which no process of the system runs. After
	// it all start with no state; each takes up to StartSpread longer.
	DownFrom, DownTo, StartSpread time.Duration
	// TargetsDown makes the targets lose their requests with the processes and start again
	// with their agents. They are cold for ColdAfterReturn after DownTo.
	TargetsDown     bool
	ColdAfterReturn time.Duration
	// EmptiedZone, if not negative, is the zone whose targets get no new flows from
	// EmptiedAt on.
	EmptiedZone int
	EmptiedAt   time.Duration
	// RetryDelay is the mean time from a failed try to the next one.
	RetryDelay time.Duration
	// CallerZone, if not negative, is the zone of the balancers that get all openings
	// from ShiftAt on.
	CallerZone int
	ShiftAt    time.Duration
	Admission  occupancy.Policy
	Choice     steering.Policy
	Seed       uint64
}

// event is a callback at a time.
type event struct {
	at    time.Duration
	order int
	run   func()
}

type events []event

func (e events) Len() int { return len(e) }
func (e events) Less(i, j int) bool {
	return e[i].at < e[j].at || e[i].at == e[j].at && e[i].order < e[j].order
}
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)   { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

// model is a running simulation.
type model struct {
	config Config
	rand   *rand.Rand
	// arrivals is a source of its own, so that runs of a seed with different policies have
	// the same requests.
	arrivals  *rand.Rand
	now       time.Duration
	queue     events
	scheduled int
	targets   []*target
	balancers []*balancer
	tries     map[segment.Flow]*try
	ports     uint32
	// revision is that of the table of targets.
	revision uint64
	// begin handles a request that arrives.
	begin  func(*request)
	result Result
}

// Run simulates a configuration and returns what became of its requests.
func Run(config Config) Result {
	m := newModel(config)
	m.begin = m.ask
	for i, t := range config.Targets {
		m.targets = append(m.targets, &target{model: m, Target: t, host: host(i)})
	}
	for i := range config.Balancers {
		m.balancers = append(m.balancers, &balancer{model: m, zone: i % config.Zones})
	}
	m.startProcesses(0)
	if config.DownTo > 0 {
		m.at(time.Second+config.DownFrom, m.stopProcesses)
		m.at(time.Second+config.DownTo, m.returnAll)
	}
	if config.EmptiedZone >= 0 {
		m.at(time.Second+config.EmptiedAt, m.publish)
	}
	if config.ColdAfterReturn > 0 {
		m.at(time.Second+config.DownTo+config.ColdAfterReturn, m.publish)
	}
	for i := range config.Classes {
		m.result.Classes = append(m.result.Classes, ClassResult{Name: config.Classes[i].Name})
		m.scheduleArrival(i)
	}
	m.tick()
	m.runEvents()
	return m.result
}

func newModel(config Config) *model {
	return &model{
		config: config, rand: rand.New(rand.NewPCG(config.Seed, 0)), arrivals: rand.New(rand.NewPCG(config.Seed, 1)), tries: make(map[segment.Flow]*try),
		now: time.Second, revision: 1,
	}
}

// runEvents runs the scheduled events until the last request has ended.
func (m *model) runEvents() {
	end := time.Second + m.config.Duration + 5*time.Second
	for len(m.queue) > 0 && m.queue[0].at < end {
		next := heap.Pop(&m.queue).(event)
		m.now = next.at
		next.run()
	}
}

// at schedules a callback.
func (m *model) at(at time.Duration, run func()) {
	m.scheduled++
	heap.Push(&m.queue, event{at, m.scheduled, run})
}

func (m *model) after(delay time.Duration, run func()) { m.at(m.now+delay, run) }

// elapsed returns the time since the first request could arrive.
func (m *model) elapsed() time.Duration { return m.now - time.Second }

func host(i int) netip.Addr { return netip.AddrFrom4([4]byte{10, 0, byte(i >> 8), byte(i)}) }

func (c *Config) zone(i int) string { return fmt.Sprintf("zone-%d", i%c.Zones) }

// evacuations returns the zones that get no new flows.
func (m *model) evacuations() registry.Evacuations {
	e := registry.Evacuations{Revision: m.revision}
	if m.config.EmptiedZone >= 0 && m.elapsed() >= m.config.EmptiedAt {
		e.Zones = []string{m.config.zone(m.config.EmptiedZone)}
	}
	return e
}

// view returns a view of all targets for the engine of a balancer whose earlier one may be nil.
func (m *model) view(previous *steering.View) *steering.View {
	v := steering.NewView(m.now, previous, m.routes(), m.table(), agentPort)
	v.Evacuate(m.evacuations())
	return v
}

// routes returns one route for each class, at a port of its own.
func (m *model) routes() registry.Routes {
	routes := registry.Routes{Version: 1}
	for i, class := range m.config.Classes {
		routes.Routes = append(routes.Routes, registry.Route{
			Endpoint: endpointOf(i), Shares: []registry.Share{{Service: serviceName, Weight: 1}},
			Timeout: class.Timeout, Aim: class.Objective, Priority: class.Priority,
		})
	}
	return routes
}

func endpointOf(class int) segment.Endpoint {
	return segment.Endpoint{IP: [4]byte{198, 18, 0, 1}, Port: uint16(1000 + class)}
}

// table returns the entries of all targets.
func (m *model) table() registry.Table {
	table := registry.Table{Revision: m.revision}
	for i, t := range m.targets {
		table.Targets = append(table.Targets, registry.Target{
			ID: fmt.Sprint("target-", i), Born: int64(t.born) + 1, Service: serviceName, Zone: m.config.zone(i), Slots: t.Slots,
			Address: netip.AddrPortFrom(t.host, 80), Cold: m.now < t.ColdUntil+time.Second,
		})
	}
	return table
}

// startProcesses starts all balancers and agents without state, each within spread.
func (m *model) startProcesses(spread time.Duration) {
	for i, b := range m.balancers {
		m.after(m.upTo(spread), func() {
			b.engine = steering.NewWithPolicy(m.config.zone(i), 0, m.config.Choice)
			b.engine.SetView(m.now, m.view(nil))
			b.engine.Tick(m.now, true)
		})
	}
	for _, t := range m.targets {
		m.after(m.upTo(spread), func() {
			t.down = false
			t.tracker = occupancy.NewWithPolicy(serviceName, m.config.Admission)
			t.waiting = make(map[segment.Flow]waitingOpening)
			t.tracker.SetSlots(t.Slots)
			t.report()
		})
	}
}

func (m *model) upTo(limit time.Duration) time.Duration {
	if limit <= 0 {
		return 0
	}
	return time.Duration(m.rand.Int64N(int64(limit)))
}

func (m *model) stopProcesses() {
	for _, b := range m.balancers {
		b.engine = nil
	}
	for _, t := range m.targets {
		t.tracker = nil
		if m.config.TargetsDown {
			t.lose()
		}
	}
}

// returnAll starts all processes, and the targets if they are down.
func (m *model) returnAll() {
	if m.config.TargetsDown {
		m.revision++
		for _, t := range m.targets {
			t.ColdUntil = m.config.DownTo + m.config.ColdAfterReturn
		}
	}
	m.startProcesses(m.config.StartSpread)
}

// publish gives the balancers the current table of targets.
func (m *model) publish() {
	m.revision++
	for _, b := range m.balancers {
		if b.engine != nil {
			b.engine.SetView(m.now, m.view(b.engine.View()))
		}
	}
}

// tick expires the state of all processes.
func (m *model) tick() {
	for _, b := range m.balancers {
		if b.engine != nil {
			b.engine.Tick(m.now, true)
		}
	}
	for _, t := range m.targets {
		if t.tracker != nil {
			t.tracker.Tick(m.now)
			t.serveLine()
		}
	}
	m.after(tickInterval, m.tick)
}

// exponential returns a random time with the given mean.
func exponential(source *rand.Rand, mean time.Duration) time.Duration {
	return time.Duration(source.ExpFloat64() * float64(mean))
}

// work returns the random work of a request: log-normal with a standard deviation of half
// the mean, multiplied by the factor of the tail for its share.
func work(source *rand.Rand, class *Class) time.Duration {
	const variance = 0.5 * 0.5
	sigma := math.Sqrt(math.Log(1 + variance))
	w := float64(class.Work) * math.Exp(sigma*source.NormFloat64()-sigma*sigma/2)
	if class.Tail.Share > 0 && source.Float64() < class.Tail.Share {
		w *= class.Tail.Factor
	}
	return time.Duration(w)
}
