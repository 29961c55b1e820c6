package admission

import (
	"cmp"
	"math"
	"math/rand/v2"
	"slices"
	"time"
)

// source generates the requests of one member and class as a Poisson process.
type source struct {
	member, class string
	load          float64       // offered load, in slots of a target of speed 1
	service       time.Duration // mean at speed 1
	deadline      time.Duration
	callerKeys    int // number of flow keys of the requests; 0 gives each request its own
	rng           *rand.Rand
	tally
}

// tally counts the outcomes of the requests of a source.
type tally struct{ offered, metDeadline, late, shed, expired, overload, deadlineRefused int }

// server is a simulated backend server with the controller of its agent.
type server struct {
	*Controller
	id        int
	speed     float64
	shedAbove int // running requests above which the server sheds; 0 means never
	usedTime  time.Duration
}

// event is a scheduled function call.
type event struct {
	at  time.Time
	run func()
}

// call is one request of a source.
type call struct {
	from     *source
	work     time.Duration
	deadline time.Time
	id       int
}

// simulation runs sources against servers on a virtual clock.
type simulation struct {
	now              time.Time
	queue            []event // in order of time
	servers          []*server
	sources          []*source
	shouldForward    func(l Load, hops, candidates int, refused bool) bool // nil forwards nothing
	forcedCall       int                                                   // ID of a call that is not refused for its deadline
	deadlineRefusals []*call                                               // refused for their deadline
	calls            int
	forwards         int          // times that an opening was forwarded
	metDeadline      map[int]bool // IDs of calls that met their deadline
	started          map[*server]map[Ticket]*call
}

func newSimulation(seed uint64, set Settings, speeds []float64, sources ...source) *simulation {
	s := &simulation{now: epoch, metDeadline: map[int]bool{}, started: map[*server]map[Ticket]*call{}}
	for i, speed := range speeds {
		set.Capacity = int(100 * speed)
		sv := &server{Controller: New(set, rand.New(rand.NewPCG(seed, uint64(i)))), id: i, speed: speed}
		s.servers = append(s.servers, sv)
		s.started[sv] = map[Ticket]*call{}
	}
	for i := range sources {
		src := sources[i]
		// With its own generator, a source has the same arrivals beside any flood.
		src.rng = rand.New(rand.NewPCG(seed, uint64(1000+i)))
		s.sources = append(s.sources, &src)
	}
	return s
}

func (s *simulation) after(d time.Duration, run func()) {
	at := s.now.Add(d)
	i, _ := slices.BinarySearchFunc(s.queue, at, func(e event, at time.Time) int {
		return cmp.Or(e.at.Compare(at), -1) // insert after events of the same time
	})
	s.queue = slices.Insert(s.queue, i, event{at, run})
}

// run advances the simulation by the given length and returns it.
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
	gap := src.rng.ExpFloat64() * src.service.Seconds() / src.load
	s.after(time.Duration(gap*float64(time.Second)), func() {
		s.calls++
		src.offered++
		work := (src.rng.ExpFloat64() + src.rng.ExpFloat64()) / 2
		key := src.rng.Uint64()
		if src.callerKeys > 0 {
			// The square favours low keys, so that few callers send most requests.
			key = uint64(math.Pow(src.rng.Float64(), 2) * float64(src.callerKeys))
		}
		c := &call{src, time.Duration(work * float64(src.service)), s.now.Add(src.deadline), s.calls}
		s.open(c, s.candidates(key), 0)
		s.arrive(src)
	})
}

// candidates returns the servers in rendezvous order, weighted by capacity.
func (s *simulation) candidates(key uint64) []*server {
	order := slices.Clone(s.servers)
	scores := make([]float64, len(order))
	for i, sv := range order {
		scores[i] = rand.New(rand.NewPCG(key, uint64(i))).ExpFloat64() / sv.speed
	}
	slices.SortFunc(order, func(a, b *server) int { return cmp.Compare(scores[a.id], scores[b.id]) })
	return order
}

// open sends the opening of a call to the first server of the order. If
// shouldForward reports true, it forwards the opening to the next one.
func (s *simulation) open(c *call, order []*server, hops int) {
	sv := order[0]
	r := Request{Member: c.from.member, Class: c.from.class, Deadline: c.deadline}
	if c.id == s.forcedCall {
		r.Deadline = c.deadline.Add(time.Hour)
	}
	for _, t := range sv.RemoveExpired(s.now) {
		s.started[sv][t].from.expired++
	}
	forward := func(refused bool) bool {
		if s.shouldForward == nil || !s.shouldForward(sv.Load(r.Member, r.Class), hops, len(order)-1, refused) {
			return false
		}
		s.forwards++
		s.open(c, order[1:], hops+1)
		return true
	}
	if forward(false) {
		return
	}
	t, refusal := sv.Reserve(s.now, r)
	switch {
	case refusal == nil:
		s.started[sv][t] = c
		sv.Enqueue(s.now, t)
		s.startQueued(sv)
	case forward(true):
	case refusal.Kind.String() == "REFUSED_DEADLINE":
		c.from.deadlineRefused++
		s.deadlineRefusals = append(s.deadlineRefusals, c)
	default:
		c.from.overload++
	}
}

// startQueued starts queued requests on the server while slots are free.
func (s *simulation) startQueued(sv *server) {
	for t, ok := sv.Next(s.now); ok; t, ok = sv.Next(s.now) {
		c := s.started[sv][t]
		serviceTime := time.Duration(float64(c.work) / sv.speed)
		shed := sv.shedAbove > 0 && sv.running > sv.shedAbove
		if shed {
			serviceTime = time.Millisecond
		}
		sv.usedTime += serviceTime
		s.after(serviceTime, func() {
			sv.Done(s.now, t, Result{ServiceTime: serviceTime, Shed: shed})
			switch {
			case shed:
				c.from.shed++
			case s.now.After(c.deadline):
				c.from.late++
			default:
				c.from.metDeadline++
				s.metDeadline[c.id] = true
			}
			s.startQueued(sv)
		})
	}
}

// slotShare returns the share of the capacity that the matching work used.
func (s *simulation) slotShare(length time.Duration, match func(ClassStats) bool) float64 {
	used, capacity := 0.0, 0.0
	for _, sv := range s.servers {
		capacity += sv.speed * float64(sv.settings.Slots) * length.Seconds()
		for _, st := range sv.Stats() {
			if match(st) {
				used += sv.speed * st.SlotTime.Seconds()
			}
		}
	}
	return used / capacity
}

// total returns the sum of the tallies of all sources.
func (s *simulation) total() tally {
	var sum tally
	for _, src := range s.sources {
		sum.metDeadline += src.metDeadline
		sum.late += src.late
		sum.shed += src.shed
		sum.expired += src.expired
		sum.overload += src.overload
		sum.deadlineRefused += src.deadlineRefused
	}
	return sum
}

// imbalance returns the ratio of the highest to the mean utilization of a server.
func (s *simulation) imbalance() float64 {
	most, sum := 0.0, 0.0
	for _, sv := range s.servers {
		use := sv.usedTime.Seconds() / float64(sv.settings.Slots)
		most = max(most, use)
		sum += use
	}
	return most * float64(len(s.servers)) / sum
}
