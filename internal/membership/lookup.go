package membership

import (
	"maps"
	"net/netip"

	"github.com/peridotstall/peridotstall/internal/hostlist"
	"github.com/peridotstall/peridotstall/internal/schema"
)

// Listed returns the state of a host in the published list, without verdicts
// and announcements, or HOST_STATE_UNSPECIFIED when the host is not listed.
func (v *View) Listed(host string) schema.HostState {
	if v.hosts == nil {
		return schema.HostState_HOST_STATE_UNSPECIFIED
	}
	at := v.hosts.ByID(hostlist.IDOf(host))
	if at < 0 {
		return schema.HostState_HOST_STATE_UNSPECIFIED
	}
	return v.hosts.At(at).State
}

// Balancers returns the frame addresses of the balancers without a failure
// verdict, in list order. Leaving balancers are included because they still
// forward answers.
func (v *View) Balancers() []netip.AddrPort {
	var list []netip.AddrPort
	for i := range v.hosts.Len() {
		h := v.hosts.At(i)
		if h.Role == schema.Role_BALANCER && v.State(h.Name) != schema.HostState_DEAD {
			list = append(list, h.Addr)
		}
	}
	return list
}

// ChangedSince returns the hosts whose state may differ from an earlier view.
// all is true when finding them would take a walk over the full list.
func (v *View) ChangedSince(old *View) (hosts []string, all bool) {
	if old == nil || old.hosts != v.hosts || !maps.Equal(old.unlisted, v.unlisted) {
		return nil, true
	}
	changed := map[hostlist.ID]bool{}
	for _, view := range []*View{old, v} {
		for id := range view.notLive {
			changed[id] = true
		}
		for id := range view.revived {
			changed[id] = true
		}
	}
	for id := range changed {
		if at := v.hosts.ByID(id); at >= 0 {
			hosts = append(hosts, v.hosts.At(at).Name)
		}
	}
	return hosts, false
}
