package segnode

import (
	"math"
	"net/netip"
	"time"

	"github.com/peridotstall/peridotstall/internal/occupancy"
	"github.com/peridotstall/peridotstall/internal/schema"
	"github.com/peridotstall/peridotstall/internal/segment"
	"github.com/peridotstall/peridotstall/internal/telemetry"
)

// tick expires idle flows, sends due reports and logs changes in the state of
// the target.
func (a *Agent) tick(now time.Duration) {
	a.mu.Lock()
	a.tracker.Tick(now)
	a.tracker.SetPeriod(segment.RankPeriodAt(time.Now()))
	givenUp, reason := a.tracker.GivenUp(now)
	released := a.release(now)
	waiting := a.tracker.Waiting()
	load := &schema.LinkLoad{
		ServiceTag:       uint32(a.tracker.Tag()),
		Pending:          uint32(max(a.tracker.Pending(), 0)),
		Waiting:          uint32(waiting),
		MeanPendingMilli: uint32(a.tracker.Mean(now) * 1000),
		Unresponsive:     a.tracker.Unresponsive(now),
		Leaving:          a.leaving,
		Complete:         a.coverage.Complete(now),
		FailingMilli:     uint32(a.tracker.Failing(now) * 1000),
		ServiceMicros:    uint32(a.tracker.ServiceTime().Microseconds()),
		ExcludedShares:   excludedShares(a.tracker.ExcludedRanks()),
		Evacuated:        a.evacuation.Evacuated(),
	}
	open := a.tracker.Open()
	if load.Evacuated {
		load.OpenFlows = uint32(max(open, 0))
	}
	empty := load.Evacuated && !a.emptied && load.Complete && open == 0 && load.Pending == 0
	a.emptied = a.emptied || empty
	evacuatedFor := now - a.evacuatedAt
	credit, cold := a.tracker.Warmup().Credit(now)
	warmupEvent := a.warmup.update(now, a.tracker.Warmup())
	changed := load.Unresponsive != a.loggedUnresponsive
	// Reports that follow a ping name the target, for the balancers in naming.
	var to, naming []netip.AddrPort
	due := a.reports.Due(now, load.Pending, a.urgent || changed)
	each, more := a.tracker.Warmup().Share(now, len(due))
	for _, index := range due {
		balancer := &a.balancers[index]
		if balancer.pinged {
			naming = append(naming, balancer.link)
		} else {
			to = append(to, balancer.link)
		}
		balancer.pinged = false
	}
	arriving := a.tracker.Arriving()
	identity := a.identity()
	identity.ServiceTag = 0
	a.urgent = false
	a.loggedUnresponsive = load.Unresponsive
	share := a.tracker.Failing(now)
	startedFailing, stoppedFailing := !a.loggedFailing && share > failingAbove, a.loggedFailing && share < failingBelow
	a.loggedFailing = startedFailing || a.loggedFailing && !stoppedFailing
	a.mu.Unlock()
	a.deliver(released)
	a.returnOpenings(now, givenUp, reason, openingLoad{pending: int(load.Pending), waiting: waiting})
	a.metrics.Pending.Set(int64(load.Pending))
	a.metrics.Waiting.Set(int64(waiting))
	a.metrics.Arriving.Set(int64(arriving))
	a.metrics.Flows.Set(int64(open))
	if load.Evacuated {
		a.metrics.EvacuatedZones.Count(a.options.Zone, 1, 1, open)
	}
	if empty {
		a.options.Logger.Log(telemetry.TargetEmpty, "waited", evacuatedFor.Round(time.Millisecond),
			"refused", a.metrics.Reason(int(occupancy.Evacuated)).Value())
	}
	a.recordWarmup(cold, credit, warmupEvent)
	if changed {
		a.options.Logger.Log(telemetry.TargetResponds, "responds", !load.Unresponsive, "pending", load.Pending)
	}
	if startedFailing || stoppedFailing {
		a.options.Logger.Log(telemetry.TargetFailing, "failing", startedFailing, "share", math.Round(share*100)/100, "pending", load.Pending)
	}
	if !cold {
		a.sendReports(load, identity, to, naming)
		return
	}
	// The first ones get one more.
	load.WarmupCredit = uint32(each) + 2
	first := min(more, len(to))
	a.sendReports(load, identity, to[:first], naming[:more-first])
	load.WarmupCredit = uint32(each) + 1
	a.sendReports(load, identity, to[first:], naming[more-first:])
}

// sendReports sends a report, which names the target to some of the balancers.
func (a *Agent) sendReports(load *schema.LinkLoad, identity *schema.LinkIdentity, to, naming []netip.AddrPort) {
	load.Identity = nil
	message := &schema.LinkMessage{Body: &schema.LinkMessage_Load{Load: load}}
	a.out.messages(a.link, message, to)
	load.Identity = identity
	a.out.messages(a.link, message, naming)
}

// excludedShares encodes the excluded ranks of a load report: one byte for each
// priority, the highest one first, with the share of callers that is excluded in
// 255ths.
func excludedShares(ranks [segment.MaxPriority + 1]float64) (shares uint32) {
	for _, rank := range ranks {
		shares = shares<<8 | uint32((1-rank)*math.MaxUint8)
	}
	return shares
}

// excludedRanks is the inverse of excludedShares.
func excludedRanks(shares uint32) (ranks [segment.MaxPriority + 1]float64) {
	for i := range ranks {
		ranks[i] = 1 - float64(uint8(shares>>(8*(segment.MaxPriority-i))))/math.MaxUint8
	}
	return ranks
}
