package offer

import "time"

// Unfinished returns the number of requests that a graceful stop waits for:
// those that began to arrive, wait or run, answers that the caller may still be
// fetching, and withdrawn offers whose callers may be sending their requests and
// would never learn that they do not run. A caller that is gone does not hold the
// stop up: an answer counts until its last repetition, an offer for its lifetime.
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
		return r.atBack || now.Before(r.tell) || r.answer != nil && r.answer.Rounds() < maxAnswerRounds
	default:
		return false
	}
}
