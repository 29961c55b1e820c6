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
	probeInterval  = time.Second
	// suspectAfterLost consecutive unanswered probes raise a suspicion. The number
	// doubles, up to suspectAfterLostMax, each time the process refutes a verdict,
	// so that loss in one direction does not change the view every few seconds.
	suspectAfterLost    = 3
	suspectAfterLostMax = 24
	// resetAfterAnswered consecutive answered probes set the number back to
	// suspectAfterLost.
	resetAfterAnswered = 60
	// suspicionTTL is how long a suspicion received from another prober counts.
	// Probers repeat it every second.
	suspicionTTL = 4 * time.Second
	// verdictDelay staggers the verdicts of probers that suspect a process at
	// the same time, so that usually only the first verdict is sent.
	verdictDelay = 500 * time.Millisecond
	// announceEveryProbes is the number of probes after which a probed process
	// repeats its announcement to the prober, which needs the sequence number
	// for a verdict that is newer than the announcement.
	announceEveryProbes = 16
	// announcedToLimit bounds the probers that a process keeps in announcedTo.
	announcedToLimit = 8
)

// prober is the state of probing and of the check of the own link.
type prober struct {
	peers    map[hostlist.ID]*peer
	order    []*peer
	sequence uint64
	reassign bool

	doubt      bool
	doubtSince time.Time
	// announcedTo holds the probers to which the announcement was sent.
	announcedTo []string
}

// peer is a process that this one probes.
type peer struct {
	id            hostlist.ID
	assigned      bool
	nextProbe     time.Time
	sent          int
	lastSequence  uint64
	pending       bool
	answered      bool
	lost          int
	suspectAfter  int
	answeredInRow int

	suspect         bool
	suspectAt       time.Time
	verdictAt       time.Time
	otherSuspicions []suspicion
	// incarnation and sequence are the highest received for the process.
	incarnation uint64
	sequence    uint64
}

// suspicion is a suspicion received from another prober.
type suspicion struct {
	prober hostlist.ID
	at     time.Time
}

// restart resets the probe counters and sets the next probe to a random time
// within the interval.
func (p *peer) restart(now time.Time, rng *rand.Rand) {
	p.nextProbe = now.Add(time.Duration(rng.Int64N(int64(probeInterval))))
	p.pending = false
	p.lost = 0
	p.sent = 0
	p.answered = false
	p.suspect = false
	p.otherSuspicions = nil
}

// probersOf returns the probers of a host: those that rank highest by rendezvous
// hashing among the hosts of its cell that are not dead.
func (d *Detector) probersOf(id hostlist.ID) []*hostlist.Host {
	from, to := d.hosts.Cell(id)
	type ranked struct {
		weight uint64
		host   *hostlist.Host
	}
	var candidates []ranked
	for i := from; i < to; i++ {
		h := d.hosts.At(i)
		if h.ID == id || (h.ID != d.id && d.Dead(h.ID)) {
			continue
		}
		candidates = append(candidates, ranked{hostlist.Weight(id, h.ID), h})
	}
	slices.SortFunc(candidates, func(a, b ranked) int { return cmp.Compare(b.weight, a.weight) })
	var out []*hostlist.Host
	for i := 0; i < len(candidates) && i < probersPerHost; i++ {
		out = append(out, candidates[i].host)
	}
	return out
}

// assign recomputes which processes this one probes. A process with a verdict
// or with state DEAD in the list is still probed, so that its recovery and its
// next failure are detected.
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

// addPeer returns the peer with the ID, creating it if needed.
func (d *Detector) addPeer(now time.Time, id hostlist.ID) *peer {
	if p := d.probes.peers[id]; p != nil {
		return p
	}
	p := &peer{id: id, suspectAfter: suspectAfterLost}
	p.restart(now, d.rng)
	d.probes.peers[id] = p
	d.probes.order = append(d.probes.order, p)
	return p
}

