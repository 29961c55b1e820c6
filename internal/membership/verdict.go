package membership

import (
	"net/netip"
	"slices"
	"time"

	"github.com/peridotstall/peridotstall/internal/hostlist"
	"github.com/peridotstall/peridotstall/internal/schema"
)

// probeLost counts a lost probe and states the suspicion when it is due.
func (d *Detector) probeLost(now time.Time, p *peer) []Action {
	p.lost++
	p.calm = 0
	if !p.assigned {
		return nil
	}
	if p.lost < p.need {
		d.startCheck(now)
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
	out = append(out, d.stateSuspicion(p)...)
	d.considerVerdict(now, p)
	return out
}

// stateSuspicion tells the other probers of the process.
func (d *Detector) stateSuspicion(p *peer) []Action {
	at := d.hosts.ByID(p.id)
	if at < 0 {
		return nil
	}
	known := d.known(p)
	var out []Action
	for _, h := range d.probersOf(p.id) {
		if h.ID != d.id {
			out = append(out, d.verdictTo(h.Addr, d.hosts.At(at).Name, known))
		}
	}
	return out
}

// known returns the highest statement known of a peer. The lowest incarnation
// stands for a process that was never heard of.
func (d *Detector) known(p *peer) entry {
	e := entry{incarnation: max(p.incarnation, 1), sequence: p.sequence}
	own, ok := d.events.table[p.id]
	if ok && (own.incarnation > e.incarnation || (own.incarnation == e.incarnation && own.sequence > e.sequence)) {
		e = own
	}
	return e
}

// receiveVerdict takes the suspicion of another prober, or learns that a
// prober holds this process for dead.
func (d *Detector) receiveVerdict(now time.Time, from netip.AddrPort, v *schema.Verdict) []Action {
	id := hostlist.IDOf(v.GetHost())
	e := event{id: id, incarnation: v.GetIncarnation(), sequence: v.GetSequence(), state: schema.HostState_DEAD}
	if id == d.id {
		out := d.learnSelf(now, e)
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
	p.others = slices.DeleteFunc(p.others, func(s suspicion) bool {
		return s.prober == prober || now.Sub(s.at) > suspicionTTL
	})
	p.others = append(p.others, suspicion{prober: prober, at: now})
	d.considerVerdict(now, p)
	return nil
}

func (p *peer) raise(incarnation, sequence uint64) {
	if incarnation > p.incarnation {
		p.incarnation = incarnation
		p.sequence = sequence
	} else if incarnation == p.incarnation {
		p.sequence = max(p.sequence, sequence)
	}
}

// heard takes over a statement of the fleet about a peer. After a refuted
// verdict more lost probes are needed for the next one.
func (p *peer) heard(e event, wasDead bool) {
	refuted := wasDead && e.state != schema.HostState_DEAD
	if refuted && e.incarnation == p.incarnation && p.suspect {
		p.need = min(2*p.need, lostProbesMax)
	}
	if refuted || e.incarnation > p.incarnation {
		p.lost = 0
		p.suspect = false
		p.others = nil
	}
	p.raise(e.incarnation, e.sequence)
}

// considerVerdict schedules the verdict when two probers suspect the process,
// or the only one there is.
func (d *Detector) considerVerdict(now time.Time, p *peer) {
	if !p.suspect || d.probes.doubt || !p.verdictAt.IsZero() || d.Dead(p.id) {
		return
	}
	probers := d.probersOf(p.id)
	if !d.confirmed(now, p) && len(probers) > 1 {
		return
	}
	// The probers that suspect the process wait by rank.
	rank := 0
	for _, h := range probers {
		if h.ID == d.id {
			break
		}
		if slices.ContainsFunc(p.others, func(s suspicion) bool { return s.prober == h.ID }) {
			rank++
		}
	}
	p.verdictAt = now.Add(time.Duration(rank) * verdictDelay)
}

// confirmed reports whether another prober suspects the process too.
func (d *Detector) confirmed(now time.Time, p *peer) bool {
	return slices.ContainsFunc(p.others, func(s suspicion) bool { return now.Sub(s.at) <= suspicionTTL })
}

// tickVerdicts spreads the verdicts that are due.
func (d *Detector) tickVerdicts(now time.Time) []Action {
	for _, p := range d.probes.order {
		if p.verdictAt.IsZero() || now.Before(p.verdictAt) {
			continue
		}
		p.verdictAt = time.Time{}
		if !p.suspect || d.probes.doubt || d.Dead(p.id) {
			continue
		}
		known := d.known(p)
		e := event{id: p.id, incarnation: known.incarnation, sequence: known.sequence + 1, state: schema.HostState_DEAD}
		if d.apply(now, e) {
			d.outbox.add(e, hopInjected)
			d.outbox.queue(e, toZones)
		}
	}
	return nil
}

const (
	// checkPeers are probed in addition while a probe is lost, spread over the
	// zones. With the 3 peers that a process probes on average, a single failure
	// would already be more than the doubt share.
	checkPeers = 16
	// doubtWindow is the time within which peers must appear dead together.
	doubtWindow = 10 * time.Second
	// doubtPercent of the probed peers appearing dead make the process doubt its
	// own link. The loss of one of three zones is 33%, a cut of the own zone at
	// least 67%; doubtMinimum keeps one failure in a fleet of three from it.
	doubtPercent = 50
	doubtMinimum = 2
	// checkSent probes without any answer make a peer of the check appear dead.
	checkSent = 2
)

// checking reports whether the peers of a link check are still needed: an
// assigned peer lost probes recently, or the link is doubted.
func (d *Detector) checking(now time.Time) bool {
	if d.probes.doubt {
		return true
	}
	return slices.ContainsFunc(d.probes.order, func(p *peer) bool {
		return p.assigned && p.lost > 0 && !d.settled(now, p)
	})
}

// settled reports whether a peer has appeared dead for longer than the window.
func (d *Detector) settled(now time.Time, p *peer) bool {
	return p.suspect && now.Sub(p.suspectAt) > doubtWindow
}

// startCheck adds random peers, one zone after the other, to the probed ones.
func (d *Detector) startCheck(now time.Time) {
	have := 0
	for _, p := range d.probes.order {
		if !p.assigned {
			have++
		}
	}
	if have > 0 {
		return
	}
	for i := range checkPeers {
		members := d.hosts.Zone(i % d.zoneCount())
		h := d.hosts.At(int(members[d.rng.IntN(len(members))]))
		if h.ID == d.id || d.probes.peers[h.ID] != nil || h.State == schema.HostState_DEAD || d.Dead(h.ID) {
			continue
		}
		d.addPeer(now, h.ID).next = now
	}
}

// tickLink ends the doubt and the check when they are over.
func (d *Detector) tickLink(now time.Time) []Action {
	var out []Action
	if d.probes.doubt {
		out = d.evaluateLink(now)
	}
	if len(d.probes.order) > 0 && !d.checking(now) {
		d.dropUnneeded(now)
	}
	return out
}

// evaluateLink decides whether the process doubts its own link.
func (d *Detector) evaluateLink(now time.Time) []Action {
	dead, probed := 0, 0
	for _, p := range d.probes.order {
		appears := p.lost >= lostProbes || (!p.assigned && !p.answered && p.sent >= checkSent)
		if appears && !d.probes.doubt && d.settled(now, p) {
			continue
		}
		probed++
		if appears {
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
