package reports

import "time"

const (
	// roundInterval is the time between two rounds of pings: a third of
	// steering.ReportTimeout, after which a target counts as silent.
	roundInterval = 300 * time.Millisecond
	// roundsPerPing and roundsPerIdlePing are the numbers of rounds in which each agent
	// gets a ping from a balancer that gets callers' segments and from an idle one.
	roundsPerPing, roundsPerIdlePing = 3, 6
	// roundsPerDescription is the number of rounds between two in which all pings describe
	// the target to its agent: 3 s, because the description rarely changes.
	roundsPerDescription = 10
)

// Pings decides when a balancer pings which agent.
type Pings struct {
	wanted time.Duration
	last   time.Duration
	round  int
}

// NewPings returns the pings of a balancer that has just started.
func NewPings() Pings { return Pings{wanted: ActiveInterval} }

// Wanted returns the longest time between two reports that pings request.
func (p *Pings) Wanted() time.Duration { return p.wanted }

// Round returns the round of pings that is due now, if there is one. A balancer whose last
// segment from a caller, at lastSegment, ended an idle time does not wait for the next one.
func (p *Pings) Round(now, lastSegment time.Duration) (Round, bool) {
	wanted := WantedInterval(now, lastSegment)
	becameActive := wanted < p.wanted
	if now-p.last < roundInterval && !becameActive {
		return Round{}, false
	}
	p.last, p.wanted = now, wanted
	p.round++
	rounds := roundsPerPing
	if wanted == IdleInterval {
		rounds = roundsPerIdlePing
	}
	describe := p.round%roundsPerDescription == 0
	return Round{Describe: describe, Wanted: wanted, all: describe || becameActive, number: p.round, rounds: rounds}, true
}

// Round selects the agents that get a ping.
type Round struct {
	// Describe is set if all pings describe the target to its agent.
	Describe bool
	// Wanted is the longest time between two reports that the pings request.
	Wanted time.Duration

	all            bool
	number, rounds int
}

// Overdue reports whether the last report of an agent is overdue.
func (r Round) Overdue(reportAge time.Duration) bool { return reportAge > 2*r.Wanted }

// Includes reports whether the agent of a target is pinged. The host number spreads the
// agents over the rounds; an agent whose last report is overdue is pinged in each round, so
// that one that restarts learns of the balancer at once.
func (r Round) Includes(hostNumber uint32, reportAge time.Duration) bool {
	return r.all || r.Overdue(reportAge) || (uint32(r.number)+hostNumber)%uint32(r.rounds) == 0
}
