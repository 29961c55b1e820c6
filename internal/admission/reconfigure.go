package admission

import (
	"slices"
	"time"

	"github.com/peridotstall/peridotstall/internal/schema"
)

// Reconfigure puts new settings in force. Reserved, queued and running work and
// open flows stay, also those above a lowered limit; only new work meets it.
// Members and classes that are gone keep their queues until those are empty,
// without a floor.
func (c *Controller) Reconfigure(now time.Time, s Settings) {
	c.advance(now)
	s.Algorithm = c.settings.Algorithm
	c.settings = s
	c.limit.resize(s)
	c.updateMembers(s.Members)
	c.updateClasses(s.Classes)
}

// resize changes the highest limit. A raised one is reached by growth, since
// the backend server has not shown yet that it can carry more.
func (l *limiter) resize(s Settings) {
	l.most = float64(max(s.Slots, 1))
	l.limit = min(l.limit, l.most)
}

func (c *Controller) updateMembers(members map[string]uint32) {
	for name, weight := range members {
		if _, ok := c.weights[name]; !ok {
			c.members = append(c.members, name)
		}
		c.weights[name] = float64(max(weight, 1))
	}
	slices.Sort(c.members)
	for _, cl := range c.classes {
		cl.queues = c.queuesOf(cl)
	}
}

// queuesOf returns one queue per member, with the present ones kept.
func (c *Controller) queuesOf(cl *class) []*queue {
	present := map[string]*queue{}
	for _, q := range cl.queues {
		present[q.member] = q
	}
	queues := make([]*queue, 0, len(c.members))
	for _, member := range c.members {
		q := present[member]
		if q == nil {
			q = newQueue(member, c.weights[member], cl)
		}
		q.weight = c.weights[member]
		queues = append(queues, q)
	}
	return queues
}

func (c *Controller) updateClasses(list []*schema.Class) {
	present := c.byName
	old := c.classes
	c.classes, c.byName = nil, map[string]*class{}
	c.addClasses(list)
	for i, cl := range c.classes {
		if kept := present[cl.name]; kept != nil {
			kept.urgency, kept.floor, kept.weight = cl.urgency, cl.floor, cl.weight
			kept.queueLimit = cl.queueLimit
			c.classes[i], c.byName[cl.name] = kept, kept
		}
	}
	for _, cl := range old {
		if c.byName[cl.name] != nil {
			continue
		}
		cl.urgency, cl.floor, cl.weight = 0, 0, 1
		c.classes, c.byName[cl.name] = append(c.classes, cl), cl
	}
}
