package admission

import (
	"slices"
	"time"

	"github.com/peridotstall/peridotstall/internal/schema"
)

// Reconfigure applies new settings, except for the algorithm. Reserved, queued
// and running work and open flows are kept, even above a lowered limit, which
// applies to new work only. Removed members and classes keep their queues so
// that admitted work still runs; a removed class has no floor.
func (c *Controller) Reconfigure(now time.Time, s Settings) {
	c.advance(now)
	s.Algorithm = c.settings.Algorithm
	c.settings = s
	c.limit.resize(s)
	c.updateMembers(s.Members)
	c.updateClasses(s.Classes)
}

// resize changes the maximum limit. The limit reaches a raised maximum through
// regular increases, because the backend server may not sustain more.
func (l *limiter) resize(s Settings) {
	l.maxLimit = float64(max(s.Slots, 1))
	l.limit = min(l.limit, l.maxLimit)
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
		cl.queues = c.queuesFor(cl)
	}
}

// queuesFor returns one queue per member and reuses existing queues.
func (c *Controller) queuesFor(cl *class) []*queue {
	existing := map[string]*queue{}
	for _, q := range cl.queues {
		existing[q.member] = q
	}
	queues := make([]*queue, 0, len(c.members))
	for _, member := range c.members {
		q := existing[member]
		if q == nil {
			q = newQueue(member, c.weights[member], cl)
		}
		q.weight = c.weights[member]
		queues = append(queues, q)
	}
	return queues
}

func (c *Controller) updateClasses(list []*schema.Class) {
	existing := c.classByName
	old := c.classes
	c.classes, c.classByName = nil, map[string]*class{}
	c.addClasses(list)
	for i, cl := range c.classes {
		if kept := existing[cl.name]; kept != nil {
			kept.urgency, kept.floor, kept.weight = cl.urgency, cl.floor, cl.weight
			kept.queueLimit = cl.queueLimit
			c.classes[i], c.classByName[cl.name] = kept, kept
		}
	}
	for _, cl := range old {
		if c.classByName[cl.name] != nil {
			continue
		}
		cl.urgency, cl.floor, cl.weight = 0, 0, 1
		c.classes, c.classByName[cl.name] = append(c.classes, cl), cl
	}
}
