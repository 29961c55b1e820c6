package admission

import (
	"time"

	"github.com/peridotstall/peridotstall/internal/errkind"
	"github.com/peridotstall/peridotstall/internal/schema"
)

// contested is the share of the connections above which a member may not
// exceed its own share. Flows are long and never evicted, so the rest is kept
// for members that are still below theirs.
const contested = 0.75

// OpenFlow admits a flow, or says why not. Flows and slots are separate limits.
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
	if held, share, over := c.overFlowShare(q.member); over {
		return errkind.New(schema.ErrorKind_REFUSED_OVERLOAD,
			"member %s: %d flows, share %.0f of %d", q.member, held, share, c.settings.Connections)
	}
	q.flows++
	c.flows++
	return nil
}

// overFlowShare reports whether the member holds its share of the connections
// while they are contested.
func (c *Controller) overFlowShare(member string) (held int, share float64, over bool) {
	if c.settings.Algorithm == FIFO || len(c.settings.Members) < 2 {
		return 0, 0, false
	}
	total := 0.0
	for name := range c.settings.Members { // DefaultMember takes no share from the listed ones
		total += c.weights[name]
	}
	for _, cl := range c.classes {
		held += c.queue(member, cl.name).flows
	}
	limit := float64(c.settings.Connections)
	share = limit * c.weights[member] / total
	return held, share, float64(c.flows) >= contested*limit && float64(held) >= share
}

// CloseFlow ends an admitted flow.
func (c *Controller) CloseFlow(member, class string) {
	q := c.queue(member, class)
	if q.flows == 0 {
		return
	}
	q.flows--
	c.flows--
}
