package request

import "time"

const (
	// budgetSeconds is the period over which base load and retries are counted.
	budgetSeconds = 10
	// retryShare is the share of the base load that retries may add.
	retryShare = 0.2
	// retryFloor is the number of retries a second that are always allowed.
	retryFloor = 1
)

// budget limits retries, so that a fleet that refuses work is not asked for
// more of it by the refusals.
type budget struct {
	base, retries [budgetSeconds]int
	second        int64
}

// advance clears the counts of the seconds that left the period.
func (b *budget) advance(now time.Time) {
	second := now.Unix()
	steps := min(second-b.second, budgetSeconds)
	for i := range max(steps, 0) {
		slot := (second - i) % budgetSeconds
		b.base[slot] = 0
		b.retries[slot] = 0
	}
	b.second = max(second, b.second)
}

// attempt counts a first attempt.
func (b *budget) attempt(now time.Time) {
	b.advance(now)
	b.base[b.second%budgetSeconds]++
}

// retry reports whether a retry is within the budget, and counts it if so.
func (b *budget) retry(now time.Time) bool {
	b.advance(now)
	base, retries := 0, 0
	for i := range b.base {
		base += b.base[i]
		retries += b.retries[i]
	}
	limit := max(retryShare*float64(base), retryFloor*budgetSeconds)
	if float64(retries+1) > limit {
		return false
	}
	b.retries[b.second%budgetSeconds]++
	return true
}