// dropUnneeded removes peers that are neither assigned nor part of a link check.
func (d *Detector) dropUnneeded(now time.Time) {
	checking := d.linkCheckNeeded(now)
	d.probes.order = slices.DeleteFunc(d.probes.order, func(p *peer) bool {
		if p.assigned || (checking && d.hosts.ByID(p.id) >= 0) {
			return false
		}
		delete(d.probes.peers, p.id)
		return true
	})
}

// tickProbes sends the probes that are due and counts unanswered ones as lost.
func (d *Detector) tickProbes(now time.Time) []Action {
	if d.hosts == nil {
		return nil
	}
	if d.probes.reassign {
		d.assign(now)
	}
	var out []Action
	for _, p := range d.probes.order {
		if now.Before(p.nextProbe) {
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
	p.nextProbe = p.nextProbe.Add(probeInterval)
	if p.nextProbe.Before(now) {
		p.nextProbe = now.Add(probeInterval)
	}
	d.probes.sequence++
	p.lastSequence = d.probes.sequence
	p.pending = true
	p.sent++
	body := &schema.Probe{Sequence: p.lastSequence, From: d.settings.Host}
	return Send{To: d.address(p.id), Frame: &schema.Frame{Body: &schema.Frame_Probe{Probe: body}}}
}

// address returns the address of a host, the zero AddrPort if it is not listed.
func (d *Detector) address(id hostlist.ID) netip.AddrPort {
	at := d.hosts.ByID(id)
	if at < 0 {
		return netip.AddrPort{}
	}
	return d.hosts.At(at).Addr
}

// replyProbe answers a probe and adds the announcement of this process for a
// prober that may not have received it.
func (d *Detector) replyProbe(from netip.AddrPort, p *schema.Probe) []Action {
	reply := &schema.ProbeReply{
		Sequence:    p.GetSequence(),
		Incarnation: d.settings.Incarnation,
		State:       d.state,
		From:        d.settings.Host,
	}
	out := []Action{Send{To: from, Frame: &schema.Frame{Body: &schema.Frame_ProbeReply{ProbeReply: reply}}}}
	announced := slices.Contains(d.probes.announcedTo, p.GetFrom())
	if d.sequence == 0 || (announced && p.GetSequence()%announceEveryProbes != 0) {
		return out
	}
	if !announced {
		d.probes.announcedTo = append(d.probes.announcedTo, p.GetFrom())
		if len(d.probes.announcedTo) > announcedToLimit {
			d.probes.announcedTo = d.probes.announcedTo[1:]
		}
	}
	return append(out, d.announceTo(from))
}

// announceTo sends the announcement of this process to a single process.
func (d *Detector) announceTo(to netip.AddrPort) Action {
	a := &schema.Announce{Host: d.settings.Host, Incarnation: d.settings.Incarnation, Sequence: d.sequence, State: d.state, Target: d.settings.Target}
	return Send{To: to, Frame: &schema.Frame{Hops: hopSync, Body: &schema.Frame_Announce{Announce: a}}}
}

// receiveReply records that a peer answered a probe. If a verdict is in force
// for the peer, the verdict is sent to it, so that the peer refutes it with a
// higher sequence number.
func (d *Detector) receiveReply(now time.Time, from netip.AddrPort, r *schema.ProbeReply) []Action {
	p := d.probes.peers[hostlist.IDOf(r.GetFrom())]
	if p == nil || r.GetSequence() > p.lastSequence {
		return nil
	}
	p.pending = p.pending && r.GetSequence() != p.lastSequence
	p.answered = true
	p.lost = 0
	p.suspect = false
	p.verdictAt = time.Time{}
	if r.GetIncarnation() > p.incarnation {
		p.incarnation = r.GetIncarnation()
		p.sequence = 0
	}
	p.answeredInRow++
	if p.answeredInRow >= resetAfterAnswered {
		p.suspectAfter = suspectAfterLost
	}
	if e, ok := d.events.notLive[p.id]; ok && e.state == schema.HostState_DEAD {
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
