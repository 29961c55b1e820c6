package membership

import (
	"cmp"
	"encoding/binary"
	"slices"
	"time"

	"github.com/dchest/siphash"

	"github.com/peridotstall/peridotstall/internal/hostlist"
	"github.com/peridotstall/peridotstall/internal/schema"
)

// unlistedHostLimit bounds the number of hosts outside the host list whose
// events are kept. Such hosts exist because the published list lags.
const unlistedHostLimit = 1024

// event is a state change of a host, sent by the host itself or by its probers.
// The event with the highest (incarnation, sequence, state) wins, so the order
// of arrival does not matter; a tie goes to the more cautious state.
type event struct {
	id          hostlist.ID
	incarnation uint64
	sequence    uint64
	state       schema.HostState
}

// entry is the newest event of a host.
type entry struct {
	incarnation uint64
	sequence    uint64
	state       schema.HostState
}

// notLiveEntry is an entry whose state is not LIVE, with the time at which the
// process received it.
type notLiveEntry struct {
	entry
	at time.Time
}

// supersededBy reports whether f is newer than e.
func (e entry) supersededBy(f entry) bool {
	if e.incarnation != f.incarnation {
		return e.incarnation < f.incarnation
	}
	if e.sequence != f.sequence {
		return e.sequence < f.sequence
	}
	return e.state < f.state
}

func valid(e event) bool {
	return e.state >= schema.HostState_LIVE && e.state <= schema.HostState_DEAD && e.incarnation > 0
}

// eventTable holds the newest event of each host.
type eventTable struct {
	newest map[hostlist.ID]entry
	// notLive holds the listed hosts that are not live, unlisted the hosts
	// that are not in the host list.
	notLive  map[hostlist.ID]notLiveEntry
	unlisted map[hostlist.ID]entry
	digest   uint64
}

// record records an event and reports whether it is newer than the recorded one.
func (t *eventTable) record(now time.Time, e event, listed bool) bool {
	next := entry{incarnation: e.incarnation, sequence: e.sequence, state: e.state}
	if !listed {
		return t.recordUnlisted(e.id, next)
	}
	if old, ok := t.newest[e.id]; ok && !old.supersededBy(next) {
		return false
	}
	t.newest[e.id] = next
	t.updateNotLive(now, e.id, next)
	return true
}

func (t *eventTable) recordUnlisted(id hostlist.ID, next entry) bool {
	old, ok := t.unlisted[id]
	if (ok && !old.supersededBy(next)) || (!ok && len(t.unlisted) >= unlistedHostLimit) {
		return false
	}
	if t.unlisted == nil {
		t.unlisted = map[hostlist.ID]entry{}
	}
	t.unlisted[id] = next
	return true
}

// updateNotLive updates the hosts that are not live and their digest.
func (t *eventTable) updateNotLive(now time.Time, id hostlist.ID, next entry) {
	if old, ok := t.notLive[id]; ok {
		t.digest ^= old.hash(id)
		delete(t.notLive, id)
	}
	if next.state == schema.HostState_LIVE {
		return
	}
	if t.notLive == nil {
		t.notLive = map[hostlist.ID]notLiveEntry{}
	}
	t.notLive[id] = notLiveEntry{entry: next, at: now}
	t.digest ^= next.hash(id)
}

func (e entry) hash(id hostlist.ID) uint64 {
	var buf [25]byte
	binary.LittleEndian.PutUint64(buf[:], uint64(id))
	binary.LittleEndian.PutUint64(buf[8:], e.incarnation)
	binary.LittleEndian.PutUint64(buf[16:], e.sequence)
	buf[24] = byte(e.state)
	return siphash.Hash(0, 0, buf[:])
}

// retain drops the events of hosts that left the list and moves the events of
// hosts that joined it to the table of listed hosts.
func (t *eventTable) retain(hosts *hostlist.Set) {
	for id := range t.newest {
		if hosts.ByID(id) >= 0 {
			continue
		}
		delete(t.newest, id)
		if old, ok := t.notLive[id]; ok {
			t.digest ^= old.hash(id)
			delete(t.notLive, id)
		}
	}
	for id, e := range t.unlisted {
		if hosts.ByID(id) >= 0 {
			delete(t.unlisted, id)
			t.record(time.Time{}, event{id: id, incarnation: e.incarnation, sequence: e.sequence, state: e.state}, true)
		}
	}
}

// newestFirst returns the hosts that are not live, latest change first.
func (t *eventTable) newestFirst() []queuedEvent {
	type dated struct {
		queuedEvent
		at time.Time
	}
	all := make([]dated, 0, len(t.notLive))
	for id, e := range t.notLive {
		all = append(all, dated{queuedEvent{event: e.event(id)}, e.at})
	}
	slices.SortFunc(all, func(a, b dated) int {
		return cmp.Or(b.at.Compare(a.at), cmp.Compare(a.id, b.id))
	})
	out := make([]queuedEvent, len(all))
	for i := range all {
		out[i] = all[i].queuedEvent
	}
	return out
}

// apply records an event, updates the peer that it concerns and reports whether
// the event is new.
func (d *Detector) apply(now time.Time, e event) bool {
	wasDead := d.Dead(e.id)
	listed := d.hosts != nil && d.hosts.ByID(e.id) >= 0
	if !d.events.record(now, e, listed) {
		return false
	}
	d.dirty = true
	if wasDead != d.Dead(e.id) {
		d.liveSetChanged()
	}
	if p := d.probes.peers[e.id]; p != nil {
		p.update(e, wasDead)
	}
	return true
}

// receiveEvent records an event from another process and queues it for
// forwarding if it is new.
func (d *Detector) receiveEvent(now time.Time, e event, hops int) []Action {
	if e.id == d.id {
		return d.receiveOwnEvent(now, e)
	}
	if !d.apply(now, e) {
		return nil
	}
	d.outbox.add(e, hops)
	return nil
}

// receiveOwnEvent refutes an event about this process that differs from its
// own state.
func (d *Detector) receiveOwnEvent(now time.Time, e event) []Action {
	own := entry{incarnation: d.settings.Incarnation, sequence: d.sequence, state: d.state}
	received := entry{incarnation: e.incarnation, sequence: e.sequence, state: e.state}
	if !own.supersededBy(received) || e.state == d.state {
		return nil
	}
	return d.refute(now, e)
}
