package control

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"testing"
	"time"

	"github.com/peridotstall/peridotstall/internal/config"
	"github.com/peridotstall/peridotstall/internal/confsync"
	"github.com/peridotstall/peridotstall/internal/hostlist"
	"github.com/peridotstall/peridotstall/internal/membership"
	"github.com/peridotstall/peridotstall/internal/schema"
	"github.com/peridotstall/peridotstall/internal/wire"
)

// fleet runs nodes in memory on a virtual clock, which is a queue of timed steps.
type fleet struct {
	t        testing.TB
	rng      *rand.Rand
	now      time.Time
	steps    steps
	lastStep uint64
	procs    []*proc
	byAddr   map[netip.AddrPort]*proc
	service  service
	// loss is the share of messages lost; blocked and drop suppress messages.
	loss    float64
	blocked func(from, to *proc) bool
	drop    func(frame *schema.Frame) bool
	// stub answers on behalf of a process that is not running.
	stub func(q *proc, frame *schema.Frame) *schema.Frame
	// decrease describes the first decrease of a revision in force, empty if none.
	decrease string
}

type step struct {
	at     time.Time
	number uint64
	run    func()
}

type steps []step

func (s steps) Len() int      { return len(s) }
func (s steps) Swap(i, j int) { s[i], s[j] = s[j], s[i] }
func (s steps) Less(i, j int) bool {
	return s[i].at.Before(s[j].at) || (s[i].at.Equal(s[j].at) && s[i].number < s[j].number)
}
func (s *steps) Push(x any) { *s = append(*s, x.(step)) }
func (s *steps) Pop() any {
	last := (*s)[len(*s)-1]
	*s = (*s)[:len(*s)-1]
	return last
}

// proc is one process; it carries out the actions of its node.
type proc struct {
	f      *fleet
	name   string
	zone   string
	addr   netip.AddrPort
	node   *node
	store  *config.Store
	up     bool
	paused bool
	// isReady is set while a daemon would serve.
	isReady      bool
	lastView     *membership.View
	incarnation  int
	doubtChanges int
	rejections   []confsync.Rejected
	traffic      traffic
	cpu          time.Duration
	// inForce is the revision with which the process last served. It is kept
	// across restarts, because the revision must not decrease for the fleet.
	inForce uint64
	// lowestRevision is the revision of the first configuration since the start.
	lowestRevision uint64
}

// service is the fake configuration service.
type service struct {
	f      *fleet
	up     bool
	config *schema.Config
	hosts  *schema.HostList
	// slowHosts delays the responses to reads of the host list.
	slowHosts time.Duration
	// stale is an old configuration, served to the processes in staleTo ("*" for
	// all).
	stale   *schema.Config
	staleTo map[string]bool
	watches []watch
	calls   int
}

type watch struct {
	p           *proc
	incarnation int
	read        confsync.Read
	expiry      time.Time
}

var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func newFleet(t testing.TB, seed uint64, size, zones int) *fleet {
	if test, ok := t.(*testing.T); ok {
		test.Parallel()
	}
	t.Logf("seed %d, %d processes, %d zones", seed, size, zones)
	f := &fleet{t: t, rng: rand.New(rand.NewPCG(seed, 0)), now: epoch, byAddr: map[netip.AddrPort]*proc{}}
	f.service = service{f: f, up: true, config: testConfig(1, min(size, 64)), staleTo: map[string]bool{}}
	for i := range size {
		p := &proc{f: f, name: fmt.Sprintf("host-%05d", i), zone: fmt.Sprintf("zone-%02d", i%zones)}
		p.addr = netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, byte(i >> 16), byte(i >> 8), byte(i)}), 7000)
		f.procs = append(f.procs, p)
		f.byAddr[p.addr] = p
	}
	f.service.hosts = f.hostList(1)
	return f
}

func (f *fleet) hostList(version uint64) *schema.HostList {
	list := &schema.HostList{Version: version}
	for _, p := range f.procs {
		list.Hosts = append(list.Hosts, &schema.Host{Name: p.name, Zone: p.zone, Address: p.addr.String(), State: schema.HostState_LIVE, Role: schema.Role_AGENT})
	}
	return list
}

func testConfig(revision uint64, targets int) *schema.Config {
	c := &schema.Config{Revision: revision, HashKey: make([]byte, 16), Members: []*schema.Member{{Name: "shop", Weight: 1}}}
	serves := &schema.Selector{Requirements: []*schema.Requirement{{Key: "serves", Operator: schema.Requirement_IN, Values: []string{"front"}}}}
	c.Services = []*schema.Service{{Id: 1, Name: "front", Member: "shop", Mode: schema.Mode_DATAGRAM, Address: "198.51.100.1:80", Targets: serves}}
	for i := range targets {
		c.Targets = append(c.Targets, testTarget(i, uint32(100+revision)))
	}
	return c
}

