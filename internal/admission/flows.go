package admission

import (
	"time"

	"github.com/peridotstall/peridotstall/internal/errkind"
	"github.com/peridotstall/peridotstall/internal/schema"
)

// contentionThreshold is the fraction of the connections in use from which on a
// member may not exceed its share. Flows are long-lived and never evicted, so
// the remaining connections are reserved for members below their share.
const contentionThreshold = 0.75

// OpenFlow admits a flow or returns a refusal. Flows count against Connections,
// not against the slots.
func (c *Controller) OpenFlow(now time.Time, member, class string) *errkind.Error {
	c.advance(now)
	q := c.queue(member, class)
	if c.draining {
		return errkind.New(schema.ErrorKind_REFUSED_DRAINING, "")
	}
	if c.flows >= c.settings.Connections {
		return errkind.New(schema.ErrorKind_REFUSED_OVERLOAD,
			"%d flows, limit %d", c.flows, c.settings.Connections)
	}
	if flows, share, over := c.exceedsFlowShare(q.member); over {
		return errkind.New(schema.ErrorKind_REFUSED_OVERLOAD,
			"member %s: %d flows, share %.0f of %d", q.member, flows, share, c.settings.Connections)
	}
	q.flows++
	c.flows++
	return nil
}

// exceedsFlowShare reports whether the connections are contended and the member
// already has its share of them. It also returns both numbers.
func (c *Controller) exceedsFlowShare(member string) (flows int, share float64, over bool) {
	if c.settings.Algorithm == FIFO || len(c.settings.Members) < 2 {
		return 0, 0, false
	}
	total := 0.0
	for name := range c.settings.Members { // excludes DefaultMember, which takes no share from listed members
		total += c.weights[name]
	}
	for _, cl := range c.classes {
		flows += c.queue(member, cl.name).flows
	}
	limit := float64(c.settings.Connections)
	share = limit * c.weights[member] / total
	return flows, share, float64(c.flows) >= contentionThreshold*limit && float64(flows) >= share
}

// CloseFlow ends an admitted flow. It has no effect if none is open.
func (c *Controller) CloseFlow(member, class string) {
	q := c.queue(member, class)
	if q.flows == 0 {
		return
	}
	q.flows--
	c.flows--
}
