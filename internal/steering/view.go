package steering

import (
	"net/netip"
	"slices"
	"sync/atomic"
	"time"

	"github.com/dchest/siphash"

	"github.com/peridotstall/peridotstall/internal/registry"
	"github.com/peridotstall/peridotstall/internal/segment"
)

// Key of the hash that names a target in rendezvous hashing.
const (
	targetKey0 = 0x72656e64657a766f
	targetKey1 = 0x757374617267657a
)

// leastIdle is the least time that a flow is taken to be idle: callers pause
// between the requests of a flow. A longer limit of the configuration extends it.
const leastIdle = 15 * time.Second

// SilentAfter is the time without a word of an agent after which its target
// gets no new flows: three lost answers at the interval of pings.
const SilentAfter = 900 * time.Millisecond

// patienceFactor is the number of latency objectives after which a request
// without an answer counts as failed: an answer that late is worth little, and
// the queue of a target that works is shorter.
const patienceFactor = 2

// Load is what an agent last said of its target. It is written by the receiver
// of reports and read by the engine.
type Load struct {
	// pending counts requests that run or wait, meanMilli is its mean over the
	// last second in thousandths.
	pending, meanMilli atomic.Uint32
	// heard is the time of the last report.
	heard atomic.Int64
	// complete says that the agent knows every flow of its target.
	complete atomic.Bool
	// ceased is the time at which the target stopped to respond.
	ceased atomic.Int64
	// reports counts the reports.
	reports atomic.Uint32
	// failingMilli is the share of recent requests that failed, in thousandths.
	failingMilli atomic.Uint32
	// unresponsive targets do not answer their agent; leaving agents stop.
	unresponsive, leaving atomic.Bool
}

// Report is the content of a report of an agent.
type Report struct {
	Pending     uint32
	MeanPending float64
	// Failing is the share of recent requests that failed.
	Failing      float64
	Unresponsive bool
	Leaving      bool
	// Complete says that the agent knows every flow of its target.
	Complete bool
}

// Target is one lifetime of a target as a balancer sees it.
type Target struct {
	// Info is the published description at the time of the first sight.
	Info registry.Target
	// Agent is where the target's agent takes segments.
	Agent netip.AddrPort
	// Tag names the target's service.
	Tag  segment.Tag
	hash uint64
	load Load

	draining, cold, gone, replaced atomic.Bool
	// recalled says that the agent has named the flows that this balancer
	// forwarded before it was restarted.
	recalled atomic.Bool

	// sent counts openings since the report number sentReport; only the engine
	// uses both.
	sent       uint32
	sentReport uint32
	// tried is the time of the last opening that went to the target although it
	// did not respond; only the engine uses it.
	tried time.Duration
}

// Report records a report of the target's agent.
func (t *Target) Report(now time.Duration, r Report) {
	t.load.pending.Store(r.Pending)
	t.load.meanMilli.Store(uint32(r.MeanPending * 1000))
	t.load.failingMilli.Store(uint32(r.Failing * 1000))
	if !t.load.unresponsive.Swap(r.Unresponsive) && r.Unresponsive {
		t.load.ceased.Store(int64(now))
	}
	t.load.leaving.Store(r.Leaving)
	t.load.heard.Store(int64(now))
	t.load.complete.Store(r.Complete)
	t.load.reports.Add(1)
}

// Silent reports whether the agent has not been heard for SilentAfter.
func (t *Target) Silent(now time.Duration) bool {
	return now-time.Duration(t.load.heard.Load()) > SilentAfter
}

// ReportAge returns the time since the last report.
func (t *Target) ReportAge(now time.Duration) time.Duration {
	return now - time.Duration(t.load.heard.Load())
}

// Pending returns the requests that ran or waited at the last report.
func (t *Target) Pending() uint32 { return t.load.pending.Load() }

// Recalled reports whether the agent has named the flows that this balancer
// forwarded before it was restarted.
func (t *Target) Recalled() bool { return t.recalled.Load() }

// SetRecalled records that the agent has named them.
func (t *Target) SetRecalled() { t.recalled.Store(true) }

// on reports whether the target is on a host; no target is on none.
func (t *Target) on(host netip.Addr) bool { return t != nil && t.Agent.Addr() == host }

// open reports whether the target may get new flows at all.
func (t *Target) open() bool { return !t.draining.Load() && !t.gone.Load() }

// slots returns the number of requests that the target runs at a time.
func (t *Target) slots() float64 { return float64(max(t.Info.Slots, 1)) }

// View is an immutable picture of routes and targets.
type View struct {
	// Version and Revision name the configuration and the table in force.
	Version, Revision uint64
	IdleTimeout       time.Duration
	routes            map[segment.Endpoint]*registry.Route
	services          map[string][]*Target
	// former lists the services that earlier configurations of this process
	// named for an endpoint: flows that they opened are still there.
	former map[segment.Endpoint][]string
	byHost map[netip.Addr]*Target
	// patience is the time by service after which an answer is of little use.
	patience map[string]time.Duration
}