func testTarget(i int, capacity uint32) *schema.Target {
	return &schema.Target{
		Id: uint32(i + 1), Host: fmt.Sprintf("host-%05d", i), Zone: "zone-00", Member: "shop",
		AgentAddress: fmt.Sprintf("10.%d.%d.%d:7000", i>>16, i>>8&255, i&255),
		Labels:       map[string]string{"serves": "front"}, Slots: 3, Connections: 2000, Capacity: capacity,
	}
}

// nextRevision returns the next revision of a configuration, with one changed
// target.
func nextRevision(c *schema.Config) *schema.Config {
	next := &schema.Config{Revision: c.Revision + 1, HashKey: c.HashKey, Members: c.Members, Services: c.Services}
	next.Targets = append(next.Targets, c.Targets...)
	at := int(next.Revision) % len(next.Targets)
	next.Targets[at] = testTarget(at, uint32(100+next.Revision))
	return next
}

func (s *service) publish() uint64 {
	s.config = nextRevision(s.config)
	s.answerWatches()
	return s.config.Revision
}

func (s *service) publishHosts(list *schema.HostList) {
	s.hosts = list
	s.answerWatches()
}

// answer returns the function that delivers the result of a read, and whether the
// result is newer than what the process has.
func (s *service) answer(p *proc, r confsync.Read) (func(), bool) {
	now := s.f.now
	if r.Kind == confsync.ReadHosts {
		list := s.hosts
		return func() { p.node.hostsRead(now, list) }, list.GetVersion() > r.After
	}
	c := s.config
	if s.staleTo[p.name] || s.staleTo["*"] {
		c = s.stale
	}
	if r.Kind == confsync.ReadParts {
		cfg := &schema.Config{Revision: c.Revision, HashKey: c.HashKey, Members: c.Members, Services: c.Services, Targets: c.Targets}
		return func() { p.node.configRead(s.f.now, cfg) }, true
	}
	// A stale service responds with its index even if the process has a newer
	// revision.
	return func() { p.node.indexRead(s.f.now, &schema.Index{Revision: c.Revision}) }, c.Revision > r.After || (c == s.stale && r.Wait == 0)
}

func (s *service) call(p *proc, r confsync.Read) {
	s.calls++
	if !s.up {
		s.f.runAfter(p, time.Second, func() { p.node.syncer.ReadFailed(s.f.now, r.Kind) })
		return
	}
	if run, ok := s.answer(p, r); ok || r.Wait == 0 {
		if !ok {
			run = s.emptyResult(p, r)
		}
		wait := 5 * time.Millisecond
		if r.Kind == confsync.ReadHosts {
			wait += s.slowHosts
		}
		s.f.runAfter(p, wait, run)
		return
	}
	w := watch{p: p, incarnation: p.incarnation, read: r, expiry: s.f.now.Add(r.Wait)}
	s.watches = append(s.watches, w)
	s.f.runAfter(p, r.Wait, func() { s.expireWatch(w) })
}

func (s *service) emptyResult(p *proc, r confsync.Read) func() {
	if r.Kind == confsync.ReadHosts {
		return func() { p.node.hostsRead(s.f.now, nil) }
	}
	return func() { p.node.indexRead(s.f.now, nil) }
}

func (s *service) expireWatch(w watch) {
	for i := range s.watches {
		if s.watches[i] == w {
			s.watches = append(s.watches[:i], s.watches[i+1:]...)
			s.emptyResult(w.p, w.read)()
			return
		}
	}
}

func (s *service) answerWatches() {
	waiting := s.watches
	s.watches = nil
	for _, w := range waiting {
		if run, ok := s.answer(w.p, w.read); ok && s.up {
			s.f.runAfter(w.p, 5*time.Millisecond, run)
		} else {
			s.watches = append(s.watches, w)
		}
	}
}

func (f *fleet) at(at time.Time, run func()) {
	f.lastStep++
	heap.Push(&f.steps, step{at, f.lastStep, run})
}

// runAfter schedules a step of a process, which is skipped if the process was
// restarted or is paused by then. The real time of the step counts as CPU time.
func (f *fleet) runAfter(p *proc, wait time.Duration, run func()) {
	incarnation := p.incarnation
	f.at(f.now.Add(wait), func() {
		if p.up && p.incarnation == incarnation && !p.paused {
			began := time.Now()
			run()
			p.cpu += time.Since(began)
		}
	})
}

// run advances the clock and runs the steps that are due.
func (f *fleet) run(d time.Duration) {
	end := f.now.Add(d)
	for len(f.steps) > 0 && !f.steps[0].at.After(end) {
		next := heap.Pop(&f.steps).(step)
		f.now = next.at
		next.run()
	}
	f.now = end
}

