package admission

import (
	"cmp"
	"math"
	"math/rand/v2"
	"slices"
	"time"
)

// source offers the requests of one member and class as a Poisson process.
type source struct {
	member, class string
	slots         float64       // offered load, in slots of a target of speed 1
	service       time.Duration // mean at speed 1
	deadline      time.Duration
	callers       int // flow keys that the requests share; 0 gives each its own
	rng           *rand.Rand
	tally
}

// tally counts what became of the requests of a source.
type tally struct{ offered, good, late, shed, expired, overload, deadlineRefused int }

// server is a fake backend server with its agent's controller.
type server struct {
	*Controller
	id        int
	speed     float64
	shedAbove int // running requests above which it sheds; 0 means never
	used      time.Duration
}

// event is due work of the simulation.
type event struct {
	at  time.Time
	run func()
}

// call is one request on its way.
type call struct {
	from     *source
	work     time.Duration
	deadline time.Time
	number   int
}

// simulation runs sources against servers on a virtual clock.
type simulation struct {
	now      time.Time
	queue    []event // in order of time
	servers  []*server
	sources  []*source
	pass     func(l Load, hops, candidates int, refused bool) bool // nil passes nothing on
	forced   int                                                   // number of a call that is admitted whatever its deadline
	refusals []*call                                               // refused for their deadline
	calls    int
	passed   int          // times that an opening was passed on
	met      map[int]bool // calls that met their deadline
	started  map[*server]map[Ticket]*call
}

func newSimulation(seed uint64, set Settings, speeds []float64, sources ...source) *simulation {
	s := &simulation{now: epoch, met: map[int]bool{}, started: map[*server]map[Ticket]*call{}}
	for i, speed := range speeds {
		set.Capacity = int(100 * speed)
		sv := &server{Controller: New(set, rand.New(rand.NewPCG(seed, uint64(i)))), id: i, speed: speed}
		s.servers = append(s.servers, sv)
		s.started[sv] = map[Ticket]*call{}
	}
	for i := range sources {
		src := sources[i]
		// A generator per source keeps its arrivals the same beside any flood.
		src.rng = rand.New(rand.NewPCG(seed, uint64(1000+i)))
		s.sources = append(s.sources, &src)
	}
	return s
}

func (s *simulation) after(d time.Duration, run func()) {
	at := s.now.Add(d)
	i, _ := slices.BinarySearchFunc(s.queue, at, func(e event, at time.Time) int {
		return cmp.Or(e.at.Compare(at), -1) // after events of the same time
	})
	s.queue = slices.Insert(s.queue, i, event{at, run})
}

// run simulates the time and returns the simulation.
func (s *simulation) run(length time.Duration) *simulation {
	end := s.now.Add(length)
	for _, src := range s.sources {
		s.arrive(src)
	}
	for len(s.queue) > 0 && !s.queue[0].at.After(end) {
		e := s.queue[0]
		s.queue = s.queue[1:]
		s.now = e.at
		e.run()
	}
	return s
}

// arrive schedules the next request of the source.
func (s *simulation) arrive(src *source) {
	gap := src.rng.ExpFloat64() * src.service.Seconds() / src.slots
	s.after(time.Duration(gap*float64(time.Second)), func() {
		s.calls++
		src.offered++
		work := (src.rng.ExpFloat64() + src.rng.ExpFloat64()) / 2
		key := src.rng.Uint64()
		if src.callers > 0 {
			// Few callers offer most requests: the square favours low numbers.
			key = uint64(math.Pow(src.rng.Float64(), 2) * float64(src.callers))
		}
		c := &call{src, time.Duration(work * float64(src.service)), s.now.Add(src.deadline), s.calls}
		s.open(c, s.candidates(key), 0)
		s.arrive(src)
	})
}

// candidates is the weighted rendezvous order of the servers by capacity.
func (s *simulation) candidates(key uint64) []*server {
	order := slices.Clone(s.servers)
	scores := make([]float64, len(order))
	for i, sv := range order {
		scores[i] = rand.New(rand.NewPCG(key, uint64(i))).ExpFloat64() / sv.speed
	}
	slices.SortFunc(order, func(a, b *server) int { return cmp.Compare(scores[a.id], scores[b.id]) })
	return order
}

// open offers the call to the first candidate and passes it on as decided.
func (s *simulation) open(c *call, order []*server, hops int) {
	sv := order[0]
	r := Request{Member: c.from.member, Class: c.from.class, Deadline: c.deadline}
	if c.number == s.forced {
		r.Deadline = c.deadline.Add(time.Hour)
	}
	for _, t := range sv.Expired(s.now) {
		s.started[sv][t].from.expired++
	}
	passOn := func(refused bool) bool {
		if s.pass == nil || !s.pass(sv.Load(r.Member, r.Class), hops, len(order)-1, refused) {
			return false
		}
		s.passed++
		s.open(c, order[1:], hops+1)
		return true
	}
	if passOn(false) {
		return
	}
	t, refusal := sv.Reserve(s.now, r)
	switch {
	case refusal == nil:
		s.started[sv][t] = c
		sv.Enqueue(s.now, t)
		s.pump(sv)
	case passOn(true):
	case refusal.Kind.String() == "REFUSED_DEADLINE":
		c.from.deadlineRefused++
		s.refusals = append(s.refusals, c)
	default:
		c.from.overload++
	}
}

// pump starts what may start on the server.
func (s *simulation) pump(sv *server) {
	for t, ok := sv.Next(s.now); ok; t, ok = sv.Next(s.now) {
		c := s.started[sv][t]
		took := time.Duration(float64(c.work) / sv.speed)
		shed := sv.shedAbove > 0 && sv.running > sv.shedAbove
		if shed {
			took = time.Millisecond
		}
		sv.used += took
		s.after(took, func() {
			sv.Done(s.now, t, Result{ServiceTime: took, Shed: shed})
			switch {
			case shed:
				c.from.shed++
			case s.now.After(c.deadline):
				c.from.late++
			default:
				c.from.good++
				s.met[c.number] = true
			}
			s.pump(sv)
		})
	}
}

// slotShare is the share of the capacity that the matching work got.
func (s *simulation) slotShare(length time.Duration, match func(ClassStats) bool) float64 {
	got, capacity := 0.0, 0.0
	for _, sv := range s.servers {
		capacity += sv.speed * float64(sv.settings.Slots) * length.Seconds()
		for _, st := range sv.Stats() {
			if match(st) {
				got += sv.speed * st.SlotTime.Seconds()
			}
		}
	}
	return got / capacity
}

// total sums the tallies of the sources.
func (s *simulation) total() tally {
	var sum tally
	for _, src := range s.sources {
		sum.good += src.good
		sum.late += src.late
		sum.shed += src.shed
		sum.expired += src.expired
		sum.overload += src.overload
		sum.deadlineRefused += src.deadlineRefused
	}
	return sum
}

// imbalance is the largest use of a server over the mean.
func (s *simulation) imbalance() float64 {
	most, sum := 0.0, 0.0
	for _, sv := range s.servers {
		use := sv.used.Seconds() / float64(sv.settings.Slots)
		most = max(most, use)
		sum += use
	}
	return most * float64(len(s.servers)) / sum
}
