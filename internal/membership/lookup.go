package membership

import (
	"net/netip"

	"github.com/peridotstall/peridotstall/internal/hostlist"
	"github.com/peridotstall/peridotstall/internal/schema"
)

// Listed returns the state of a host in the published list, whatever probers
// and announcements say.
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

// Balancers returns the frame addresses of the balancers that are not known to
// have failed, in the order of the list. A leaving balancer still passes answers.
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