// runUntil advances the clock in steps of 50 ms until the condition holds, and
// returns the time that it took. If the limit expires first, the returned time
// exceeds the limit.
func (f *fleet) runUntil(limit time.Duration, cond func() bool) time.Duration {
	began := f.now
	for !cond() {
		if f.now.Sub(began) >= limit {
			return f.now.Sub(began) + time.Nanosecond
		}
		f.run(50 * time.Millisecond)
	}
	return f.now.Sub(began)
}

// start starts or restarts a process without any state.
func (p *proc) start(peers ...netip.AddrPort) {
	p.incarnation++
	p.up, p.paused, p.isReady, p.lowestRevision = true, false, false, 0
	p.store = config.NewStore(6 * time.Second)
	member := membership.Settings{Host: p.name, Incarnation: uint64(p.f.now.UnixMilli())}
	p.node = newNode(confsync.Settings{Host: p.name, Peers: peers}, member, p.store, p.f.rng, p)
	p.lastView = p.node.detector.View()
	p.ticks(p.incarnation)
}

// ticks schedules the ticks of one incarnation; a paused process misses them.
func (p *proc) ticks(incarnation int) {
	offset := time.Duration(p.f.rng.Int64N(int64(tickInterval)))
	var tick func()
	tick = func() {
		if !p.up || p.incarnation != incarnation {
			return
		}
		if !p.paused {
			began := time.Now()
			p.node.tick(p.f.now)
			p.cpu += time.Since(began)
		}
		p.f.at(p.f.now.Add(tickInterval), tick)
	}
	p.f.at(p.f.now.Add(offset), tick)
}

func (p *proc) send(to netip.AddrPort, frame *schema.Frame) {
	f := p.f
	p.traffic.countSent(frame)
	data, err := wire.AppendFrame(nil, frame)
	if err != nil {
		f.t.Errorf("%s sends a frame that cannot be encoded: %v", p.name, err)
		return
	}
	q := f.byAddr[to]
	if f.stub != nil && q != nil && !q.up {
		if answer := f.stub(q, frame); answer != nil {
			q.send(p.addr, answer)
		}
		return
	}
	if q == nil || !q.up || (f.loss > 0 && f.rng.Float64() < f.loss) || (f.blocked != nil && f.blocked(p, q)) || (f.drop != nil && f.drop(frame)) {
		return
	}
	wait := 500*time.Microsecond + time.Duration(f.rng.Int64N(int64(2*time.Millisecond)))
	f.runAfter(q, wait, func() {
		got := &schema.Frame{}
		if err := wire.DecodeFrame(data, got); err != nil {
			f.t.Errorf("%s: %v", p.name, err)
			return
		}
		q.traffic.countReceived(got)
		q.node.receive(f.now, p.addr, got)
	})
}

func (p *proc) read(r confsync.Read)           { p.f.service.call(p, r) }
func (p *proc) hosts(*hostlist.Set)            {}
func (p *proc) view(v *membership.View)        { p.lastView = v }
func (p *proc) unconfirmed()                   {}
func (p *proc) rejected(r confsync.Rejected)   { p.rejections = append(p.rejections, r) }
func (p *proc) linkDoubt(membership.LinkDoubt) { p.doubtChanges++ }

func (p *proc) config(s *config.Snapshot) {
	if p.lowestRevision == 0 {
		p.lowestRevision = s.Revision()
	}
	p.recordRevision()
}

func (p *proc) ready() {
	p.isReady = true
	p.recordRevision()
}

// recordRevision records the revision in force and the first decrease of one.
func (p *proc) recordRevision() {
	if !p.isReady {
		return
	}
	revision := p.store.Current().Revision()
	if revision < p.inForce && p.f.decrease == "" {
		p.f.decrease = fmt.Sprintf("%s went from revision %d to %d", p.name, p.inForce, revision)
	}
	p.inForce = revision
}

// startAll starts all processes and waits until they are ready and their
// announcements have spread.
func (f *fleet) startAll() {
	for _, p := range f.procs {
		p.start()
	}
	if took := f.runUntil(20*time.Second, func() bool { return f.all(func(p *proc) bool { return p.isReady }) }); took > 20*time.Second {
		f.t.Fatalf("processes are not ready after %v: %+v", took, f.procs[0].rejections)
	}
	f.run(5 * time.Second)
}

// all reports whether the condition holds for all processes that run and are not
// paused.
func (f *fleet) all(cond func(*proc) bool) bool {
	for _, p := range f.procs {
		if p.up && !p.paused && !cond(p) {
			return false
		}
	}
	return true
}

// inForceEverywhere returns a condition that reports whether at least the given
// revision is in force at all running processes.
func (f *fleet) inForceEverywhere(revision uint64) func() bool {
	return func() bool {
		return f.all(func(p *proc) bool { return p.isReady && p.inForce >= revision })
	}
}
