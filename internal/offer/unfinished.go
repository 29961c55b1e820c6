package offer

// Unfinished returns the number of requests that a graceful stop waits for:
// those that began to arrive, wait or run, and answers that the caller may
// still be fetching. A caller that is gone does not hold the stop up, since an
// answer counts only until its last repetition.
func (m *Machine) Unfinished() int {
	count := 0
	for _, r := range m.records {
		if r.unfinished() {
			count++
		}
	}
	return count
}

func (r *record) unfinished() bool {
	switch r.state {
	case stateAssembling, stateQueued, stateRunning:
		return true
	case stateEnded:
		return r.atBack || r.answer != nil && r.answer.Rounds() < maxAnswerRounds
	default:
		return false
	}
}
