package steering

import (
	"math"
	"slices"
	"time"

	"github.com/peridotstall/peridotstall/internal/segment"
)

const (
	// localCandidates and globalCandidates are the numbers of targets of the own zone
	// and of all zones among which the least loaded one gets a new flow. A balancer
	// that did not see the opening finds the owner among the same few targets.
	localCandidates  = 2
	globalCandidates = 4
	// remoteCost is the difference in load, in requests per slot, above which a target
	// in another zone is preferred to one in the own zone.
	remoteCost = 0.2
	// coldCost is the load, in requests per slot, that is added for a cold target.
	coldCost = 0.5
	// failingCost is the load, in requests per slot, that is added for a target whose
	// requests all fail; smaller shares of failures add proportionally less. A target
	// with a tenth of failures is still used when the others have a request waiting per
	// slot. If all fail alike, none is preferred.
	failingCost = 10
	// unresponsiveProbeInterval is the time between openings that this balancer sends
	// to an unresponsive target. If the target is still down, the caller of such an
	// opening loses the 200 ms until its next copy.
	unresponsiveProbeInterval = time.Second
	// meanWeight is the weight of the mean of pending requests relative to the current
	// count.
	meanWeight = 1.0
	// sentWeight is the weight of openings that the last report does not include yet.
	sentWeight = 1.0
)

type rankedTarget struct {
	target *Target
	score  uint64
}

// mix is the finalizer of SplitMix64.
func mix(x uint64) uint64 {
	x ^= x >> 30
	x *= 0xbf58476d1ce4e5b9
	x ^= x >> 27
	x *= 0x94d049bb133111eb
	return x ^ x>>31
}

// insertTop inserts a target into a list of at most limit targets in descending order
// of score.
func insertTop(list []rankedTarget, r rankedTarget, limit int) []rankedTarget {
	if len(list) < limit {
		list = append(list, r)
	} else {
		list[limit-1] = r
	}
	for i := len(list) - 1; i > 0 && list[i-1].score < r.score; i-- {
		list[i-1], list[i] = list[i], list[i-1]
	}
	return list
}

// inTop reports whether a score is among the limit highest.
func inTop(list []rankedTarget, score uint64, limit int) bool {
	return len(list) < limit || score > list[len(list)-1].score
}

