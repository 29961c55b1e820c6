package membership

import (
	"cmp"
	"math/rand/v2"
	"net/netip"
	"slices"
	"time"

	"github.com/peridotstall/peridotstall/internal/hostlist"
	"github.com/peridotstall/peridotstall/internal/schema"
)

const (
	// probersPerHost is the number of processes that probe each process.
	probersPerHost = 3
	probeEvery     = time.Second
	// lostProbes without an answer make a suspicion. The number doubles, up to
	// lostProbesMax, each time a verdict is refuted by the process itself, so
	// that a one-sided loss does not make the view change every few seconds.
	lostProbes    = 3
	lostProbesMax = 24
	// calmProbes answered in sequence reset the number.
	calmProbes = 60
	// suspicionTTL is how long the suspicion of another prober counts. Probers
	// repeat it every second.
	suspicionTTL = 4 * time.Second
	// verdictDelay separates the verdicts of probers that suspect a process at
	// the same time, so that usually only the first one is spread.
	verdictDelay = 500 * time.Millisecond
	// announceEvery is the number of probes after which a probed process
	// repeats its announcement to the prober, which needs the sequence number
	// for a verdict that is newer than the announcement.
	announceEvery = 16
	// knownProbers bounds the probers that a process remembers.
	knownProbers = 8
)

// prober is the probing side and what the process knows of its own link.
type prober struct {
	peers    map[hostlist.ID]*peer
	order    []*peer
	sequence uint64
	reassign bool

	doubt      bool
	doubtSince time.Time
	// known are the probers that have got the announcement.
	known []string
}

// peer is a process that this one probes.
type peer struct {
	id       hostlist.ID
	assigned bool
	next     time.Time
	sent     int
	last     uint64
	pending  bool
	answered bool
	lost     int
	need     int
	calm     int

	suspect   bool
	suspectAt time.Time
	verdictAt time.Time
	others    []suspicion
	// incarnation and sequence are the highest known of the process.
	incarnation uint64
	sequence    uint64
}

// suspicion is that of another prober.
type suspicion struct {
	prober hostlist.ID
	at     time.Time
}

// restart forgets lost probes and spreads the next one over the period.
func (p *peer) restart(now time.Time, rng *rand.Rand) {
	p.next = now.Add(time.Duration(rng.Int64N(int64(probeEvery))))
	p.pending = false
	p.lost = 0
	p.sent = 0
	p.answered = false
	p.suspect = false
	p.others = nil
}

// probersOf returns the probers of a host: the first by rendezvous hashing
// among the hosts of its cell that are not dead.
func (d *Detector) probersOf(id hostlist.ID) []*hostlist.Host {
	from, to := d.hosts.Cell(id)
	type ranked struct {
		weight uint64
		host   *hostlist.Host
	}
	var best []ranked
	for i := from; i < to; i++ {
		h := d.hosts.At(i)
		if h.ID == id || (h.ID != d.id && d.Dead(h.ID)) {
			continue
		}
		best = append(best, ranked{hostlist.Weight(id, h.ID), h})
	}
	slices.SortFunc(best, func(a, b ranked) int { return cmp.Compare(b.weight, a.weight) })
	var out []*hostlist.Host
	for i := 0; i < len(best) && i < probersPerHost; i++ {
		out = append(out, best[i].host)
	}
	return out
}

// assign recomputes which processes this one probes. A process with a verdict,
// or one that the list calls dead, is still probed, so that its recovery and
// its next failure are seen.
func (d *Detector) assign(now time.Time) {
	d.probes.reassign = false
	for _, p := range d.probes.order {
		p.assigned = false
	}
	if d.hosts != nil && d.hosts.ByID(d.id) >= 0 {
		from, to := d.hosts.Cell(d.id)
		for i := from; i < to; i++ {
			h := d.hosts.At(i)
			if h.ID != d.id && d.isProber(h.ID) {
				d.addPeer(now, h.ID).assigned = true
			}
		}
	}
	d.dropUnneeded(now)
}

// isProber reports whether this process probes a host.
func (d *Detector) isProber(id hostlist.ID) bool {
	for _, h := range d.probersOf(id) {
		if h.ID == d.id {
			return true
		}
	}
	return false
}

// addPeer returns the peer of an ID and creates it when it is new.
func (d *Detector) addPeer(now time.Time, id hostlist.ID) *peer {
	if p := d.probes.peers[id]; p != nil {
		return p
	}
	p := &peer{id: id, need: lostProbes}
	p.restart(now, d.rng)
	d.probes.peers[id] = p
	d.probes.order = append(d.probes.order, p)
	return p
}

