package flow

import (
	"cmp"
	"slices"
	"time"

	"github.com/peridotstall/peridotstall/internal/placement"
)

// Record is one flow in a takeover by a successor process. It is sent with
// net/rpc, so that the field names are part of the protocol.
type Record struct {
	Key placement.Key
	// IdleCaller is the time since the last packet of the caller, IdlePacket
	// the time since the last packet in either direction.
	IdleCaller time.Duration
	IdlePacket time.Duration
	// Idle is the idle timeout of the flow.
	Idle time.Duration
}

// Export returns all flows for a successor process on the same host, ordered by
// key.
func (c *Core) Export(now time.Time) []Record {
	records := make([]Record, 0, len(c.flows))
	for _, f := range c.flows {
		records = append(records, Record{
			Key:        f.key,
			IdleCaller: now.Sub(f.lastCaller),
			IdlePacket: now.Sub(f.lastPacket),
			Idle:       f.idleTimeout,
		})
	}
	slices.SortFunc(records, func(a, b Record) int {
		return cmp.Or(cmp.Compare(a.Key.Service, b.Key.Service), a.Key.Caller.Compare(b.Key.Caller))
	})
	return records
}

// Import takes over flows from the predecessor process. It must be called after
// SetView and before the first packet. It returns the flows that admission
// refused, which are not taken over.
func (c *Core) Import(now time.Time, records []Record) (refused []Record, actions []Action) {
	c.actions = nil
	for _, r := range records {
		if err := c.admission.OpenFlow(now, r.Key.Service); err != nil {
			refused = append(refused, r)
			continue
		}
		f := &ownedFlow{
			key:         r.Key,
			hash:        c.hash(r.Key),
			idleTimeout: r.Idle,
			lastCaller:  now.Add(-r.IdleCaller),
			lastPacket:  now.Add(-r.IdlePacket),
		}
		c.flows[f.key] = f
		c.byHash[f.hash] = f
	}
	c.registerAll(now)
	return refused, c.actions
}
