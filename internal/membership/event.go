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

// unlistedLimit bounds the announcements of hosts that the list does not have
// yet; the list lags.
const unlistedLimit = 1024

// event is a statement about a host. Of two statements the one with the higher
// (incarnation, sequence, state) holds, so that the order of arrival does not
// matter; the state breaks ties in favour of the more cautious one.
type event struct {
	id          hostlist.ID
	incarnation uint64
	sequence    uint64
	state       schema.HostState
}

// entry is the statement that holds for a host.
type entry struct {
	incarnation uint64
	sequence    uint64
	state       schema.HostState
}

// deviation is an entry whose state is not LIVE.
type deviation struct {
	entry
	at time.Time
}

func (e entry) before(f entry) bool {
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

// eventTable holds the statement that holds for each host.
type eventTable struct {
	table map[hostlist.ID]entry
	// deviating holds the listed hosts that are not live, unlisted the hosts
	// that the list does not have.
	deviating map[hostlist.ID]deviation
	unlisted  map[hostlist.ID]entry
	digest    uint64
}

// put records a statement and reports whether it is new.
func (t *eventTable) put(now time.Time, e event, listed bool) bool {
	next := entry{incarnation: e.incarnation, sequence: e.sequence, state: e.state}
	if !listed {
		return t.putUnlisted(e.id, next)
	}
	if old, ok := t.table[e.id]; ok && !old.before(next) {
		return false
	}
	t.table[e.id] = next
	t.deviate(now, e.id, next)
	return true
}

func (t *eventTable) putUnlisted(id hostlist.ID, next entry) bool {
	old, ok := t.unlisted[id]
	if (ok && !old.before(next)) || (!ok && len(t.unlisted) >= unlistedLimit) {
		return false
	}
	if t.unlisted == nil {
		t.unlisted = map[hostlist.ID]entry{}
	}
	t.unlisted[id] = next
	return true
}

// deviate updates the hosts that are not live and their digest.
func (t *eventTable) deviate(now time.Time, id hostlist.ID, next entry) {
	if old, ok := t.deviating[id]; ok {
		t.digest ^= old.hash(id)
		delete(t.deviating, id)
	}
	if next.state == schema.HostState_LIVE {
		return
	}
	if t.deviating == nil {
		t.deviating = map[hostlist.ID]deviation{}
	}
	t.deviating[id] = deviation{entry: next, at: now}
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

// retain drops the statements about hosts that left the list and takes over
// those about hosts that joined it.
func (t *eventTable) retain(hosts *hostlist.Set) {
	for id := range t.table {
		if hosts.ByID(id) >= 0 {
			continue
		}
		delete(t.table, id)
		if old, ok := t.deviating[id]; ok {
			t.digest ^= old.hash(id)
			delete(t.deviating, id)
		}
	}
	for id, e := range t.unlisted {
		if hosts.ByID(id) >= 0 {
			delete(t.unlisted, id)
			t.put(time.Time{}, event{id: id, incarnation: e.incarnation, sequence: e.sequence, state: e.state}, true)
		}
	}
}

// newestFirst lists the hosts that are not live, the latest change first.
func (t *eventTable) newestFirst() []queued {
	type dated struct {
		queued
		at time.Time
	}
	all := make([]dated, 0, len(t.deviating))
	for id, e := range t.deviating {
		all = append(all, dated{queued{event: e.event(id)}, e.at})
	}
	slices.SortFunc(all, func(a, b dated) int {
		return cmp.Or(b.at.Compare(a.at), cmp.Compare(a.id, b.id))
	})
	out := make([]queued, len(all))
	for i := range all {
		out[i] = all[i].queued
	}
	return out
}

// apply records a statement and reports whether it is new.
func (d *Detector) apply(now time.Time, e event) bool {
	wasDead := d.Dead(e.id)
	listed := d.hosts != nil && d.hosts.ByID(e.id) >= 0
	if !d.events.put(now, e, listed) {
		return false
	}
	d.dirty = true
	if wasDead != d.Dead(e.id) {
		d.membersChanged()
	}
	if p := d.probes.peers[e.id]; p != nil {
		p.heard(e, wasDead)
	}
	return true
}

// learn records a statement of another process and passes it on when it is new.
func (d *Detector) learn(now time.Time, e event, hops int) []Action {
	if e.id == d.id {
		return d.learnSelf(now, e)
	}
	if !d.apply(now, e) {
		return nil
	}
	d.outbox.add(e, hops)
	return nil
}

// learnSelf refutes what others wrongly say about this process.
func (d *Detector) learnSelf(now time.Time, e event) []Action {
	own := entry{incarnation: d.settings.Incarnation, sequence: d.sequence, state: d.state}
	stated := entry{incarnation: e.incarnation, sequence: e.sequence, state: e.state}
	if !own.before(stated) || e.state == d.state {
		return nil
	}
	return d.refute(now, e)
}
