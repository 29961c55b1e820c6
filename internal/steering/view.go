package steering

import (
	"math"
	"net/netip"
	"slices"
	"sync/atomic"
	"time"

	"github.com/dchest/siphash"

	"github.com/peridotstall/peridotstall/internal/registry"
	"github.com/peridotstall/peridotstall/internal/segment"
)

// SipHash key of the target hashes in rendezvous hashing.
const (
	targetKey0 = 0x72656e64657a766f
	targetKey1 = 0x757374617267657a
)

// minIdleLimit is the minimum idle time after which a flow may be removed: callers
// pause between the requests of a flow. A longer idle timeout of the configuration
// extends it.
const minIdleLimit = 15 * time.Second

// ReportTimeout is the shortest time without a report from an agent after which its target
// gets no new flows; lostReports is the number of reports of a longer interval that it
// stands for.
const (
	ReportTimeout = 900 * time.Millisecond
	lostReports   = 3
)

// answerTimeoutFactor is the number of latency objectives after which a request without
// an answer counts as failed: an answer that late is of little use, and a working
// target has a shorter queue.
const answerTimeoutFactor = 2

// Load is the last reported state of a target. The receiver of reports writes it and
// the engine reads it.
type Load struct {
	// pending counts running and waiting requests; meanMilli is their mean over the
	// last second, in thousandths.
	pending, meanMilli atomic.Uint32
	// serviceMicros is the mean service time in microseconds; 0 if unknown.
	serviceMicros atomic.Uint32
	// excludedRanks holds the bits of the lowest excluded rank of callers for each
	// priority.
	excludedRanks [segment.MaxPriority + 1]atomic.Uint64
	// lastReport is the time of the last report, reportTimeout the time after it, but at
	// least after awaitedSince, from which the target counts as silent.
	lastReport, reportTimeout, awaitedSince atomic.Int64
	// complete is set while the agent has seen every flow of its target.
	complete atomic.Bool
	// unresponsiveSince is the time at which the target stopped responding.
	unresponsiveSince atomic.Int64
	reportCount       atomic.Uint32
	// failingMilli is the share of recent requests that failed, in thousandths.
	failingMilli atomic.Uint32
	// warmupCredit is that of the last report.
	warmupCredit atomic.Uint32
	// unresponsive targets do not answer their agent; leaving agents are shutting down.
	unresponsive, leaving atomic.Bool
	// evacuated is set while the agent takes no openings because of an evacuation.
	evacuated atomic.Bool
	// openFlows is the number of flows that are open at the target while it is evacuated.
	openFlows atomic.Uint32
	// waiting counts the openings that wait at the agent.
	waiting atomic.Uint32
}

// Report is the content of an agent's report.
type Report struct {
	Pending     uint32
	MeanPending float64
	// Waiting counts the openings that wait at the agent.
	Waiting uint32
	// ServiceTime is the mean time for which a request occupies a slot; 0 if unknown.
	ServiceTime time.Duration
	// ExcludedRanks holds for each priority the lowest rank of callers whose openings the
	// agent refuses while requests wait; 1 for none.
	ExcludedRanks [segment.MaxPriority + 1]float64
	// Failing is the share of recent requests that failed, from 0 to 1.
	Failing      float64
	Unresponsive bool
	Leaving      bool
	// Complete is set while the agent has seen every flow of its target.
	Complete bool
	// Evacuated is set while the agent takes no openings because its zone is evacuated.
	Evacuated bool
	// OpenFlows is the number of flows that are open at the target while Evacuated is set.
	OpenFlows uint32
	// WarmupCredit is the number of openings that the cold target may take now, plus 1; 0 if
	// its agent knows of no limit.
	WarmupCredit uint32
}

// Target is one incarnation of a target as a balancer sees it.
type Target struct {
	// Info is the published entry when the balancer first saw the target.
	Info registry.Target
	// Agent is the address at which the target's agent receives segments.
	Agent netip.AddrPort
	// Tag identifies the target's service.
	Tag  segment.Tag
	hash uint64
	load Load
	// since is the time at which the balancer first saw the incarnation.
	since time.Duration
	// identity is that of the entry; standing says whether the agent confirms it.
	identity segment.Identity
	standing atomic.Uint32

	draining, removed, replaced atomic.Bool
	// evacuated is set while the zone of the target is evacuated.
	evacuated atomic.Bool
	warmup    warmupState
	// restored is set once the agent has sent the flows that this balancer forwarded
	// before it restarted.
	restored atomic.Bool

	// openingsSent counts the openings sent since report number openingsReport. Only
	// the engine uses both fields.
	openingsSent   uint32
	openingsReport uint32
	// lastProbe is the time of the last opening sent to the target while it was
	// unresponsive. Only the engine uses it.
	lastProbe time.Duration
}