// Targets returns all targets of the view.
func (v *View) Targets() []*Target {
	var out []*Target
	for _, targets := range v.services {
		out = append(out, targets...)
	}
	return out
}

// Patience returns the time after which a request to a service that has no answer
// counts as failed; 0 if no route says.
func (v *View) Patience(service string) time.Duration { return v.patience[service] }

// IdleLimit returns the longest time that a flow may be idle.
func (v *View) IdleLimit() time.Duration { return max(leastIdle, v.IdleTimeout) }

// Host returns the target on a host, or nil.
func (v *View) Host(host netip.Addr) *Target { return v.byHost[host] }

// NewView returns the picture of a configuration and a table. Targets that the
// earlier view knows keep their state; the earlier view may be nil.
func NewView(now time.Duration, earlier *View, routes registry.Routes, table registry.Table, agentPort uint16) *View {
	v := &View{
		Version: routes.Version, Revision: table.Revision, IdleTimeout: routes.IdleTimeout,
		routes:   make(map[segment.Endpoint]*registry.Route, len(routes.Routes)),
		services: make(map[string][]*Target),
		former:   make(map[segment.Endpoint][]string),
		byHost:   make(map[netip.Addr]*Target, len(table.Targets)),
		patience: make(map[string]time.Duration),
	}
	for i := range routes.Routes {
		route := &routes.Routes[i]
		v.routes[route.Endpoint] = route
		for _, share := range route.Shares {
			v.patience[share.Service] = max(v.patience[share.Service], patience(route))
		}
	}
	known := make(map[netip.Addr]*Target)
	if earlier != nil {
		known = earlier.byHost
		v.inheritFormer(earlier)
	}
	newest := newestByHost(table)
	for i := range table.Targets {
		info := table.Targets[i]
		host := info.Address.Addr()
		if newest[host] != i {
			continue
		}
		t := known[host]
		if t == nil || !t.Info.SameLife(&info) {
			next := newTarget(now, info, agentPort)
			// What the agent remembers is of the earlier lifetime.
			next.recalled.Store(t != nil)
			t = next
		}
		t.draining.Store(info.Draining)
		t.cold.Store(info.Cold)
		v.services[info.Service] = append(v.services[info.Service], t)
		v.byHost[host] = t
	}
	v.retire(known)
	return v
}

// newestByHost returns the place in the table of the newest lifetime on each
// host. The entry of an earlier one stays until it lapses, and nothing reports its
// load, so that it would look idle and attract the flows of its successor.
func newestByHost(table registry.Table) map[netip.Addr]int {
	newest := make(map[netip.Addr]int, len(table.Targets))
	for i := range table.Targets {
		host := table.Targets[i].Address.Addr()
		if other, taken := newest[host]; !taken || table.Targets[i].Born > table.Targets[other].Born {
			newest[host] = i
		}
	}
	return newest
}

// patience returns the time after which an answer to a request of a route is of
// little use.
func patience(route *registry.Route) time.Duration {
	if route.Timeout == 0 {
		return patienceFactor * route.Aim
	}
	return min(patienceFactor*route.Aim, route.Timeout)
}

func newTarget(now time.Duration, info registry.Target, agentPort uint16) *Target {
	t := &Target{
		Info:  info,
		Agent: netip.AddrPortFrom(info.Address.Addr(), agentPort),
		Tag:   segment.TagOf(info.Service),
		hash:  siphash.Hash(targetKey0, targetKey1, []byte(info.ID)),
	}
	t.load.heard.Store(int64(now))
	return t
}

// retire marks the targets that are no longer in the view.
func (v *View) retire(known map[netip.Addr]*Target) {
	for host, t := range known {
		switch now := v.byHost[host]; now {
		case t:
		case nil:
			t.gone.Store(true)
		default:
			t.gone.Store(true)
			t.replaced.Store(true)
		}
	}
}

// inheritFormer carries over which services served an endpoint before.
func (v *View) inheritFormer(earlier *View) {
	for endpoint, names := range earlier.former {
		v.former[endpoint] = names
	}
	for endpoint, before := range earlier.routes {
		now := v.routes[endpoint]
		for _, share := range before.Shares {
			if now != nil && slices.Contains(now.Shares, share) {
				continue
			}
			if !slices.Contains(v.former[endpoint], share.Service) {
				v.former[endpoint] = append(slices.Clone(v.former[endpoint]), share.Service)
			}
		}
	}
}

// servicesOf lists the services that may hold flows of an endpoint.
func (v *View) servicesOf(endpoint segment.Endpoint) []string {
	var names []string
	if route := v.routes[endpoint]; route != nil {
		for _, share := range route.Shares {
			names = append(names, share.Service)
		}
	}
	for _, name := range v.former[endpoint] {
		if !slices.Contains(names, name) {
			names = append(names, name)
		}
	}
	return names
}
