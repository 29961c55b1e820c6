// Package reports decides when an agent reports the load of its target to which balancer,
// and when a balancer pings which agent. It does no I/O and is not safe for
// concurrent use; times are monotonic times since the start of the process.
package reports

import "time"

const (
	// ActiveInterval is the longest time between two reports to a balancer that gets
	// callers' segments.
	ActiveInterval = 200 * time.Millisecond
	// IdleInterval is the longest time between two reports to a balancer that gets none,
	// for example because it is not in rotation.
	IdleInterval = 2 * time.Second
	// activeTTL is the time after the last segment, or the start, for which a balancer
	// counts as active.
	activeTTL = 5 * time.Second
	// reportsPerSecond bounds the reports of an agent to all active balancers together.
	reportsPerSecond = 160
	// maxActiveInterval bounds the time between two reports to an active balancer when
	// there are many: a third of steering.ReportTimeout.
	maxActiveInterval = 300 * time.Millisecond
	// subscriptionTTL is how long a balancer gets reports after its last ping: three lost
	// pings of an idle balancer.
	subscriptionTTL = 6 * time.Second
)

// WantedInterval returns the longest time between two reports that a balancer wants, whose
// last segment from a caller arrived at lastSegment; 0 if none has.
func WantedInterval(now, lastSegment time.Duration) time.Duration {
	if now-lastSegment < activeTTL {
		return ActiveInterval
	}
	return IdleInterval
}

// subscription is a balancer that gets reports.
type subscription struct {
	interval, lastPing time.Duration
	// lastReport is the time of the last report, pending the load in it; reported is set
	// after the first one.
	lastReport time.Duration
	pending    uint32
	reported   bool
}

func (s *subscription) active() bool { return s.interval <= maxActiveInterval }

// Schedule holds the balancers that get reports of an agent, by their index.
type Schedule struct {
	subscriptions map[uint8]*subscription
}

// NewSchedule returns a schedule without balancers.
func NewSchedule() *Schedule { return &Schedule{subscriptions: make(map[uint8]*subscription)} }

// Ping records a ping of a balancer that wants a report in each interval. An interval of 0
// stands for ActiveInterval; others are brought between that and IdleInterval.
func (s *Schedule) Ping(now time.Duration, balancer uint8, interval time.Duration) {
	sub := s.subscriptions[balancer]
	if sub == nil {
		sub = &subscription{}
		s.subscriptions[balancer] = sub
	}
	sub.interval, sub.lastPing = min(max(interval, ActiveInterval), IdleInterval), now
}

// Forget removes a balancer whose index is given to another one.
func (s *Schedule) Forget(balancer uint8) { delete(s.subscriptions, balancer) }

// Due returns the balancers that get a report now. An active one gets it when the number of
// pending requests differs from that in its last report, as often as reportsPerSecond
// allows. Urgent reports go to all.
func (s *Schedule) Due(now time.Duration, pending uint32, urgent bool) []uint8 {
	active := 0
	for balancer, sub := range s.subscriptions {
		if now-sub.lastPing >= subscriptionTTL {
			delete(s.subscriptions, balancer)
		} else if sub.active() {
			active++
		}
	}
	spacing := time.Duration(active) * time.Second / reportsPerSecond
	var due []uint8
	for balancer, sub := range s.subscriptions {
		if !urgent && !sub.due(now, pending, spacing) {
			continue
		}
		sub.lastReport, sub.pending, sub.reported = now, pending, true
		due = append(due, balancer)
	}
	return due
}

func (s *subscription) due(now time.Duration, pending uint32, spacing time.Duration) bool {
	age := now - s.lastReport
	switch {
	case !s.reported:
		return true
	case !s.active():
		return age >= s.interval
	case pending != s.pending && age >= spacing:
		return true
	}
	return age >= min(max(s.interval, spacing), maxActiveInterval)
}