// Report records a report of the target's agent.
func (t *Target) Report(now time.Duration, r Report) {
	t.load.pending.Store(r.Pending)
	t.load.waiting.Store(r.Waiting)
	t.load.meanMilli.Store(uint32(r.MeanPending * 1000))
	t.load.failingMilli.Store(uint32(r.Failing * 1000))
	for i, rank := range r.ExcludedRanks {
		t.load.excludedRanks[i].Store(math.Float64bits(rank))
	}
	t.load.serviceMicros.Store(uint32(r.ServiceTime.Microseconds()))
	if !t.load.unresponsive.Swap(r.Unresponsive) && r.Unresponsive {
		t.load.unresponsiveSince.Store(int64(now))
	}
	t.load.leaving.Store(r.Leaving)
	t.load.evacuated.Store(r.Evacuated)
	t.load.openFlows.Store(r.OpenFlows)
	t.load.lastReport.Store(int64(now))
	t.load.warmupCredit.Store(r.WarmupCredit)
	t.load.complete.Store(r.Complete)
	t.load.reportCount.Add(1)
}

// AwaitReports sets the interval of the reports that the agent is asked for from now on.
func (t *Target) AwaitReports(now, interval time.Duration) {
	timeout := int64(max(ReportTimeout, lostReports*interval))
	if t.load.reportTimeout.Swap(timeout) > timeout {
		t.load.awaitedSince.Store(int64(now))
	}
}

// Silent reports whether reports are overdue: the last one is older than ReportTimeout, or
// than lostReports of the intervals that the agent is asked for.
func (t *Target) Silent(now time.Duration) bool {
	since := max(t.load.lastReport.Load(), t.load.awaitedSince.Load())
	return int64(now)-since > max(int64(ReportTimeout), t.load.reportTimeout.Load())
}

// Reported reports whether the target's agent has sent a report.
func (t *Target) Reported() bool { return t.load.reportCount.Load() > 0 }

// ReportAge returns the time since the last report.
func (t *Target) ReportAge(now time.Duration) time.Duration {
	return now - time.Duration(t.load.lastReport.Load())
}

// ReportsEvacuated reports whether the target's agent takes no openings because of an evacuation.
func (t *Target) ReportsEvacuated() bool { return t.load.evacuated.Load() }

// Pending returns the number of requests that ran or waited at the last report.
func (t *Target) Pending() uint32 { return t.load.pending.Load() }

// Known returns the time for which the balancer has known the incarnation.
func (t *Target) Known(now time.Duration) time.Duration { return now - t.since }

// FlowsRestored reports whether the agent has sent the flows that this balancer
// forwarded before it restarted.
func (t *Target) FlowsRestored() bool { return t.restored.Load() }

// SetFlowsRestored records that the agent has sent the flows from before the restart.
func (t *Target) SetFlowsRestored() { t.restored.Store(true) }

// onHost reports whether the target is on a host; false for a nil target.
func (t *Target) onHost(host netip.Addr) bool { return t != nil && t.Agent.Addr() == host }

// acceptsFlows reports whether the target may get new flows.
func (t *Target) acceptsFlows() bool { return t.usable() && !t.evacuated.Load() }

// usable reports whether the target may get new flows unless its zone is evacuated.
func (t *Target) usable() bool {
	return t.Confirmed() && !t.draining.Load() && !t.removed.Load()
}

// slots returns the number of requests that the target runs concurrently.
func (t *Target) slots() float64 { return float64(max(t.Info.Slots, 1)) }

