package warmup

import "time"

// grantTime is the time for which a balancer may use the credit of a report: it gets the
// next one by then.
const grantTime = 300 * time.Millisecond

// grants holds the credit that was reported to balancers and is neither used nor over.
type grants []grant

type grant struct {
	at    time.Duration
	count int
}

// outstanding returns the number of openings that balancers may still send.
func (g *grants) outstanding(now time.Duration) int {
	for len(*g) > 0 && now-(*g)[0].at >= grantTime {
		*g = (*g)[1:]
	}
	sum := 0
	for _, grant := range *g {
		sum += grant.count
	}
	return sum
}

// use records that an opening was taken.
func (g *grants) use() {
	if len(*g) == 0 {
		return
	}
	if (*g)[0].count--; (*g)[0].count == 0 {
		*g = (*g)[1:]
	}
}

// Share divides the credit among the balancers that get a report now: each gets the first
// number, and as many as the second one more by one. What other balancers have been given is
// not given out again until they have had the time to use it.
func (l *Limiter) Share(now time.Duration, balancers int) (each, more int) {
	left, cold := l.Credit(now)
	left -= l.grants.outstanding(now)
	if !cold || balancers == 0 || left <= 0 {
		return 0, 0
	}
	l.grants = append(l.grants, grant{now, left})
	return left / balancers, left % balancers
}
