// Package membership finds failed processes and keeps the view of the hosts:
// the published list, overridden by failure verdicts and by what processes
// announce about themselves. The view decides the placement of new flows only.
//
// The package is part of the decision core: events and the time go in, actions
// come out.
package membership

import (
	"math/rand/v2"
	"net/netip"
	"time"

	"github.com/peridotstall/peridotstall/internal/hostlist"
	"github.com/peridotstall/peridotstall/internal/schema"
)

const (
	// jump is the time between two ticks above which the process was paused;
	// probes that went unanswered during the pause say nothing about the peers.
	jump = 2 * time.Second
	// repeatEvery and repeats send a leaving announcement through other
	// processes again, because a lost one would break the 3 s after which a
	// leaving host gets no new flows.
	repeatEvery = 700 * time.Millisecond
	repeats     = 3
)

// Settings of a process.
type Settings struct {
	// Host is the name of the process in the host list.
	Host string
	// Incarnation must be higher than that of the previous process of this
	// host, such as the start time in milliseconds, because the highest wins.
	Incarnation uint64
	// Target is the target ID of an agent, 0 for a balancer.
	Target uint32
}

// Action is something that the caller of the core must do.
type Action interface{ isAction() }

// Send sends a frame to a process.
type Send struct {
	To    netip.AddrPort
	Frame *schema.Frame
}

// ViewChanged reports another view.
type ViewChanged struct{ View *View }

// LinkDoubt reports that the process began or ceased to doubt its own link.
type LinkDoubt struct {
	Doubt        bool
	Dead, Probed int
}

func (Send) isAction()        {}
func (ViewChanged) isAction() {}
func (LinkDoubt) isAction()   {}

// Detector is the state of one process. It is not safe for concurrent use.
type Detector struct {
	settings Settings
	id       hostlist.ID
	rng      *rand.Rand

	hosts      *hostlist.Set
	listedDead []hostlist.ID
	tree       *hostlist.Tree

	state    schema.HostState
	sequence uint64
	repeat   int
	repeatAt time.Time

	events eventTable
	outbox outbox
	probes prober

	view     *View
	dirty    bool
	lastTick time.Time
}

// New returns the state of a process that has just started. The process
// answers probes at once and announces itself with Announce.
func New(settings Settings, rng *rand.Rand) *Detector {
	d := &Detector{settings: settings, id: hostlist.IDOf(settings.Host), rng: rng}
	d.events.table = map[hostlist.ID]entry{}
	d.probes.peers = map[hostlist.ID]*peer{}
	d.view = &View{}
	return d
}

// View returns the current view, which is immutable.
func (d *Detector) View() *View { return d.view }

// Dead reports whether a failure verdict holds for the host.
func (d *Detector) Dead(id hostlist.ID) bool {
	e, ok := d.events.deviating[id]
	return ok && e.state == schema.HostState_DEAD
}

// EventDigest summarizes the hosts that are not live according to events. Two
// processes with the same host list and the same digest have the same view.
func (d *Detector) EventDigest() uint64 { return d.events.digest }

// SetHosts takes over another host list.
func (d *Detector) SetHosts(now time.Time, hosts *hostlist.Set) []Action {
	d.hosts = hosts
	d.events.retain(hosts)
	d.listedDead = d.listedDead[:0]
	for i := range hosts.Len() {
		if h := hosts.At(i); h.State == schema.HostState_DEAD {
			d.listedDead = append(d.listedDead, h.ID)
		}
	}
	d.membersChanged()
	d.assign(now)
	return d.publish()
}

// membersChanged makes what depends on the set of live hosts follow a change.
// The work is left to the next tick, because verdicts come in masses.
func (d *Detector) membersChanged() {
	d.tree = nil
	d.dirty = true
	d.probes.reassign = true
}

// Tick advances the timers; it is called about every 100 ms.
func (d *Detector) Tick(now time.Time) []Action {
	if !d.lastTick.IsZero() && now.Sub(d.lastTick) > jump {
		d.resumed(now)
	}
	d.lastTick = now
	out := d.tickProbes(now)
	out = append(out, d.tickRepeat(now)...)
	out = append(out, d.flush(now)...)
	return append(out, d.publish()...)
}

// resumed forgets the unanswered probes of the time in which the process was paused.
func (d *Detector) resumed(now time.Time) {
	for _, p := range d.probes.peers {
		p.restart(now, d.rng)
	}
}

