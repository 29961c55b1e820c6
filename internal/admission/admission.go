// Package admission decides which requests and flows the agent of a target
// admits and in which order requests start. Decisions use only the counts of
// the agent itself, because published health and load are delayed or wrong.
// The package reads no clock and no global random source.
package admission

import (
	"math/rand/v2"
	"time"

	"github.com/peridotstall/peridotstall/internal/errkind"
	"github.com/peridotstall/peridotstall/internal/schema"
)

// Algorithm selects how requests are admitted and started.
type Algorithm int

// Values of Algorithm.
const (
	// WeightedFair is weighted fair queueing with floors, early refusal and an
	// adaptive concurrency limit.
	WeightedFair Algorithm = iota
	// FIFO is the baseline for comparisons: one shared bounded queue in order
	// of arrival, a fixed concurrency limit and no early refusal.
	FIFO
)

const (
	// DefaultClass is the class of work whose class is not in the policy.
	DefaultClass = "default"
	// DefaultMember is the member of work whose member is not in the settings.
	// It bounds the number of queues.
	DefaultMember = "default"
	// defaultQueueLimit is the queue limit of a class that configures none, in
	// requests per member.
	defaultQueueLimit = 16
	// maxStep bounds the time that one call of advance accounts for. After a
	// pause of the process the clock jumps over a time in which nothing started.
	maxStep = time.Second
)

// Settings configure a Controller.
type Settings struct {
	// Slots is the maximum number of requests that run concurrently.
	Slots int
	// Connections is the maximum number of open flows.
	Connections int
	// Capacity is the relative speed of the target; 100 is ordinary speed.
	Capacity int
	// Members maps each member to the weight of its share.
	Members map[string]uint32
	// Classes are the classes in the policy of the service.
	Classes []*schema.Class
	// Algorithm selects how requests are admitted and started. Reconfigure
	// ignores it.
	Algorithm Algorithm
	// Warm skips the slow start, for a backend server that served requests
	// before this process started.
	Warm bool
}

// Request describes a request that asks for admission.
type Request struct {
	// Member and Class select the queue.
	Member, Class string
	// Deadline is the time after which the response is useless; zero means none.
	Deadline time.Time
	// Bytes is the size of the request.
	Bytes int
}

// Ticket identifies an admitted request.
type Ticket uint64

// Result is the outcome of a started request.
type Result struct {
	// ServiceTime is the time that the backend server took.
	ServiceTime time.Duration
	// Shed is set if the backend server refused the request because of load.
	Shed bool
	// Failed is set if the request failed for another reason.
	Failed bool
}

// state is the processing state of an admitted request.
type state int

const (
	reserved state = iota
	queued
	running
)

// entry is an admitted request that has not ended.
type entry struct {
	ticket   Ticket
	queue    *queue
	state    state
	deadline time.Time
	enqueued time.Time
	charge   time.Duration
}

// Controller admits, queues and starts the work of one target. It is not safe
// for concurrent use.
type Controller struct {
	settings    Settings
	rng         *rand.Rand
	classes     []*class
	classByName map[string]*class
	members     []string
	weights     map[string]float64
	entries     map[Ticket]*entry
	lastTicket  Ticket
	limit       limiter
	running     int
	waiting     int
	flows       int
	draining    bool
	now         time.Time
}

// New returns a Controller without work. The random source breaks ties between
// members, so that no member comes first at every target.
func New(settings Settings, rng *rand.Rand) *Controller {
	c := &Controller{
		settings:    settings,
		rng:         rng,
		classByName: map[string]*class{},
		weights:     map[string]float64{},
		entries:     map[Ticket]*entry{},
		limit:       newLimiter(settings),
	}
	c.addMembers(settings.Members)
	c.addClasses(settings.Classes)
	return c
}

// Reserve reserves a place in the queue for a request. A refused request did
// not run and will not run at this target.
func (c *Controller) Reserve(now time.Time, r Request) (Ticket, *errkind.Error) {
	c.advance(now)
	q := c.queue(r.Member, r.Class)
	q.offered++
	q.class.recordArrival(now, r.Deadline)
	if refusal := c.checkRequest(now, q, r); refusal != nil {
		q.refused[refusal.Kind]++
		return 0, refusal
	}
	q.admitted++
	q.reserved++
	c.waiting++
	c.lastTicket++
	c.entries[c.lastTicket] = &entry{ticket: c.lastTicket, queue: q, deadline: r.Deadline}
	return c.lastTicket, nil
}

