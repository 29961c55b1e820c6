package membership

import (
	"cmp"
	"encoding/binary"
	"net/netip"
	"slices"
	"time"

	"github.com/peridotstall/peridotstall/internal/hostlist"
	"github.com/peridotstall/peridotstall/internal/schema"
)

const (
	// Frame.hops of a batch or announcement: the receiver passes injected
	// events to the roots of its zone, tree events to its children, and keeps
	// synchronized events to itself.
	hopInjected = 0
	hopTree     = 1
	hopSync     = 2

	// eventRate and eventBurst bound the events that a process sends, in bytes a
	// second and bytes, so that with an equal amount received, probes and
	// revision exchange it stays below 26 KB in every second while a whole zone
	// fails. 10 KB/s with a burst of 16 KB gave 50 KB in the first second.
	eventRate  = 8 << 10
	eventBurst = 4 << 10
	// packEvery collects failure verdicts for a batch; announcements leave with
	// the next tick.
	packEvery = 300 * time.Millisecond
	// batchEvents keeps a batch to 8 children within the burst; an event usually
	// takes 16 bytes. A larger batch waits for the whole burst.
	batchEvents = 18
	// datagramOverhead is counted for the headers of IP, UDP and the frame.
	datagramOverhead = 45
	// outboxLimit bounds the waiting events; a lost one is repaired by the
	// exchange with random peers.
	outboxLimit = 16384
)

// route says to whom waiting events go.
type route int

const (
	// toChildren are the children of the process in the tree of the stripe.
	toChildren route = iota
	// toRoots are the roots of the stripe in the own zone.
	toRoots
	// toZones are random processes, one in each other zone.
	toZones
	routeCount
)

// outbox holds the events that wait to be passed on.
type outbox struct {
	urgent  []queued
	packed  []queued
	packAt  time.Time
	tokens  float64
	filled  time.Time
	dropped uint64
}

type queued struct {
	event
	route route
}

// add queues an event that arrived with the given hops.
func (o *outbox) add(e event, hops int) {
	switch hops {
	case hopInjected:
		o.queue(e, toRoots)
		o.queue(e, toChildren)
	case hopTree:
		o.queue(e, toChildren)
	}
}

func (o *outbox) queue(e event, r route) {
	if len(o.urgent)+len(o.packed) >= outboxLimit {
		o.dropped++
		return
	}
	if e.state == schema.HostState_DEAD {
		o.packed = append(o.packed, queued{e, r})
		return
	}
	o.urgent = append(o.urgent, queued{e, r})
}

func (o *outbox) refill(now time.Time) {
	if o.filled.IsZero() {
		o.tokens = eventBurst
	} else {
		o.tokens = min(eventBurst, o.tokens+now.Sub(o.filled).Seconds()*eventRate)
	}
	o.filled = now
}

// flush sends waiting events: announcements first, since a leaving host must
// get no new flows within 3 s, then verdicts in batches.
func (d *Detector) flush(now time.Time) []Action {
	o := &d.outbox
	o.refill(now)
	var out []Action
	out, o.urgent = d.sendQueue(o.urgent, out)
	if !now.Before(o.packAt) {
		o.packAt = now.Add(packEvery)
		out, o.packed = d.sendQueue(o.packed, out)
	}
	return out
}

// sendQueue sends the events by stripe and route as far as the allowance
// permits and returns those that still wait.
func (d *Detector) sendQueue(waiting []queued, out []Action) ([]Action, []queued) {
	if len(waiting) == 0 || d.hosts == nil {
		return out, waiting[:0]
	}
	// Equal stripes and routes become neighbours; the order of arrival is kept.
	slices.SortStableFunc(waiting, func(a, b queued) int {
		return cmp.Compare(a.group(), b.group())
	})
	var rest []queued
	for len(waiting) > 0 {
		n := 1
		for n < len(waiting) && n < batchEvents && waiting[n].group() == waiting[0].group() {
			n++
		}
		to := d.destinations(waiting[0])
		data := encodeBatch(waiting[:n])
		cost := float64(len(to) * (len(data) + datagramOverhead))
		if d.outbox.tokens < min(cost, eventBurst) {
			rest = append(rest, waiting[:n]...)
		} else {
			d.outbox.tokens -= cost
			out = append(out, batchTo(to, data, waiting[0].route.hops())...)
		}
		waiting = waiting[n:]
	}
	return out, rest
}

// group orders events by route and stripe. Events to other zones are not
// divided: the receiver passes each one on in the stripe of its host.
func (q queued) group() int {
	if q.route == toZones {
		return int(toZones) * hostlist.Stripes
	}
	return int(q.route)*hostlist.Stripes + stripe(q.id)
}

