package admission

import (
	"math"
	"slices"
	"time"

	"github.com/peridotstall/peridotstall/internal/schema"
)

const (
	// rateWindow is the time constant of the arrival rate of a class. It covers
	// tens of arrivals of an interactive class and is short enough that slots
	// kept free for a class without new arrivals are soon lent to others.
	rateWindow = 2 * time.Second
	// minRateAge is the minimum observation time that demand assumes for a new
	// class. It bounds the correction of a rate whose window is not yet full.
	minRateAge = 200 * time.Millisecond
	// maxCredit bounds the credit of a class to what it earns in this time, and so
	// the time for which a class that did not get its share catches up.
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

// account holds the slot time, in slot-seconds, that a class earned at a rate
// and has not used. A class may start a request unless the credit is negative.
type account struct {
	credit float64
}

// advance adds the slot time that the rate grants in the step and subtracts the
// used slot time. A class without work earns no credit. The debt is bounded to
// one request, so that slots lent to the class do not cost it its share later.
func (a *account) advance(step time.Duration, rate, used, debt float64, hasWork bool) {
	seconds := step.Seconds()
	a.credit += (rate - used) * seconds
	upperBound := 0.0
	if hasWork {
		upperBound = rate*maxCredit.Seconds() + debt
	}
	a.credit = min(max(a.credit, -debt), upperBound)
}

// class is the scheduling state of one class of the policy.
type class struct {
	name         string
	urgency      uint32
	floor        float64 // guaranteed share of the slots, 0 to 1
	weight       float64
	queueLimit   int
	queues       []*queue // one per member
	running      int
	virtualTime  float64 // highest virtual time among the members served
	floorAccount account
	shareAccount account
	service      average
	slack        average       // time from arrival to deadline
	rate         float64       // arrivals per second
	idle         time.Duration // time since the last arrival
	age          time.Duration // time since the first arrival
}

// recordArrival updates the arrival rate and the slack of the class.
func (cl *class) recordArrival(now, deadline time.Time) {
	cl.rate += 1 / rateWindow.Seconds()
	cl.idle = 0
	if !deadline.IsZero() {
		cl.slack.add(deadline.Sub(now))
	}
}

// advance updates the time-dependent state of the class.
func (cl *class) advance(step time.Duration, s shares) {
	cl.idle += step
	if cl.rate > 0 {
		cl.age += step
	}
	cl.rate *= math.Exp(-step.Seconds() / rateWindow.Seconds())
	work := cl.hasQueued() || cl.running > 0
	debt := cl.service.mean().Seconds()
	cl.floorAccount.advance(step, s.floor, float64(cl.running), debt, work)
	cl.shareAccount.advance(step, s.share, float64(cl.running), debt, work)
}

// demand returns the number of slots that the arrivals of the class keep busy.
// It is one before the first service time is known, because a class that gets
// no slot never gets a sample.
func (cl *class) demand() float64 {
	if !cl.service.known {
		return 1
	}
	covered := 1 - math.Exp(-max(cl.age, minRateAge).Seconds()/rateWindow.Seconds())
	return cl.rate / covered * cl.service.mean().Seconds()
}

// active reports whether the class counts in the division of the slots.
func (cl *class) active() bool {
	return cl.running > 0 || cl.idle < activeWindow || cl.hasQueued()
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

// queue holds the requests and statistics of one member in one class.
type queue struct {
	member      string
	class       *class
	weight      float64
	virtualTime float64 // received slot time in seconds, divided by the weight
	items       []*entry
	reserved    int
	running     int
	flows       int
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

// waiting returns the number of queued and reserved requests.
func (q *queue) waiting() int {
	return len(q.items) + q.reserved
}

// push appends a request. The virtual time of an empty queue is raised to that
// of the class, so that a member does not accumulate service while idle.
func (q *queue) push(e *entry) {
	if len(q.items) == 0 {
		q.virtualTime = max(q.virtualTime, q.class.virtualTime)
	}
	q.items = append(q.items, e)
}

func (q *queue) remove(e *entry) {
	if i := slices.Index(q.items, e); i >= 0 {
		q.items = slices.Delete(q.items, i, i+1)
	}
}

// charge adds slot time to the virtual time of the member.
func (q *queue) charge(d time.Duration) {
	q.virtualTime += d.Seconds() / q.weight
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

// late reports whether the response would miss the deadline. The mean service
// time counts: without it, requests that end too late cost up to 9% of those
// that meet their deadline. It is ignored while the class runs nothing, because
// it gets no new samples then and may be outdated.
func (e *entry) late(now time.Time) bool {
	if e.deadline.IsZero() {
		return false
	}
	if cl := e.queue.class; cl.running > 0 {
		now = now.Add(cl.service.mean())
	}
	return !now.Before(e.deadline)
}

// addMembers sets the members and their weights and adds DefaultMember.
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

// addClasses creates the classes, the most urgent first, with one queue per
// member. Floors whose sum exceeds 100 percent are scaled down.
func (c *Controller) addClasses(list []*schema.Class) {
	total := 0.0
	for _, s := range list {
		total += float64(s.GetFloorPercent())
		c.addClass(s)
	}
	if _, ok := c.classByName[DefaultClass]; !ok {
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
		idle:       activeWindow,
	}
	for _, member := range c.members {
		cl.queues = append(cl.queues, newQueue(member, c.weights[member], cl))
	}
	c.classes = append(c.classes, cl)
	c.classByName[cl.name] = cl
}

// queue returns the queue of a member in a class. Unlisted members and classes
// use DefaultMember and DefaultClass.
func (c *Controller) queue(member, name string) *queue {
	cl, ok := c.classByName[name]
	if !ok {
		cl = c.classByName[DefaultClass]
	}
	i, ok := slices.BinarySearch(c.members, member)
	if !ok {
		i, _ = slices.BinarySearch(c.members, DefaultMember)
	}
	return cl.queues[i]
}