// checkRequest returns the refusal of a request, or nil if it may be admitted.
func (c *Controller) checkRequest(now time.Time, q *queue, r Request) *errkind.Error {
	if c.draining {
		return errkind.New(schema.ErrorKind_REFUSED_DRAINING, "")
	}
	if waiting, limit := c.occupancy(q); waiting >= limit {
		return errkind.New(schema.ErrorKind_REFUSED_OVERLOAD,
			"member %s class %s: %d waiting, limit %d", q.member, q.class.name, waiting, limit)
	}
	if c.settings.Algorithm == FIFO || r.Deadline.IsZero() {
		return nil
	}
	wait, known := c.expectedWait(q)
	if !known {
		return nil
	}
	if need := wait + q.class.service.mean(); now.Add(need).After(r.Deadline) {
		return errkind.New(schema.ErrorKind_REFUSED_DEADLINE,
			"member %s class %s: expected wait %v and service %v, %v left",
			q.member, q.class.name, wait, q.class.service.mean(), r.Deadline.Sub(now))
	}
	return nil
}

// occupancy returns the number of waiting requests that count against the
// limit which applies to q, and that limit. Reservations count, because each
// may be enqueued.
func (c *Controller) occupancy(q *queue) (waiting, limit int) {
	if c.settings.Algorithm != FIFO {
		return q.waiting(), q.class.queueLimit
	}
	for _, cl := range c.classes {
		limit += cl.queueLimit
	}
	return c.waiting, limit
}

// Enqueue makes a reserved request ready to start. It returns false if the
// ticket is unknown or was already enqueued.
func (c *Controller) Enqueue(now time.Time, t Ticket) bool {
	c.advance(now)
	e, ok := c.entries[t]
	if !ok || e.state != reserved {
		return false
	}
	e.state = queued
	e.enqueued = now
	e.queue.reserved--
	e.queue.push(e)
	return true
}

// Next starts the next queued request if a slot is free. It skips requests
// that cannot meet their deadline; RemoveExpired returns those.
func (c *Controller) Next(now time.Time) (Ticket, bool) {
	c.advance(now)
	if c.running >= c.limit.slots() {
		return 0, false
	}
	e := c.pick(now)
	if e == nil {
		return 0, false
	}
	c.start(now, e)
	return e.ticket, true
}

// start moves a queued request into a slot.
func (c *Controller) start(now time.Time, e *entry) {
	q := e.queue
	q.remove(e)
	e.state = running
	e.charge = q.class.service.mean()
	q.charge(e.charge)
	q.running++
	q.class.running++
	c.running++
	c.waiting--
	q.wait.record(now.Sub(e.enqueued))
}

// RemoveExpired removes and returns the queued requests whose deadline has passed or
// would pass before they end. They did not run.
func (c *Controller) RemoveExpired(now time.Time) []Ticket {
	c.advance(now)
	var out []Ticket
	for _, cl := range c.classes {
		for _, q := range cl.queues {
			for _, e := range q.expired(now) {
				q.remove(e)
				q.expiredCount++
				c.waiting--
				delete(c.entries, e.ticket)
				out = append(out, e.ticket)
			}
		}
	}
	return out
}

// Release cancels a reservation or a queued request. A running request keeps
// its slot until Done, because the backend server is still working on it.
func (c *Controller) Release(t Ticket) {
	e, ok := c.entries[t]
	if !ok || e.state == running {
		return
	}
	if e.state == queued {
		e.queue.remove(e)
	} else {
		e.queue.reserved--
	}
	e.queue.released++
	c.waiting--
	delete(c.entries, t)
}

// Done ends a running request and adjusts the concurrency limit to its result.
func (c *Controller) Done(now time.Time, t Ticket, r Result) {
	c.advance(now)
	e, ok := c.entries[t]
	if !ok || e.state != running {
		return
	}
	delete(c.entries, t)
	q := e.queue
	busy := c.running
	q.running--
	q.class.running--
	c.running--
	q.charge(r.ServiceTime - e.charge)
	q.recordResult(r)
	if c.settings.Algorithm == FIFO {
		return
	}
	c.limit.observe(now, q.class, r, busy)
	if !r.Shed && !r.Failed {
		q.class.service.add(r.ServiceTime)
	}
}

// SetDraining makes the Controller refuse new requests and flows, or accept
// them again. Reserved and queued requests still run.
func (c *Controller) SetDraining(draining bool) {
	c.draining = draining
}

// advance accounts for the time since the last call.
func (c *Controller) advance(now time.Time) {
	step := min(now.Sub(c.now), maxStep)
	if c.now.IsZero() {
		step = 0
	}
	if step < 0 {
		return
	}
	c.now = now
	if step == 0 {
		return
	}
	for _, cl := range c.classes {
		cl.advance(step, c.shares(cl))
	}
}