// rank returns the usable targets with the highest rendezvous scores for a flow, at
// most count, with up to localCandidates of the own zone first. The slice is valid
// until the next call.
func (e *Engine) rank(flow segment.Flow, services []string, usable func(*Target) bool, count int) []*Target {
	hash := flow.Hash()
	local, all := e.local[:0], e.all[:0]
	for _, name := range services {
		for _, t := range e.view.services[name] {
			r := rankedTarget{t, mix(hash ^ t.hash)}
			inLocal := t.Info.Zone == e.zone && inTop(local, r.score, localCandidates)
			inAll := inTop(all, r.score, count)
			if !inLocal && !inAll || !usable(t) {
				continue
			}
			if inLocal {
				local = insertTop(local, r, localCandidates)
			}
			if inAll {
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

// nextProbeTargets returns the next targets to probe for the owner of a flow. While the
// search still queries agents, these are the targets whose agents have not seen all of
// their flows.
func (e *Engine) nextProbeTargets(s *search, flow segment.Flow, count int) []*Target {
	return slices.Clone(e.rank(flow, e.view.servicesOf(flow.Service), func(t *Target) bool {
		return t.Confirmed() && !s.excludes(t) && !slices.Contains(s.probed, t) && (s.stage == probing || !t.load.complete.Load())
	}, count))
}

// queryTargets returns the first targets whose agents are queried for a flow.
func (e *Engine) queryTargets(flow segment.Flow, count int) []*Target {
	return slices.Clone(e.rank(flow, e.view.servicesOf(flow.Service), func(t *Target) bool { return !t.Disowned() }, count))
}

// choose returns the least loaded of the candidates for a new flow, or nil. A target whose
// warm-up leaves no credit is chosen only if the others cannot be used.
func (e *Engine) choose(now time.Duration, service string, flow segment.Flow, excluded func(*Target) bool) *Target {
	usable := func(t *Target) bool { return t.acceptsFlows() && !excluded(t) }
	healthy := func(t *Target) bool { return usable(t) && !e.shouldAvoid(now, t) }
	passedOver := false
	credited := func(t *Target) bool {
		if !healthy(t) {
			return false
		}
		credit := t.hasCredit(now)
		passedOver = passedOver || !credit
		return credit
	}
	names := [1]string{service}
	list := e.rank(flow, names[:], credited, localCandidates+globalCandidates)
	if len(list) == 0 && passedOver {
		list = e.rank(flow, names[:], healthy, localCandidates+globalCandidates)
	}
	if len(list) == 0 {
		list = e.rank(flow, names[:], usable, localCandidates+globalCandidates)
	}
	var best *Target
	var bestCost float64
	mean := e.meanServiceTime(list)
	for _, t := range list {
		if cost := e.cost(now, t, mean); best == nil || cost < bestCost {
			best, bestCost = t, cost
		}
	}
	if best != nil && best.load.unresponsive.Load() {
		best.lastProbe = now
	}
	return best
}

// shouldAvoid reports whether a target should get no new flow while other targets can.
// The agent of a target that has never reported may not have started yet, or there may be
// none, which a doubt about the own link does not change.
// An unresponsive target still gets an opening at intervals, because only an opening
// shows that it has recovered.
func (e *Engine) shouldAvoid(now time.Duration, t *Target) bool {
	if t.load.unresponsive.Load() && now-max(t.lastProbe, time.Duration(t.load.unresponsiveSince.Load())) < unresponsiveProbeInterval {
		return true
	}
	return t.load.leaving.Load() || t.load.evacuated.Load() || !t.Reported() || t.Silent(now) && !e.linkDoubted
}

// expectsRefusal reports whether the last report of a target says that its agent refuses
// the opening of a verdict, even if the target has answered requests at its usual rate
// since.
func (e *Engine) expectsRefusal(now time.Duration, t *Target, v *Verdict) bool {
	pending := float64(t.load.pending.Load()) + sentWeight*float64(t.openingsSent)
	if service := time.Duration(t.load.serviceMicros.Load()) * time.Microsecond; service > 0 {
		pending -= t.slots() * float64(t.ReportAge(now)) / float64(service)
	}
	if pending < t.slots() {
		return false
	}
	return v.Late || v.Flow.Caller.Rank(e.period) >= math.Float64frombits(t.load.excludedRanks[v.Priority].Load())
}

// meanServiceTime returns the mean service time of targets in microseconds; 0 if none is
// known.
func (e *Engine) meanServiceTime(targets []*Target) float64 {
	sum, known := 0.0, 0
	for _, t := range targets {
		if service := t.load.serviceMicros.Load(); service > 0 {
			sum += float64(service)
			known++
		}
	}
	if known == 0 {
		return 0
	}
	return sum / float64(known)
}

// cost estimates the time to the completion of a new request at a target, in service
// times of the mean candidate, plus penalties in the same unit.
func (e *Engine) cost(now time.Duration, t *Target, meanService float64) float64 {
	t.countReports()
	pending := float64(t.load.pending.Load()) + sentWeight*float64(t.openingsSent)
	mean := float64(t.load.meanMilli.Load()) / 1000
	cost := (pending + meanWeight*mean) / t.slots()
	if service := t.load.serviceMicros.Load(); e.policy.ByServiceTime && service > 0 && meanService > 0 {
		cost *= float64(service) / meanService
	}
	cost += failingCost * float64(t.load.failingMilli.Load()) / 1000
	if t.Cold(now) {
		cost += coldCost
	}
	if t.Info.Zone != e.zone {
		cost += remoteCost
	}
	return cost
}
