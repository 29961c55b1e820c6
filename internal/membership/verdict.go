package membership

import (
	"net/netip"
	"slices"
	"time"

	"github.com/peridotstall/peridotstall/internal/hostlist"
	"github.com/peridotstall/peridotstall/internal/schema"
)

// probeLost counts a lost probe and sends a suspicion once enough are lost.
func (d *Detector) probeLost(now time.Time, p *peer) []Action {
	p.lost++
	p.answeredInRow = 0
	if !p.assigned {
		return nil
	}
	if p.lost < p.suspectAfter {
		d.startLinkCheck(now)
		return nil
	}
	if !p.suspect {
		p.suspect = true
		p.suspectAt = now
	}
	if d.Dead(p.id) {
		return nil
	}
	out := d.evaluateLink(now)
	if d.probes.doubt {
		return out
	}
	out = append(out, d.sendSuspicion(p)...)
	d.scheduleVerdict(now, p)
	return out
}

// sendSuspicion sends the suspicion of a peer to its other probers.
func (d *Detector) sendSuspicion(p *peer) []Action {
	at := d.hosts.ByID(p.id)
	if at < 0 {
		return nil
	}
	newest := d.newestEntry(p)
	var out []Action
	for _, h := range d.probersOf(p.id) {
		if h.ID != d.id {
			out = append(out, d.verdictTo(h.Addr, d.hosts.At(at).Name, newest))
		}
	}
	return out
}

// newestEntry returns the highest incarnation and sequence received for a peer,
// with incarnation 1 for a peer from which nothing was received.
func (d *Detector) newestEntry(p *peer) entry {
	e := entry{incarnation: max(p.incarnation, 1), sequence: p.sequence}
	own, ok := d.events.newest[p.id]
	if ok && (own.incarnation > e.incarnation || (own.incarnation == e.incarnation && own.sequence > e.sequence)) {
		e = own
	}
	return e
}

// receiveVerdict records the suspicion of another prober. A verdict about this
// process is refuted or answered with its announcement.
func (d *Detector) receiveVerdict(now time.Time, from netip.AddrPort, v *schema.Verdict) []Action {
	id := hostlist.IDOf(v.GetHost())
	e := event{id: id, incarnation: v.GetIncarnation(), sequence: v.GetSequence(), state: schema.HostState_DEAD}
	if id == d.id {
		out := d.receiveOwnEvent(now, e)
		if len(out) == 0 && d.sequence > 0 {
			out = append(out, d.announceTo(from))
		}
		return out
	}
	p := d.probes.peers[id]
	if p == nil || !p.assigned || !v.GetDead() {
		return nil
	}
	p.raise(e.incarnation, e.sequence)
	prober := hostlist.IDOf(v.GetProber())
	p.otherSuspicions = slices.DeleteFunc(p.otherSuspicions, func(s suspicion) bool {
		return s.prober == prober || now.Sub(s.at) > suspicionTTL
	})
	p.otherSuspicions = append(p.otherSuspicions, suspicion{prober: prober, at: now})
	d.scheduleVerdict(now, p)
	return nil
}

// raise records an incarnation and sequence if they are the highest received.
func (p *peer) raise(incarnation, sequence uint64) {
	if incarnation > p.incarnation {
		p.incarnation = incarnation
		p.sequence = sequence
	} else if incarnation == p.incarnation {
		p.sequence = max(p.sequence, sequence)
	}
}

// update applies an event about a peer. A refuted verdict raises the number of
// lost probes that the next one needs.
func (p *peer) update(e event, wasDead bool) {
	refuted := wasDead && e.state != schema.HostState_DEAD
	if refuted && e.incarnation == p.incarnation && p.suspect {
		p.suspectAfter = min(2*p.suspectAfter, suspectAfterLostMax)
	}
	if refuted || e.incarnation > p.incarnation {
		p.lost = 0
		p.suspect = false
		p.otherSuspicions = nil
	}
	p.raise(e.incarnation, e.sequence)
}

// scheduleVerdict schedules the verdict once two probers, or the only prober,
// suspect the process.
func (d *Detector) scheduleVerdict(now time.Time, p *peer) {
	if !p.suspect || d.probes.doubt || !p.verdictAt.IsZero() || d.Dead(p.id) {
		return
	}
	probers := d.probersOf(p.id)
	if !d.confirmed(now, p) && len(probers) > 1 {
		return
	}
	// Probers that suspect the process wait by their rank among each other.
	rank := 0
	for _, h := range probers {
		if h.ID == d.id {
			break
		}
		if slices.ContainsFunc(p.otherSuspicions, func(s suspicion) bool { return s.prober == h.ID }) {
			rank++
		}
	}
	p.verdictAt = now.Add(time.Duration(rank) * verdictDelay)
}

