package admission

import (
	"math"
	"slices"
	"time"

	"github.com/peridotstall/peridotstall/internal/schema"
)

const (
	// rateWindow is the time constant of the arrival rate of a class. It is
	// long enough to hold tens of arrivals of an interactive class and short
	// enough that slots held back for a class that stopped are lent soon.
	rateWindow = 2 * time.Second
	// minAge bounds the correction of the rate for a class that is new: it divides
	// by the part of the window that was seen.
	minAge = 200 * time.Millisecond
	// maxCredit bounds the time for which a class that did not get its share
	// may catch up.
	maxCredit = 2 * time.Second
	// meanWeight is the weight of one sample in the mean service time and slack.
	meanWeight = 0.05
)

// average is an exponentially weighted mean of durations.
type average struct {
	value float64
	known bool
}

func (a *average) add(d time.Duration) {
	if !a.known {
		a.value, a.known = float64(d), true
		return
	}
	a.value += meanWeight * (float64(d) - a.value)
}

func (a *average) mean() time.Duration {
	return time.Duration(a.value)
}

// account measures the slot time that a class is ahead of or behind a rate, in
// slot-seconds. At zero or above the class may start a request on that rate.
type account struct {
	credit float64
}

// advance adds what the rate grants in the step and takes what was used. A
// class without work earns nothing, and its debt is at most one request, so
// that slots lent to it earlier do not cost it its share later.
func (a *account) advance(step time.Duration, rate, used, debt float64, hasWork bool) {
	seconds := step.Seconds()
	a.credit += (rate - used) * seconds
	most := 0.0
	if hasWork {
		most = rate*maxCredit.Seconds() + debt
	}
	a.credit = min(max(a.credit, -debt), most)
}

// class is the state of one class of the policy.
type class struct {
	name       string
	urgency    uint32
	floor      float64 // share of the slots that is guaranteed
	weight     float64
	queueLimit int
	queues     []*queue // one per member
	running    int
	virtual    float64 // virtual time of the member served last
	floorAcct  account
	shareAcct  account
	service    average
	slack      average       // time between arrival and deadline
	rate       float64       // arrivals per second
	idle       time.Duration // time since the last arrival
	age        time.Duration // time since the first arrival
}

// arrived counts an arrival in the rate and the slack of the class.
func (cl *class) arrived(now, deadline time.Time) {
	cl.rate += 1 / rateWindow.Seconds()
	cl.idle = 0
	if !deadline.IsZero() {
		cl.slack.add(deadline.Sub(now))
	}
}

// advance accounts for a step of time.
func (cl *class) advance(step time.Duration, s shares) {
	cl.idle += step
	if cl.rate > 0 {
		cl.age += step
	}
	cl.rate *= math.Exp(-step.Seconds() / rateWindow.Seconds())
	work := cl.hasQueued() || cl.running > 0
	debt := cl.service.mean().Seconds()
	cl.floorAcct.advance(step, s.floor, float64(cl.running), debt, work)
	cl.shareAcct.advance(step, s.share, float64(cl.running), debt, work)
}

// demand is the number of slots that the arrivals of the class keep busy. It is
// one before the first sample: a class that is given no slot never gets a sample.
func (cl *class) demand() float64 {
	if !cl.service.known {
		return 1
	}
	seen := 1 - math.Exp(-max(cl.age, minAge).Seconds()/rateWindow.Seconds())
	return cl.rate / seen * cl.service.mean().Seconds()
}

// present reports whether the class takes part in the division of the slots.
func (cl *class) present() bool {
	return cl.running > 0 || cl.idle < holdWindow || cl.hasQueued()
}

func (cl *class) hasQueued() bool {
	return slices.ContainsFunc(cl.queues, func(q *queue) bool { return len(q.items) > 0 })
}

func (cl *class) waiting() int {
	total := 0
	for _, q := range cl.queues {
		total += q.waiting()
	}
	return total
}

// queue holds the work of one member in one class.
type queue struct {
	member   string
	class    *class
	weight   float64
	virtual  float64 // slot time received, divided by the weight
	items    []*entry
	reserved int
	running  int
	flows    int
	counters
}

