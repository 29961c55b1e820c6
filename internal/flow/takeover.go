package flow

import (
	"cmp"
	"slices"
	"time"

	"github.com/peridotstall/peridotstall/internal/placement"
)

// Record is one flow as it passes from an agent process to its successor.
type Record struct {
	Key placement.Key
	// IdleCaller and IdlePacket are the times since the last packet of the
	// caller and since any packet.
	IdleCaller time.Duration
	IdlePacket time.Duration
	// Idle is the idle timeout of the flow.
	Idle time.Duration
}

// Export returns all flows, for a successor process on the same host.
func (c *Core) Export(now time.Time) []Record {
	records := make([]Record, 0, len(c.flows))
	for _, f := range c.flows {
		records = append(records, Record{
			Key:        f.key,
			IdleCaller: now.Sub(f.lastCaller),
			IdlePacket: now.Sub(f.lastPacket),
			Idle:       f.idle,
		})
	}
	slices.SortFunc(records, func(a, b Record) int {
		return cmp.Or(cmp.Compare(a.Key.Service, b.Key.Service), a.Key.Caller.Compare(b.Key.Caller))
	})
	return records
}

// Import takes over the flows of the predecessor. It needs a view, and is called
// before the first packet. A flow without room is not taken over and is returned.
func (c *Core) Import(now time.Time, records []Record) (left []Record, actions []Action) {
	c.out = nil
	for _, r := range records {
		if err := c.admission.OpenFlow(now, r.Key.Service); err != nil {
			left = append(left, r)
			continue
		}
		f := &owned{
			key:        r.Key,
			hash:       c.hash(r.Key),
			idle:       r.Idle,
			lastCaller: now.Add(-r.IdleCaller),
			lastPacket: now.Add(-r.IdlePacket),
		}
		c.flows[f.key] = f
		c.byHash[f.hash] = f
	}
	c.registerAll(now)
	return left, c.out
}
