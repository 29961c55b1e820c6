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
	// Values of Frame.hops in a batch or announcement. The receiver forwards
	// injected events to the roots of its zone and to its children, tree events
	// to its children only, and does not forward synchronized events.
	hopInjected = 0
	hopTree     = 1
	hopSync     = 2

	// eventRate, in bytes per second, and eventBurst, in bytes, bound the events
	// that a process sends. With an equal amount received, probes and the revision
	// exchange, the process stays below 26 KB in every second while a whole zone
	// fails; 10 KB/s with a burst of 16 KB takes 50 KB in the first second.
	eventRate  = 8 << 10
	eventBurst = 4 << 10
	// verdictBatchInterval is the time between two batches of failure verdicts;
	// announcements are sent at the next tick.
	verdictBatchInterval = 300 * time.Millisecond
	// batchEvents is the number of events in a batch, limited so that a batch sent
	// to 8 children fits into eventBurst at the usual 16 bytes per event. A larger
	// batch waits until the whole burst is available.
	batchEvents = 18
	// datagramOverhead is the size of the IP, UDP and frame headers, in bytes.
	datagramOverhead = 45
	// outboxLimit bounds the queued events. A dropped event reaches the receivers
	// through the exchange with random peers.
	outboxLimit = 16384
)

// route selects the receivers of queued events.
type route int

const (
	// toChildren selects the children of the process in the tree of the stripe.
	toChildren route = iota
	// toRoots selects the roots of the stripe in the zone of the process.
	toRoots
	// toZones selects one random process in each other zone.
	toZones
	routeCount
)

// outbox holds the events that wait to be sent.
type outbox struct {
	announcements []queuedEvent
	verdicts      []queuedEvent
	verdictsAt    time.Time
	tokens        float64
	refilledAt    time.Time
	dropped       uint64
}

type queuedEvent struct {
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
	if len(o.announcements)+len(o.verdicts) >= outboxLimit {
		o.dropped++
		return
	}
	if e.state == schema.HostState_DEAD {
		o.verdicts = append(o.verdicts, queuedEvent{e, r})
		return
	}
	o.announcements = append(o.announcements, queuedEvent{e, r})
}

func (o *outbox) refill(now time.Time) {
	if o.refilledAt.IsZero() {
		o.tokens = eventBurst
	} else {
		o.tokens = min(eventBurst, o.tokens+now.Sub(o.refilledAt).Seconds()*eventRate)
	}
	o.refilledAt = now
}

// flush sends queued events: announcements first, because a leaving host must
// stop receiving new flows within 3 s, then verdicts in batches.
func (d *Detector) flush(now time.Time) []Action {
	o := &d.outbox
	o.refill(now)
	var out []Action
	out, o.announcements = d.sendQueue(o.announcements, out)
	if !now.Before(o.verdictsAt) {
		o.verdictsAt = now.Add(verdictBatchInterval)
		out, o.verdicts = d.sendQueue(o.verdicts, out)
	}
	return out
}

// sendQueue sends events grouped by route and stripe within the rate limit and
// returns the events that remain queued.
func (d *Detector) sendQueue(waiting []queuedEvent, out []Action) ([]Action, []queuedEvent) {
	if len(waiting) == 0 || d.hosts == nil {
		return out, waiting[:0]
	}
	// Groups events of equal route and stripe; a stable sort keeps the order of
	// arrival within a group.
	slices.SortStableFunc(waiting, func(a, b queuedEvent) int {
		return cmp.Compare(a.group(), b.group())
	})
	var rest []queuedEvent
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
			out = append(out, batchActions(to, data, waiting[0].route.hops())...)
		}
		waiting = waiting[n:]
	}
	return out, rest
}

// group returns the sort key of an event by route and stripe. Events to other
// zones form one group: the receiver forwards each in the stripe of its host.
func (q queuedEvent) group() int {
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

func (d *Detector) destinations(q queuedEvent) []netip.AddrPort {
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

// encodeBatch encodes events as host ID (8 bytes), incarnation, sequence number
// and state. The host name is left out because every process can derive the ID
// from its host list.
func encodeBatch(events []queuedEvent) []byte {
	data := make([]byte, 0, 20*len(events))
	for _, e := range events {
		data = binary.LittleEndian.AppendUint64(data, uint64(e.id))
		data = binary.AppendUvarint(data, e.incarnation)
		data = binary.AppendUvarint(data, e.sequence<<2|uint64(e.state))
	}
	return data
}

// decodeBatch decodes events and skips invalid ones. Data from the first
// malformed event on is dropped.
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

// batchActions returns the actions that send a batch. The schema has no message
// for several events; a ConfigChunk without a content kind carries them.
func batchActions(to []netip.AddrPort, data []byte, hops uint32) []Action {
	chunk := &schema.ConfigChunk{Count: 1, Data: data}
	frame := &schema.Frame{Hops: hops, Body: &schema.Frame_ConfigChunk{ConfigChunk: chunk}}
	out := make([]Action, 0, len(to))
	for _, addr := range to {
		out = append(out, Send{To: addr, Frame: frame})
	}
	return out
}

// receiveBatch applies events and answers outdated synchronized ones with the
// newer events.
func (d *Detector) receiveBatch(now time.Time, from netip.AddrPort, hops uint32, data []byte) []Action {
	var out []Action
	var newer []queuedEvent
	for _, e := range decodeBatch(data) {
		received := entry{incarnation: e.incarnation, sequence: e.sequence, state: e.state}
		own, ok := d.events.newest[e.id]
		if ok && received.supersededBy(own) && hops == hopSync {
			newer = append(newer, queuedEvent{event: own.event(e.id)})
		}
		out = append(out, d.receiveEvent(now, e, int(hops))...)
	}
	if len(newer) > 0 {
		out = append(out, batchActions([]netip.AddrPort{from}, encodeBatch(newer), hopSync)...)
	}
	return out
}

func (e entry) event(id hostlist.ID) event {
	return event{id: id, incarnation: e.incarnation, sequence: e.sequence, state: e.state}
}

// SyncWith sends the events of hosts that are not live to a peer whose
// EventDigest differs. If they exceed one batch, half of the batch is the newest
// events and the other half a random range of the rest. Nothing is sent beyond
// the rate limit.
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
	return batchActions([]netip.AddrPort{to}, data, hopSync)
}
