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

// view holds a configuration and the data that the agent derives from it.
type view struct {
	snapshot *config.Snapshot
	table    *placement.Table
	target   *schema.Target
	services map[uint32]*schema.Service
}

// peer is the agent of a target.
type peer struct {
	host    string
	address netip.AddrPort
}

func newView(s *config.Snapshot, prev *view, ownTarget uint32) *view {
	v := &view{
		snapshot: s,
		services: map[uint32]*schema.Service{},
	}
	if prev != nil {
		v.table = prev.table.Update(prev.snapshot, s)
	} else {
		v.table = placement.FromSnapshot(s)
	}
	v.target, _ = s.Target(ownTarget)
	for _, service := range s.Services() {
		for _, target := range s.Targets(service.GetId()) {
			if target.GetId() == ownTarget {
				v.services[service.GetId()] = service
			}
		}
	}
	return v
}

// peer returns the agent of a target. It also finds a configured target that no
// service selects any more, because that target may still own flows.
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

// admissionSettings merges the policies of all services of the target. If two
// policies define the same class, the policy of the service with the lower ID
// applies.
func (v *view) admissionSettings() admission.Settings {
	settings := admission.Settings{
		Slots:       int(v.target.GetSlots()),
		Connections: int(v.target.GetConnections()),
		Capacity:    int(v.target.GetCapacity()),
		Members:     map[string]uint32{},
	}
	seen := map[string]bool{}
	for _, service := range v.snapshot.Services() {
		if v.services[service.GetId()] == nil {
			continue
		}
		if m, ok := v.snapshot.Member(service.GetMember()); ok {
			settings.Members[m.GetName()] = m.GetWeight()
		}
		for _, class := range v.snapshot.Policy(service.GetId()).GetClasses() {
			if !seen[class.GetName()] {
				seen[class.GetName()] = true
				settings.Classes = append(settings.Classes, class)
			}
		}
	}
	return settings
}

// flowView combines the configuration and the view of the hosts for the flow state
// machine.
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