// dropUnneeded removes peers that are neither assigned nor part of a link check.
func (d *Detector) dropUnneeded(now time.Time) {
	checking := d.checking(now)
	d.probes.order = slices.DeleteFunc(d.probes.order, func(p *peer) bool {
		if p.assigned || (checking && d.hosts.ByID(p.id) >= 0) {
			return false
		}
		delete(d.probes.peers, p.id)
		return true
	})
}

// tickProbes sends the probes that are due and counts the lost ones.
func (d *Detector) tickProbes(now time.Time) []Action {
	if d.hosts == nil {
		return nil
	}
	if d.probes.reassign {
		d.assign(now)
	}
	var out []Action
	for _, p := range d.probes.order {
		if now.Before(p.next) {
			continue
		}
		if p.pending {
			out = append(out, d.probeLost(now, p)...)
		}
		out = append(out, d.sendProbe(now, p))
	}
	out = append(out, d.tickLink(now)...)
	return append(out, d.tickVerdicts(now)...)
}

func (d *Detector) sendProbe(now time.Time, p *peer) Action {
	p.next = p.next.Add(probeEvery)
	if p.next.Before(now) {
		p.next = now.Add(probeEvery)
	}
	d.probes.sequence++
	p.last = d.probes.sequence
	p.pending = true
	p.sent++
	body := &schema.Probe{Sequence: p.last, From: d.settings.Host}
	return Send{To: d.address(p.id), Frame: &schema.Frame{Body: &schema.Frame_Probe{Probe: body}}}
}

// address returns the address of a listed host.
func (d *Detector) address(id hostlist.ID) netip.AddrPort {
	at := d.hosts.ByID(id)
	if at < 0 {
		return netip.AddrPort{}
	}
	return d.hosts.At(at).Addr
}

// replyProbe answers a probe, with the own announcement for a prober that
// may not have it.
func (d *Detector) replyProbe(from netip.AddrPort, p *schema.Probe) []Action {
	reply := &schema.ProbeReply{
		Sequence:    p.GetSequence(),
		Incarnation: d.settings.Incarnation,
		State:       d.state,
		From:        d.settings.Host,
	}
	out := []Action{Send{To: from, Frame: &schema.Frame{Body: &schema.Frame_ProbeReply{ProbeReply: reply}}}}
	known := slices.Contains(d.probes.known, p.GetFrom())
	if d.sequence == 0 || (known && p.GetSequence()%announceEvery != 0) {
		return out
	}
	if !known {
		d.probes.known = append(d.probes.known, p.GetFrom())
		if len(d.probes.known) > knownProbers {
			d.probes.known = d.probes.known[1:]
		}
	}
	return append(out, d.announceTo(from))
}

// announceTo sends the own announcement to one process only.
func (d *Detector) announceTo(to netip.AddrPort) Action {
	a := &schema.Announce{Host: d.settings.Host, Incarnation: d.settings.Incarnation, Sequence: d.sequence, State: d.state, Target: d.settings.Target}
	return Send{To: to, Frame: &schema.Frame{Hops: hopSync, Body: &schema.Frame_Announce{Announce: a}}}
}

// receiveReply takes a sign of life. A process with a verdict is told of it,
// so that it refutes the verdict with a higher sequence number.
func (d *Detector) receiveReply(now time.Time, from netip.AddrPort, r *schema.ProbeReply) []Action {
	p := d.probes.peers[hostlist.IDOf(r.GetFrom())]
	if p == nil || r.GetSequence() > p.last {
		return nil
	}
	p.pending = p.pending && r.GetSequence() != p.last
	p.answered = true
	p.lost = 0
	p.suspect = false
	p.verdictAt = time.Time{}
	if r.GetIncarnation() > p.incarnation {
		p.incarnation = r.GetIncarnation()
		p.sequence = 0
	}
	p.calm++
	if p.calm >= calmProbes {
		p.need = lostProbes
	}
	if e, ok := d.events.deviating[p.id]; ok && e.state == schema.HostState_DEAD {
		return []Action{d.verdictTo(from, r.GetFrom(), e.entry)}
	}
	return nil
}

func (d *Detector) verdictTo(to netip.AddrPort, host string, e entry) Action {
	v := &schema.Verdict{Host: host, Incarnation: e.incarnation, Sequence: e.sequence, Dead: true, Prober: d.settings.Host}
	return Send{To: to, Frame: &schema.Frame{Body: &schema.Frame_Verdict{Verdict: v}}}
}

// Probes reports whether the process probes a host.
func (d *Detector) Probes(id hostlist.ID) bool {
	p := d.probes.peers[id]
	return p != nil && p.assigned
}