func (r route) hops() uint32 {
	if r == toZones {
		return hopInjected
	}
	return hopTree
}

func stripe(id hostlist.ID) int { return int(id % hostlist.Stripes) }

func (d *Detector) destinations(q queued) []netip.AddrPort {
	var out []netip.AddrPort
	switch q.route {
	case toChildren:
		out = addresses(d.currentTree().Children(stripe(q.id)))
	case toRoots:
		out = addresses(d.currentTree().Roots(stripe(q.id)))
	case toZones:
		own := d.hosts.ByID(d.id)
		for zone := range d.zoneCount() {
			if own < 0 || int(d.hosts.At(own).Zone) != zone {
				out = append(out, d.injectors(zone, 1)...)
			}
		}
	}
	return out
}

func addresses(hosts []*hostlist.Host) []netip.AddrPort {
	out := make([]netip.AddrPort, 0, len(hosts))
	for _, h := range hosts {
		out = append(out, h.Addr)
	}
	return out
}

// encodeBatch packs events: host ID (8 bytes), incarnation, sequence number
// and state. The host name is left out because every process can derive the ID
// from its host list.
func encodeBatch(events []queued) []byte {
	data := make([]byte, 0, 20*len(events))
	for _, e := range events {
		data = binary.LittleEndian.AppendUint64(data, uint64(e.id))
		data = binary.AppendUvarint(data, e.incarnation)
		data = binary.AppendUvarint(data, e.sequence<<2|uint64(e.state))
	}
	return data
}

// decodeBatch unpacks events; a malformed rest is dropped.
func decodeBatch(data []byte) []event {
	var out []event
	for len(data) > 8 {
		e := event{id: hostlist.ID(binary.LittleEndian.Uint64(data))}
		data = data[8:]
		var n int
		if e.incarnation, n = binary.Uvarint(data); n <= 0 {
			return out
		}
		data = data[n:]
		tail, n := binary.Uvarint(data)
		if n <= 0 {
			return out
		}
		data = data[n:]
		e.sequence = tail >> 2
		e.state = schema.HostState(tail & 3)
		if valid(e) {
			out = append(out, e)
		}
	}
	return out
}

// batchTo sends a batch. The schema has no message for several events; a
// ConfigChunk without content kind carries them.
func batchTo(to []netip.AddrPort, data []byte, hops uint32) []Action {
	chunk := &schema.ConfigChunk{Count: 1, Data: data}
	frame := &schema.Frame{Hops: hops, Body: &schema.Frame_ConfigChunk{ConfigChunk: chunk}}
	out := make([]Action, 0, len(to))
	for _, addr := range to {
		out = append(out, Send{To: addr, Frame: frame})
	}
	return out
}

// receiveBatch learns events and answers synchronized ones that are outdated.
func (d *Detector) receiveBatch(now time.Time, from netip.AddrPort, hops uint32, data []byte) []Action {
	var out []Action
	var newer []queued
	for _, e := range decodeBatch(data) {
		stated := entry{incarnation: e.incarnation, sequence: e.sequence, state: e.state}
		own, ok := d.events.table[e.id]
		if ok && stated.before(own) && hops == hopSync {
			newer = append(newer, queued{event: own.event(e.id)})
		}
		out = append(out, d.learn(now, e, int(hops))...)
	}
	if len(newer) > 0 {
		out = append(out, batchTo([]netip.AddrPort{from}, encodeBatch(newer), hopSync)...)
	}
	return out
}

func (e entry) event(id hostlist.ID) event {
	return event{id: id, incarnation: e.incarnation, sequence: e.sequence, state: e.state}
}

// SyncWith sends the deviating hosts to a peer that has others: the newest
// half of a batch and as many from a random place, because a batch may not
// hold them all.
func (d *Detector) SyncWith(now time.Time, to netip.AddrPort) []Action {
	d.outbox.refill(now)
	all := d.events.newestFirst()
	if len(all) > batchEvents {
		from := batchEvents/2 + d.rng.IntN(len(all)-batchEvents+1)
		all = append(all[:batchEvents/2:batchEvents/2], all[from:from+batchEvents/2]...)
	}
	data := encodeBatch(all)
	cost := float64(len(data) + datagramOverhead)
	if len(all) == 0 || cost > d.outbox.tokens {
		return nil
	}
	d.outbox.tokens -= cost
	return batchTo([]netip.AddrPort{to}, data, hopSync)
}
