package membership

import (
	"maps"
	"time"

	"github.com/peridotstall/peridotstall/internal/hostlist"
	"github.com/peridotstall/peridotstall/internal/schema"
)

// View is what a process knows about the hosts at one moment. It is immutable
// and decides the placement of new flows only.
type View struct {
	hosts     *hostlist.Set
	deviating map[hostlist.ID]deviation
	unlisted  map[hostlist.ID]entry
	// revived holds hosts that the lagging list calls dead and that announced
	// themselves.
	revived map[hostlist.ID]bool
	doubt   bool
	// trusted is the time before which verdicts hold although the link is doubted.
	trusted time.Time
}

// State returns the state of a host; HOST_STATE_UNSPECIFIED for a host that is
// neither listed nor announced. A host that the list calls leaving stays so
// until the list changes, because the first sign of leaving counts.
func (v *View) State(host string) schema.HostState {
	id := hostlist.IDOf(host)
	at := v.hosts.ByID(id)
	if at < 0 {
		return v.unlisted[id].state
	}
	listed := v.hosts.At(at).State
	if v.revived[id] {
		return schema.HostState_LIVE
	}
	e, ok := v.deviating[id]
	if !ok || (e.state == schema.HostState_DEAD && v.doubt && e.at.After(v.trusted)) {
		return listed
	}
	return max(listed, e.state)
}

// Failed returns the hosts that their probers found failed, with the incarnation
// of the verdict. It does not walk the whole list, which is long.
func (v *View) Failed() map[string]uint64 {
	out := map[string]uint64{}
	for id, e := range v.deviating {
		at := v.hosts.ByID(id)
		if at < 0 || e.state != schema.HostState_DEAD {
			continue
		}
		if host := v.hosts.At(at).Name; v.State(host) == schema.HostState_DEAD {
			out[host] = e.incarnation
		}
	}
	return out
}

// Usable reports whether new flows may be placed on a host. Before a host list
// is known every host is usable.
func (v *View) Usable(host string) bool {
	if v.hosts == nil {
		return true
	}
	return v.State(host) == schema.HostState_LIVE
}

// Doubt reports whether the process doubts its own link; verdicts of the time
// of the doubt are then ignored.
func (v *View) Doubt() bool { return v.doubt }

// publish returns the view when it changed.
func (d *Detector) publish() []Action {
	if !d.dirty {
		return nil
	}
	d.dirty = false
	d.view = &View{
		hosts:     d.hosts,
		deviating: maps.Clone(d.events.deviating),
		unlisted:  maps.Clone(d.events.unlisted),
		revived:   d.revived(),
		doubt:     d.probes.doubt,
		trusted:   d.probes.doubtSince.Add(-doubtWindow),
	}
	return []Action{ViewChanged{View: d.view}}
}

// revived returns the hosts that are dead according to the list only.
func (d *Detector) revived() map[hostlist.ID]bool {
	var out map[hostlist.ID]bool
	for _, id := range d.listedDead {
		if d.events.table[id].state != schema.HostState_LIVE {
			continue
		}
		if out == nil {
			out = map[hostlist.ID]bool{}
		}
		out[id] = true
	}
	return out
}