func newQueue(member string, weight float64, cl *class) *queue {
	return &queue{
		member:   member,
		class:    cl,
		weight:   weight,
		counters: newCounters(),
	}
}

// waiting is the queue room in use; a reservation counts as much as a queued request.
func (q *queue) waiting() int {
	return len(q.items) + q.reserved
}

// push appends a request. A member that had nothing queued starts at least level
// with the one served last, so that it does not save up service.
func (q *queue) push(e *entry) {
	if len(q.items) == 0 {
		q.virtual = max(q.virtual, q.class.virtual)
	}
	q.items = append(q.items, e)
}

func (q *queue) remove(e *entry) {
	if i := slices.Index(q.items, e); i >= 0 {
		q.items = slices.Delete(q.items, i, i+1)
	}
}

// charge adds slot time to what the member received.
func (q *queue) charge(d time.Duration) {
	q.virtual += d.Seconds() / q.weight
}

// head returns the first request that can still meet its deadline, or nil.
func (q *queue) head(now time.Time) *entry {
	for _, e := range q.items {
		if !e.late(now) {
			return e
		}
	}
	return nil
}

// expired returns the queued requests that cannot meet their deadline.
func (q *queue) expired(now time.Time) []*entry {
	var out []*entry
	for _, e := range q.items {
		if e.late(now) {
			out = append(out, e)
		}
	}
	return out
}

// late reports whether the response would come after the deadline. Without the
// service time, up to 9% of the requests that met their deadline were lost to
// requests that ran in vain. A class that runs nothing gets no new samples, so
// its service time is not trusted.
func (e *entry) late(now time.Time) bool {
	if e.deadline.IsZero() {
		return false
	}
	if cl := e.queue.class; cl.running > 0 {
		now = now.Add(cl.service.mean())
	}
	return !now.Before(e.deadline)
}

// addMembers fixes the members and their weights.
func (c *Controller) addMembers(members map[string]uint32) {
	for name, weight := range members {
		c.members = append(c.members, name)
		c.weights[name] = float64(max(weight, 1))
	}
	if _, ok := c.weights[DefaultMember]; !ok {
		c.members = append(c.members, DefaultMember)
		c.weights[DefaultMember] = 1
	}
	slices.Sort(c.members)
}

// addClasses creates the classes, most urgent first, with one queue per member.
// Floors above 100 percent in sum are scaled down.
func (c *Controller) addClasses(list []*schema.Class) {
	total := 0.0
	for _, s := range list {
		total += float64(s.GetFloorPercent())
		c.addClass(s)
	}
	if _, ok := c.byName[DefaultClass]; !ok {
		c.addClass(&schema.Class{Name: DefaultClass, Weight: 1})
	}
	for _, cl := range c.classes {
		cl.floor /= max(total, 100)
	}
	slices.SortStableFunc(c.classes, func(a, b *class) int { return int(b.urgency) - int(a.urgency) })
}

func (c *Controller) addClass(s *schema.Class) {
	limit := int(s.GetQueueLimit())
	if limit == 0 {
		limit = defaultQueueLimit
	}
	cl := &class{
		name:       s.GetName(),
		urgency:    s.GetUrgency(),
		floor:      float64(s.GetFloorPercent()),
		weight:     float64(s.GetWeight()),
		queueLimit: limit,
		idle:       holdWindow,
	}
	for _, member := range c.members {
		cl.queues = append(cl.queues, newQueue(member, c.weights[member], cl))
	}
	c.classes = append(c.classes, cl)
	c.byName[cl.name] = cl
}

// queue returns the queue of a member in a class, with the defaults for
// unlisted ones.
func (c *Controller) queue(member, name string) *queue {
	cl, ok := c.byName[name]
	if !ok {
		cl = c.byName[DefaultClass]
	}
	i, ok := slices.BinarySearch(c.members, member)
	if !ok {
		i, _ = slices.BinarySearch(c.members, DefaultMember)
	}
	return cl.queues[i]
}
