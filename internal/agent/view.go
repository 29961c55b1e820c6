package agent

import (
	"net/netip"
	"time"

	"github.com/peridotstall/peridotstall/internal/admission"
	"github.com/peridotstall/peridotstall/internal/config"
	"github.com/peridotstall/peridotstall/internal/flow"
	"github.com/peridotstall/peridotstall/internal/placement"
	"github.com/peridotstall/peridotstall/internal/schema"
)

// view is what an agent derives from the configuration.
type view struct {
	snapshot *config.Snapshot
	table    *placement.Table
	target   *schema.Target
	services map[uint32]*schema.Service
}

// peer is the agent of another target.
type peer struct {
	host    string
	address netip.AddrPort
}

func newView(s *config.Snapshot, previous *view, self uint32) *view {
	v := &view{
		snapshot: s,
		services: map[uint32]*schema.Service{},
	}
	if previous != nil {
		v.table = previous.table.Update(previous.snapshot, s)
	} else {
		v.table = placement.FromSnapshot(s)
	}
	v.target, _ = s.Target(self)
	for _, service := range s.Services() {
		for _, target := range s.Targets(service.GetId()) {
			if target.GetId() == self {
				v.services[service.GetId()] = service
			}
		}
	}
	return v
}

// peer returns the agent of a target. A target that no service selects any more
// is known as long as it is configured, since it may still own flows.
func (v *view) peer(target uint32) (peer, bool) {
	t, ok := v.snapshot.Target(target)
	if !ok {
		return peer{}, false
	}
	address, err := netip.ParseAddrPort(t.GetAgentAddress())
	if err != nil {
		return peer{}, false
	}
	return peer{host: t.GetHost(), address: address}, true
}

// member returns the member that owns a service.
func (v *view) member(service uint32) string {
	s, ok := v.snapshot.Service(service)
	if !ok {
		return ""
	}
	return s.GetMember()
}

// admissionSettings joins the policies of all services of the target. Where two
// policies name one class, the policy of the service with the lower ID counts.
func (v *view) admissionSettings() admission.Settings {
	settings := admission.Settings{
		Slots:       int(v.target.GetSlots()),
		Connections: int(v.target.GetConnections()),
		Capacity:    int(v.target.GetCapacity()),
		Members:     map[string]uint32{},
	}
	known := map[string]bool{}
	for _, service := range v.snapshot.Services() {
		if v.services[service.GetId()] == nil {
			continue
		}
		if m, ok := v.snapshot.Member(service.GetMember()); ok {
			settings.Members[m.GetName()] = m.GetWeight()
		}
		for _, class := range v.snapshot.Policy(service.GetId()).GetClasses() {
			if !known[class.GetName()] {
				known[class.GetName()] = true
				settings.Classes = append(settings.Classes, class)
			}
		}
	}
	return settings
}

// flowView joins the configuration and the hosts for the ownership state.
func (a *Agent) flowView() flow.View {
	v := a.view
	services := map[uint32]flow.Service{}
	for id := range v.services {
		policy := v.snapshot.Policy(id)
		services[id] = flow.Service{
			ID:            id,
			TimeoutAction: policy.GetTimeoutAction(),
			IdleTimeout:   time.Duration(policy.GetIdleTimeoutMs()) * time.Millisecond,
		}
	}
	return flow.View{
		Table:    v.table,
		Services: services,
		Usable:   a.targetUsable,
		Dead:     a.targetDead,
	}
}

func (a *Agent) targetUsable(target uint32) bool {
	if target == a.options.Settings.GetTarget() {
		return !a.draining
	}
	p, ok := a.view.peer(target)
	return ok && a.hosts.Usable(p.host)
}

func (a *Agent) targetDead(target uint32) bool {
	if target == a.options.Settings.GetTarget() {
		return false
	}
	p, ok := a.view.peer(target)
	return !ok || a.hosts.Dead(p.host)
}