// View is an immutable snapshot of the routes and targets.
type View struct {
	// Version is the version of the configuration, Epoch and Revision the position of the
	// target table.
	Version, Epoch, Revision uint64
	IdleTimeout              time.Duration
	routes                   map[segment.Endpoint]*registry.Route
	services                 map[string][]*Target
	// formerServices lists the services that earlier configurations of this process
	// routed an endpoint to: flows that they opened may still exist.
	formerServices map[segment.Endpoint][]string
	hosts          map[netip.Addr]*host
	// answerTimeouts is the answer timeout of each service.
	answerTimeouts map[string]time.Duration
	evacuations    registry.Evacuations
}

// Evacuate sets the evacuated zones of a view that is not in use yet.
func (v *View) Evacuate(zones registry.Evacuations) {
	v.evacuations = zones
	for _, targets := range v.services {
		for _, t := range targets {
			t.evacuated.Store(zones.Contains(t.Info.Zone))
		}
	}
}

// Evacuation reports whether the zone of a target is evacuated, as of the returned position of
// the store.
func (v *View) Evacuation(t *Target) (position registry.Position, evacuated bool) {
	return v.evacuations.Position(), v.evacuations.Contains(t.Info.Zone)
}

// EvacuatedZone holds the figures of an evacuated zone.
type EvacuatedZone struct {
	// Targets is the number of targets there; the agents of Confirmed of them report that they
	// take no openings, and these have OpenFlows open flows.
	Targets, Confirmed, OpenFlows int
}

// EvacuatedZones returns the figures of the evacuated zones, also of those without targets.
func (v *View) EvacuatedZones() map[string]EvacuatedZone {
	zones := make(map[string]EvacuatedZone)
	for _, zone := range slices.Concat(v.evacuations.Zones, v.evacuations.Retained) {
		zones[zone] = EvacuatedZone{}
	}
	if len(zones) == 0 {
		return nil
	}
	for _, targets := range v.services {
		for _, t := range targets {
			count, evacuated := zones[t.Info.Zone]
			if !evacuated {
				continue
			}
			count.Targets++
			if t.ReportsEvacuated() {
				count.Confirmed++
				count.OpenFlows += int(t.load.openFlows.Load())
			}
			zones[t.Info.Zone] = count
		}
	}
	return zones
}

// Targets returns all targets of the view, also those that their agent disowns.
func (v *View) Targets() []*Target {
	var out []*Target
	for _, targets := range v.services {
		out = append(out, targets...)
	}
	return out
}

// AnswerTimeout returns the time after which a request to a service without an answer
// counts as failed; 0 if no route has the service.
func (v *View) AnswerTimeout(service string) time.Duration { return v.answerTimeouts[service] }

// IdleLimit returns the idle time after which a flow may be removed: the idle timeout,
// but at least minIdleLimit.
func (v *View) IdleLimit() time.Duration { return max(minIdleLimit, v.IdleTimeout) }

// NewView returns the view of a configuration and a target table. Targets that the
// previous view contains keep their state; previous may be nil.
func NewView(now time.Duration, previous *View, routes registry.Routes, table registry.Table, agentPort uint16) *View {
	v := &View{
		Version: routes.Version, Epoch: table.Epoch, Revision: table.Revision, IdleTimeout: routes.IdleTimeout,
		routes:         make(map[segment.Endpoint]*registry.Route, len(routes.Routes)),
		services:       make(map[string][]*Target),
		formerServices: make(map[segment.Endpoint][]string),
		hosts:          make(map[netip.Addr]*host, len(table.Targets)),
		answerTimeouts: make(map[string]time.Duration),
	}
	for i := range routes.Routes {
		route := &routes.Routes[i]
		v.routes[route.Endpoint] = route
		for _, share := range route.Shares {
			v.answerTimeouts[share.Service] = max(v.answerTimeouts[share.Service], answerTimeout(route))
		}
	}
	var known map[netip.Addr]*host
	if previous != nil {
		known = previous.hosts
		v.inheritFormerServices(previous)
	}
	named := v.namedServices(routes)
	for _, info := range newestOfEach(table, named) {
		address := info.Address.Addr()
		earlier := known[address].targetAt(&info)
		t := earlier
		if t == nil || !t.Info.SameIncarnation(&info) {
			t = newTarget(now, info, agentPort)
			// The successor of an incarnation in the previous view needs no
			// restore: the flows that the agent has recorded are those of the
			// earlier one.
			t.restored.Store(earlier != nil)
		}
		t.setWarmup(now, &info, routes.Warmups[info.Service])
		t.draining.Store(info.Draining)
		v.services[info.Service] = append(v.services[info.Service], t)
		if v.hosts[address] == nil {
			v.hosts[address] = known[address].next()
		}
		v.hosts[address].targets = append(v.hosts[address].targets, t)
	}
	for _, h := range v.hosts {
		h.settle()
	}
	v.markRemoved(known)
	return v
}

