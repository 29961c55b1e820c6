package request

import "time"

const (
	// retryBudgetWindowSeconds is the window over which first attempts and retries
	// are counted.
	retryBudgetWindowSeconds = 10
	// maxRetryRatio is the maximum ratio of retries to first attempts.
	maxRetryRatio = 0.2
	// minRetriesPerSecond is the rate of retries that is always allowed.
	minRetriesPerSecond = 1
)

// retryBudget limits retries, so that retries do not add to an overload of the
// targets that refuse requests.
type retryBudget struct {
	attempts, retries [retryBudgetWindowSeconds]int
	second            int64
}

// advance clears the counts of the seconds that left the window.
func (b *retryBudget) advance(now time.Time) {
	second := now.Unix()
	elapsed := min(second-b.second, retryBudgetWindowSeconds)
	for i := range max(elapsed, 0) {
		bucket := (second - i) % retryBudgetWindowSeconds
		b.attempts[bucket] = 0
		b.retries[bucket] = 0
	}
	b.second = max(second, b.second)
}

// countAttempt counts a first attempt.
func (b *retryBudget) countAttempt(now time.Time) {
	b.advance(now)
	b.attempts[b.second%retryBudgetWindowSeconds]++
}

// allowRetry reports whether a retry is within the budget, and counts it if so.
func (b *retryBudget) allowRetry(now time.Time) bool {
	b.advance(now)
	attempts, retries := 0, 0
	for i := range b.attempts {
		attempts += b.attempts[i]
		retries += b.retries[i]
	}
	limit := max(maxRetryRatio*float64(attempts), minRetriesPerSecond*retryBudgetWindowSeconds)
	if float64(retries+1) > limit {
		return false
	}
	b.retries[b.second%retryBudgetWindowSeconds]++
	return true
}
