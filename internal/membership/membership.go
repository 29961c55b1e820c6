// Package membership detects failed processes and keeps the view of the hosts:
// the published list, overridden by failure verdicts and by the announcements
// of the processes. It does no I/O: callers pass in frames and the time and
// carry out the returned actions.
package membership

import (
	"math/rand/v2"
	"net/netip"
	"time"

	"github.com/peridotstall/peridotstall/internal/hostlist"
	"github.com/peridotstall/peridotstall/internal/schema"
)

const (
	// pauseThreshold is the time between two ticks above which the process counts
	// as paused. Probes that went unanswered during a pause are no evidence
	// against the peers.
	pauseThreshold = 2 * time.Second
	// A leaving announcement is sent again, through other processes, leavingRepeats
	// times at leavingRepeatInterval: if it were lost, the leaving host would still
	// get new flows after 3 s.
	leavingRepeatInterval = 700 * time.Millisecond
	leavingRepeats        = 3
)

// Settings identifies the process.
type Settings struct {
	// Host is the name of the process in the host list.
	Host string
	// Incarnation must be higher than that of the previous process of this host,
	// because the highest wins; the start time in milliseconds serves.
	Incarnation uint64
	// Target is the target ID of an agent, 0 for a balancer.
	Target uint32
}

// Action is an effect that the caller of the Detector carries out.
type Action interface{ isAction() }

// Send sends a frame to a process.
type Send struct {
	To    netip.AddrPort
	Frame *schema.Frame
}

// ViewChanged reports a new view of the hosts.
type ViewChanged struct{ View *View }

// LinkDoubt reports that the process began or ceased to suspect its own network
// link, with the number of probed peers and of those that appear dead.
type LinkDoubt struct {
	Doubt        bool
	Dead, Probed int
}

func (Send) isAction()        {}
func (ViewChanged) isAction() {}
func (LinkDoubt) isAction()   {}

// Detector detects failures for one process. It is not safe for concurrent use.
type Detector struct {
	settings Settings
	id       hostlist.ID
	rng      *rand.Rand

	hosts      *hostlist.Set
	listedDead []hostlist.ID
	tree       *hostlist.Tree

	state       schema.HostState
	sequence    uint64
	repeatsLeft int
	repeatAt    time.Time

	events eventTable
	outbox outbox
	probes prober

	view     *View
	dirty    bool
	lastTick time.Time
}

// New returns the Detector of a process that has just started. It answers
// probes at once; Announce makes the process known to the fleet.
func New(settings Settings, rng *rand.Rand) *Detector {
	d := &Detector{settings: settings, id: hostlist.IDOf(settings.Host), rng: rng}
	d.events.newest = map[hostlist.ID]entry{}
	d.probes.peers = map[hostlist.ID]*peer{}
	d.view = &View{}
	return d
}

// View returns the current view, which is immutable.
func (d *Detector) View() *View { return d.view }

// Dead reports whether a failure verdict is in force for the host.
func (d *Detector) Dead(id hostlist.ID) bool {
	e, ok := d.events.notLive[id]
	return ok && e.state == schema.HostState_DEAD
}

// EventDigest returns a digest of the events of all listed hosts that are not
// live. Processes with equal host lists and equal digests have equal views.
func (d *Detector) EventDigest() uint64 { return d.events.digest }

// SetHosts replaces the host list.
func (d *Detector) SetHosts(now time.Time, hosts *hostlist.Set) []Action {
	d.hosts = hosts
	d.events.retain(hosts)
	d.listedDead = d.listedDead[:0]
	for i := range hosts.Len() {
		if h := hosts.At(i); h.State == schema.HostState_DEAD {
			d.listedDead = append(d.listedDead, h.ID)
		}
	}
	d.liveSetChanged()
	d.assign(now)
	return d.publish()
}

// liveSetChanged invalidates the distribution tree, the view and the probe
// assignment after a change to the set of live hosts. They are recomputed at the
// next tick, because verdicts arrive in large batches.
func (d *Detector) liveSetChanged() {
	d.tree = nil
	d.dirty = true
	d.probes.reassign = true
}

// Tick advances the timers; it is called about every 100 ms.
func (d *Detector) Tick(now time.Time) []Action {
	if !d.lastTick.IsZero() && now.Sub(d.lastTick) > pauseThreshold {
		d.resetAfterPause(now)
	}
	d.lastTick = now
	out := d.tickProbes(now)
	out = append(out, d.tickRepeat(now)...)
	out = append(out, d.flush(now)...)
	return append(out, d.publish()...)
}

// resetAfterPause discards probes that went unanswered while the process was
// paused.
func (d *Detector) resetAfterPause(now time.Time) {
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

// Announce sends the state of this process to the fleet: LIVE when the process
// begins to serve, LEAVING when it begins to drain.
func (d *Detector) Announce(now time.Time, state schema.HostState) []Action {
	d.state = state
	out := d.announce(now)
	if state == schema.HostState_LEAVING {
		d.repeatsLeft = leavingRepeats
		d.repeatAt = now.Add(leavingRepeatInterval)
	}
	return append(out, d.publish()...)
}

// announce sends the state of this process with a new sequence number.
func (d *Detector) announce(now time.Time) []Action {
	d.sequence++
	own := event{id: d.id, incarnation: d.settings.Incarnation, sequence: d.sequence, state: d.state}
	d.apply(now, own)
	return d.sendAnnounce(own)
}

// sendAnnounce injects the announcement into every zone through two processes.
// In its own zone this process also sends to the tree itself: it does not
// forward events about itself that others send, so its children would miss them.
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
	if d.repeatsLeft == 0 || now.Before(d.repeatAt) {
		return nil
	}
	d.repeatsLeft--
	d.repeatAt = now.Add(leavingRepeatInterval)
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
	current := d.events.newest[e.id]
	if e.id != d.id && hops == hopInjected && current.event(e.id) == e {
		// Forwards a repeated announcement because the first copy may have been lost.
		d.outbox.add(e, hopInjected)
		return nil
	}
	return d.receiveEvent(now, e, int(hops))
}

// refute announces this process with a sequence number higher than that of a
// verdict about it.
func (d *Detector) refute(now time.Time, e event) []Action {
	if d.state == schema.HostState_HOST_STATE_UNSPECIFIED {
		return nil
	}
	if e.incarnation > d.settings.Incarnation {
		// The clock went back across a restart, so the previous process of this
		// host had the higher incarnation.
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
// Any process can inject an event into its zone, which spreads the load of many
// events over the zone.
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