// confirmed reports whether another prober also suspects the process.
func (d *Detector) confirmed(now time.Time, p *peer) bool {
	return slices.ContainsFunc(p.otherSuspicions, func(s suspicion) bool { return now.Sub(s.at) <= suspicionTTL })
}

// tickVerdicts applies the verdicts that are due and queues them for all zones.
func (d *Detector) tickVerdicts(now time.Time) []Action {
	for _, p := range d.probes.order {
		if p.verdictAt.IsZero() || now.Before(p.verdictAt) {
			continue
		}
		p.verdictAt = time.Time{}
		if !p.suspect || d.probes.doubt || d.Dead(p.id) {
			continue
		}
		newest := d.newestEntry(p)
		e := event{id: p.id, incarnation: newest.incarnation, sequence: newest.sequence + 1, state: schema.HostState_DEAD}
		if d.apply(now, e) {
			d.outbox.add(e, hopInjected)
			d.outbox.queue(e, toZones)
		}
	}
	return nil
}

const (
	// checkPeers is the number of peers, spread over the zones, that are probed in
	// addition while a probe is lost. With only the 3 peers that a process
	// probes on average, a single failure could exceed doubtPercent.
	checkPeers = 16
	// doubtWindow is the time within which peers must appear dead to count
	// together.
	doubtWindow = 10 * time.Second
	// doubtPercent is the share of probed peers above which peers that appear dead
	// make the process doubt its own link. The loss of one of three zones is 33%,
	// a partition of the own zone at least 67%. doubtMinimum prevents doubt after
	// one failure in a fleet of three.
	doubtPercent = 50
	doubtMinimum = 2
	// checkProbes is the number of probes after which a peer of the check that
	// answered none of them appears dead.
	checkProbes = 2
)

// linkCheckNeeded reports whether the peers of a link check are still needed: an
// assigned peer lost probes recently, or the link is doubted.
func (d *Detector) linkCheckNeeded(now time.Time) bool {
	if d.probes.doubt {
		return true
	}
	return slices.ContainsFunc(d.probes.order, func(p *peer) bool {
		return p.assigned && p.lost > 0 && !d.deadBeforeWindow(now, p)
	})
}

// deadBeforeWindow reports whether a peer has appeared dead for longer than the window.
func (d *Detector) deadBeforeWindow(now time.Time, p *peer) bool {
	return p.suspect && now.Sub(p.suspectAt) > doubtWindow
}

// startLinkCheck adds random peers, one zone after the other, to the probed
// peers.
func (d *Detector) startLinkCheck(now time.Time) {
	checkedPeers := 0
	for _, p := range d.probes.order {
		if !p.assigned {
			checkedPeers++
		}
	}
	if checkedPeers > 0 {
		return
	}
	for i := range checkPeers {
		members := d.hosts.Zone(i % d.zoneCount())
		h := d.hosts.At(int(members[d.rng.IntN(len(members))]))
		if h.ID == d.id || d.probes.peers[h.ID] != nil || h.State == schema.HostState_DEAD || d.Dead(h.ID) {
			continue
		}
		d.addPeer(now, h.ID).nextProbe = now
	}
}

// tickLink re-evaluates a doubted link and drops the peers of a finished check.
func (d *Detector) tickLink(now time.Time) []Action {
	var out []Action
	if d.probes.doubt {
		out = d.evaluateLink(now)
	}
	if len(d.probes.order) > 0 && !d.linkCheckNeeded(now) {
		d.dropUnneeded(now)
	}
	return out
}

// evaluateLink updates whether the process doubts its own link and reports a
// change.
func (d *Detector) evaluateLink(now time.Time) []Action {
	dead, probed := 0, 0
	for _, p := range d.probes.order {
		appearsDead := p.lost >= suspectAfterLost || (!p.assigned && !p.answered && p.sent >= checkProbes)
		if appearsDead && !d.probes.doubt && d.deadBeforeWindow(now, p) {
			continue
		}
		probed++
		if appearsDead {
			dead++
		}
	}
	doubt := dead >= doubtMinimum && dead*100 > probed*doubtPercent
	if doubt == d.probes.doubt {
		return nil
	}
	d.probes.doubt = doubt
	d.dirty = true
	if doubt {
		d.probes.doubtSince = now
	}
	return []Action{LinkDoubt{Doubt: doubt, Dead: dead, Probed: probed}}
}
