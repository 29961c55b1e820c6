package steering

import (
	"slices"
	"time"

	"github.com/peridotstall/peridotstall/internal/segment"
)

const (
	// localChoices and globalChoices are the numbers of targets of the own zone
	// and of all zones among which the least loaded one gets a new flow. A
	// balancer that did not see the opening finds the owner among the same few.
	localChoices  = 2
	globalChoices = 4
	// remoteCost is the load, in requests per slot, that a target in the own
	// zone may have more before one in another zone is preferred.
	remoteCost = 0.2
	// coldCost is the load in requests per slot that a cold target is charged.
	coldCost = 0.5
	// failingCost is the load in requests per slot that a target is charged whose
	// requests all fail. A target with a tenth of failures is still used when the
	// others have a request waiting per slot; if all fail alike, none is preferred.
	failingCost = 10
	// trialInterval is the time between openings that this balancer sends to a
	// target which does not respond. The caller of one loses the 200 ms until its
	// next copy if the target is still dead.
	trialInterval = time.Second
	// meanWeight weighs the mean of pending requests against the present count.
	meanWeight = 1.0
	// sentWeight weighs openings that the last report does not contain yet.
	sentWeight = 1.0
)

// ranked is a target with its rendezvous score for a flow.
type ranked struct {
	target *Target
	score  uint64
}

// mix spreads the bits of a value (the finaliser of SplitMix64).
func mix(x uint64) uint64 {
	x ^= x >> 30
	x *= 0xbf58476d1ce4e5b9
	x ^= x >> 27
	x *= 0x94d049bb133111eb
	return x ^ x>>31
}

// insertTop inserts a target into a list of at most count ones in the order of
// falling scores.
func insertTop(list []ranked, r ranked, count int) []ranked {
	if len(list) < count {
		list = append(list, r)
	} else {
		list[count-1] = r
	}
	for i := len(list) - 1; i > 0 && list[i-1].score < r.score; i-- {
		list[i-1], list[i] = list[i], list[i-1]
	}
	return list
}

// belongs reports whether a score is among the count highest.
func belongs(list []ranked, score uint64, count int) bool {
	return len(list) < count || score > list[len(list)-1].score
}

// rank returns the first count usable targets by their rendezvous score for a
// flow, with the first localChoices of the own zone in front. The slice is valid
// until the next call.
func (e *Engine) rank(flow segment.Flow, services []string, usable func(*Target) bool, count int) []*Target {
	hash := flow.Hash()
	local, all := e.local[:0], e.all[:0]
	for _, name := range services {
		for _, t := range e.view.services[name] {
			r := ranked{t, mix(hash ^ t.hash)}
			isLocal := t.Info.Zone == e.zone && belongs(local, r.score, localChoices)
			isFirst := belongs(all, r.score, count)
			if !isLocal && !isFirst || !usable(t) {
				continue
			}
			if isLocal {
				local = insertTop(local, r, localChoices)
			}
			if isFirst {
				all = insertTop(all, r, count)
			}
		}
	}
	e.local, e.all = local, all
	list := e.scratch[:0]
	for _, r := range local {
		list = append(list, r.target)
	}
	for _, r := range all {
		if !slices.Contains(list[:len(local)], r.target) {
			list = append(list, r.target)
		}
	}
	e.scratch = list
	return list[:min(count, len(list))]
}

// nextTargets returns the next targets to probe for a flow's owner. Until all
// agents had time to answer, these are the targets whose agents do not know all
// of their flows.
func (e *Engine) nextTargets(s *search, flow segment.Flow, count int) []*Target {
	return slices.Clone(e.rank(flow, e.view.servicesOf(flow.Service), func(t *Target) bool {
		return !s.refusedBy(t) && !slices.Contains(s.asked, t) && (s.stage == probing || !t.load.complete.Load())
	}, count))
}

// queryTargets returns the first targets whose agents are asked for a flow.
func (e *Engine) queryTargets(flow segment.Flow, count int) []*Target {
	return slices.Clone(e.rank(flow, e.view.servicesOf(flow.Service), func(*Target) bool { return true }, count))
}

// choose returns the least loaded of the first targets for a new flow, or nil.
func (e *Engine) choose(now time.Duration, service string, flow segment.Flow, excluded func(*Target) bool) *Target {
	usable := func(t *Target) bool { return t.open() && !excluded(t) }
	healthy := func(t *Target) bool { return usable(t) && !e.suspect(now, t) }
	names := [1]string{service}
	list := e.rank(flow, names[:], healthy, localChoices+globalChoices)
	if len(list) == 0 {
		list = e.rank(flow, names[:], usable, localChoices+globalChoices)
	}
	var best *Target
	var bestCost float64
	for _, t := range list {
		if cost := e.cost(t); best == nil || cost < bestCost {
			best, bestCost = t, cost
		}
	}
	if best != nil && best.load.unresponsive.Load() {
		best.tried = now
	}
	return best
}

// suspect reports whether a target should get no new flow while others can. One
// that does not respond is tried now and then, because only an opening shows that
// it is back.
func (e *Engine) suspect(now time.Duration, t *Target) bool {
	if t.load.unresponsive.Load() && now-max(t.tried, time.Duration(t.load.ceased.Load())) < trialInterval {
		return true
	}
	return t.load.leaving.Load() || t.Silent(now) && !e.doubted
}

// cost estimates the load of a target in requests per slot.
func (e *Engine) cost(t *Target) float64 {
	if reports := t.load.reports.Load(); reports != t.sentReport {
		t.sentReport, t.sent = reports, 0
	}
	pending := float64(t.load.pending.Load()) + sentWeight*float64(t.sent)
	mean := float64(t.load.meanMilli.Load()) / 1000
	cost := (pending + meanWeight*mean) / t.slots()
	cost += failingCost * float64(t.load.failingMilli.Load()) / 1000
	if t.cold.Load() {
		cost += coldCost
	}
	if t.Info.Zone != e.zone {
		cost += remoteCost
	}
	return cost
}
