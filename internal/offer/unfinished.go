package offer

import "time"

// Unfinished returns the number of requests for which a graceful stop waits:
// requests that are being assembled, queued or running, answers that the caller
// may still be fetching, and withdrawn offers whose callers may still send their
// requests, which then get the outcome that they were not run. A caller that has
// disappeared does not delay the stop indefinitely: an answer counts until its
// last retransmission, a withdrawn offer for OfferTTL.
func (m *Machine) Unfinished(now time.Time) int {
	count := 0
	for _, r := range m.records {
		if r.unfinished(now) {
			count++
		}
	}
	return count
}

func (r *record) unfinished(now time.Time) bool {
	switch r.state {
	case stateAssembling, stateQueued, stateRunning:
		return true
	case stateEnded:
		return r.atBackend || now.Before(r.withdrawnUntil) || r.answer != nil && r.answer.Timeouts() < maxAnswerTimeouts
	default:
		return false
	}
}
