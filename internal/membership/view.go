package membership

import (
	"maps"
	"time"

	"github.com/peridotstall/peridotstall/internal/hostlist"
	"github.com/peridotstall/peridotstall/internal/schema"
)

// View is an immutable snapshot of the host states. It decides the placement of
// new flows only.
type View struct {
	hosts    *hostlist.Set
	notLive  map[hostlist.ID]notLiveEntry
	unlisted map[hostlist.ID]entry
	// revived holds hosts that are DEAD in the list, which lags, and have
	// announced themselves as live.
	revived map[hostlist.ID]bool
	doubt   bool
	// trustedBefore is the time until which received verdicts count even while the
	// link is doubted.
	trustedBefore time.Time
}

// State returns the state of a host, HOST_STATE_UNSPECIFIED for a host that is
// neither listed nor announced. A host that is LEAVING in the list remains so
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
	e, ok := v.notLive[id]
	if !ok || (e.state == schema.HostState_DEAD && v.doubt && e.at.After(v.trustedBefore)) {
		return listed
	}
	return max(listed, e.state)
}

// Failed returns the hosts with a failure verdict in force and the incarnation of
// each verdict. It does not walk the whole host list, which is long.
func (v *View) Failed() map[string]uint64 {
	out := map[string]uint64{}
	for id, e := range v.notLive {
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

// Usable reports whether new flows may be placed on a host. Every host is usable
// before the first host list.
func (v *View) Usable(host string) bool {
	if v.hosts == nil {
		return true
	}
	return v.State(host) == schema.HostState_LIVE
}

// Doubt reports whether the process doubts its own link. Verdicts received since
// shortly before the doubt began are then ignored.
func (v *View) Doubt() bool { return v.doubt }

// publish replaces the view if it changed.
func (d *Detector) publish() []Action {
	if !d.dirty {
		return nil
	}
	d.dirty = false
	d.view = &View{
		hosts:         d.hosts,
		notLive:       maps.Clone(d.events.notLive),
		unlisted:      maps.Clone(d.events.unlisted),
		revived:       d.revived(),
		doubt:         d.probes.doubt,
		trustedBefore: d.probes.doubtSince.Add(-doubtWindow),
	}
	return []Action{ViewChanged{View: d.view}}
}

// revived returns the hosts that are DEAD in the list and LIVE by their newest
// event.
func (d *Detector) revived() map[hostlist.ID]bool {
	var out map[hostlist.ID]bool
	for _, id := range d.listedDead {
		if d.events.newest[id].state != schema.HostState_LIVE {
			continue
		}
		if out == nil {
			out = map[hostlist.ID]bool{}
		}
		out[id] = true
	}
	return out
}