// namedServices returns the services that the configuration or the former services name;
// nil if no configuration has been received. Entries of others are not those of targets.
func (v *View) namedServices(routes registry.Routes) map[string]bool {
	if routes.Version == 0 {
		return nil
	}
	named := make(map[string]bool)
	for _, name := range routes.Services {
		named[name] = true
	}
	for _, route := range routes.Routes {
		for _, share := range route.Shares {
			named[share.Service] = true
		}
	}
	for _, names := range v.formerServices {
		for _, name := range names {
			named[name] = true
		}
	}
	return named
}

// newestOfEach returns the newest incarnation of each service at each address, in the order
// of the table. The entry of an earlier incarnation stays until it lapses, and no agent
// reports its load, so that it would look idle and attract the flows of its successor. Of
// two entries with the same start, one that drains takes precedence.
func newestOfEach(table registry.Table, named map[string]bool) []registry.Target {
	type place struct {
		service string
		address netip.AddrPort
	}
	newest := make(map[place]int, len(table.Targets))
	for i := range table.Targets {
		t := &table.Targets[i]
		at := place{t.Service, t.Address}
		other, taken := newest[at]
		if !taken || t.Born > table.Targets[other].Born || t.Born == table.Targets[other].Born && t.Draining {
			newest[at] = i
		}
	}
	out := make([]registry.Target, 0, len(newest))
	for i, t := range table.Targets {
		if newest[place{t.Service, t.Address}] == i && (named == nil || named[t.Service]) {
			out = append(out, t)
		}
	}
	return out
}

// answerTimeout returns the time after which a request of a route without an answer
// counts as failed.
func answerTimeout(route *registry.Route) time.Duration {
	if route.Timeout == 0 {
		return answerTimeoutFactor * route.Aim
	}
	return min(answerTimeoutFactor*route.Aim, route.Timeout)
}

func newTarget(now time.Duration, info registry.Target, agentPort uint16) *Target {
	t := &Target{
		Info:  info,
		Agent: netip.AddrPortFrom(info.Address.Addr(), agentPort),
		Tag:   segment.TagOf(info.Service),
		hash:  siphash.Hash(targetKey0, targetKey1, []byte(info.ID)),

		since:    now,
		identity: segment.IdentityOf(info.Service, info.Address.Port()),
	}
	t.load.lastReport.Store(int64(now))
	return t
}

// markRemoved marks the targets that are no longer in the view.
func (v *View) markRemoved(known map[netip.Addr]*host) {
	for address, before := range known {
		after := v.hosts[address]
		for _, t := range before.targets {
			if after.has(t) {
				continue
			}
			t.replaced.Store(after.hasSuccessor())
			t.removed.Store(true)
		}
	}
}

// inheritFormerServices copies the former services of the previous view and adds those
// of its routes that changed.
func (v *View) inheritFormerServices(previous *View) {
	for endpoint, names := range previous.formerServices {
		v.formerServices[endpoint] = names
	}
	for endpoint, route := range previous.routes {
		current := v.routes[endpoint]
		for _, share := range route.Shares {
			if current != nil && slices.Contains(current.Shares, share) {
				continue
			}
			if !slices.Contains(v.formerServices[endpoint], share.Service) {
				v.formerServices[endpoint] = append(slices.Clone(v.formerServices[endpoint]), share.Service)
			}
		}
	}
}

// servicesOf returns the services that may hold flows of an endpoint.
func (v *View) servicesOf(endpoint segment.Endpoint) []string {
	var names []string
	if route := v.routes[endpoint]; route != nil {
		for _, share := range route.Shares {
			names = append(names, share.Service)
		}
	}
	for _, name := range v.formerServices[endpoint] {
		if !slices.Contains(names, name) {
			names = append(names, name)
		}
	}
	return names
}