// Receive handles a frame of a peer. Frames of other kinds are ignored.
func (d *Detector) Receive(now time.Time, from netip.AddrPort, f *schema.Frame) []Action {
	switch body := f.GetBody().(type) {
	case *schema.Frame_Probe:
		return d.replyProbe(from, body.Probe)
	case *schema.Frame_ProbeReply:
		return d.receiveReply(now, from, body.ProbeReply)
	case *schema.Frame_Announce:
		return d.receiveAnnounce(now, f.GetHops(), body.Announce)
	case *schema.Frame_Verdict:
		return d.receiveVerdict(now, from, body.Verdict)
	case *schema.Frame_ConfigChunk:
		if body.ConfigChunk.GetContent() == schema.ConfigChunk_CONTENT_UNSPECIFIED {
			return d.receiveBatch(now, from, f.GetHops(), body.ConfigChunk.GetData())
		}
	}
	return nil
}

// Announce states the own state to the fleet: LIVE when the process begins to
// serve, LEAVING when it begins to drain.
func (d *Detector) Announce(now time.Time, state schema.HostState) []Action {
	d.state = state
	out := d.announce(now)
	if state == schema.HostState_LEAVING {
		d.repeat = repeats
		d.repeatAt = now.Add(repeatEvery)
	}
	return append(out, d.publish()...)
}

// announce sends the own state with a new sequence number.
func (d *Detector) announce(now time.Time) []Action {
	d.sequence++
	own := event{id: d.id, incarnation: d.settings.Incarnation, sequence: d.sequence, state: d.state}
	d.apply(now, own)
	return d.sendAnnounce(own)
}

// sendAnnounce injects the announcement into every zone through two processes.
// The own zone is also served by this process itself: its children in the tree
// depend on it, and it does not pass on what others send about it.
func (d *Detector) sendAnnounce(own event) []Action {
	d.outbox.add(own, hopInjected)
	a := &schema.Announce{
		Host:        d.settings.Host,
		Incarnation: own.incarnation,
		Sequence:    own.sequence,
		State:       own.state,
		Target:      d.settings.Target,
	}
	var out []Action
	for zone := range d.zoneCount() {
		for _, to := range d.injectors(zone, 2) {
			out = append(out, Send{To: to, Frame: &schema.Frame{Body: &schema.Frame_Announce{Announce: a}}})
		}
	}
	return out
}

func (d *Detector) tickRepeat(now time.Time) []Action {
	if d.repeat == 0 || now.Before(d.repeatAt) {
		return nil
	}
	d.repeat--
	d.repeatAt = now.Add(repeatEvery)
	return d.sendAnnounce(event{id: d.id, incarnation: d.settings.Incarnation, sequence: d.sequence, state: d.state})
}

func (d *Detector) receiveAnnounce(now time.Time, hops uint32, a *schema.Announce) []Action {
	e := event{
		id:          hostlist.IDOf(a.GetHost()),
		incarnation: a.GetIncarnation(),
		sequence:    a.GetSequence(),
		state:       a.GetState(),
	}
	if !valid(e) {
		return nil
	}
	known := d.events.table[e.id]
	if e.id != d.id && hops == hopInjected && known.event(e.id) == e {
		// A repeated announcement: the first one may have been lost on the way.
		d.outbox.add(e, hopInjected)
		return nil
	}
	return d.learn(now, e, int(hops))
}

// refute answers a verdict about this process with a higher sequence number.
func (d *Detector) refute(now time.Time, e event) []Action {
	if d.state == schema.HostState_HOST_STATE_UNSPECIFIED {
		return nil
	}
	if e.incarnation > d.settings.Incarnation {
		// The clock went back across a restart.
		d.settings.Incarnation = e.incarnation + 1
	}
	d.sequence = max(d.sequence, e.sequence)
	return d.announce(now)
}

func (d *Detector) zoneCount() int {
	if d.hosts == nil {
		return 0
	}
	return len(d.hosts.Zones())
}

// injectors returns up to count random processes of a zone that are not dead.
// Any process can inject an item into its zone, so that a mass of events does
// not meet in a few processes.
func (d *Detector) injectors(zone, count int) []netip.AddrPort {
	members := d.hosts.Zone(zone)
	var out []netip.AddrPort
	for try := 0; try < 8*count && len(out) < count; try++ {
		h := d.hosts.At(int(members[d.rng.IntN(len(members))]))
		if h.ID == d.id || d.Dead(h.ID) || (len(out) == 1 && out[0] == h.Addr) {
			continue
		}
		out = append(out, h.Addr)
	}
	return out
}

func (d *Detector) currentTree() *hostlist.Tree {
	if d.tree == nil {
		d.tree = hostlist.NewTree(d.hosts, d.id, d.Dead)
	}
	return d.tree
}
