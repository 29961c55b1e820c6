package confsync

import (
	"net/netip"
	"time"

	"github.com/peridotstall/peridotstall/internal/schema"
)

const (
	// joinPeers is the number of peers asked in one round.
	joinPeers = 5
	// joinResend repeats the question to peers that have not answered.
	joinResend = 300 * time.Millisecond
	// joinRound is the length of a round: three questions.
	joinRound = 900 * time.Millisecond
	// coldRounds in sequence, each to peers drawn anew, in which every peer
	// answered and none serves, mean that the whole fleet is starting. Only then
	// a read of the configuration service counts without a peer that serves.
	// Silence never does: behind a partition others may serve a higher revision
	// while the service is stale (model accept, SILENCE_IS_ANSWER).
	coldRounds = 3
	// joinBackoffMax limits the pause between rounds.
	joinBackoffMax = 10 * time.Second
)

type joinPhase int

const (
	asking joinPhase = iota
	pausing
	joined
)

// joinState is the state of a process that has to confirm its revision.
type joinState struct {
	phase joinPhase
	asked []netip.AddrPort
	// answers by peer; a peer that fails to deliver what it claims is removed.
	answers map[netip.AddrPort]*schema.RevisionNote
	failed  map[netip.AddrPort]bool
	rounds  int
	// cold counts rounds in sequence in which all answered and none serves.
	cold int
	// best is the highest claim of the last round.
	best uint64
	// byService is set when the service was read since joining started.
	byService bool
	resend    time.Time
	until     time.Time
	// held is the configuration of the service. It is offered to the store only
	// when the peers know nothing higher, because the service may be stale.
	held *schema.Config
}

func (s *Syncer) startJoin(now time.Time) {
	held := s.join.held
	s.join = joinState{held: held, failed: map[netip.AddrPort]bool{}}
	s.join.until = now
	s.join.phase = pausing
}

// tickJoin advances the questions to peers.
func (s *Syncer) tickJoin(now time.Time) []Action {
	j := &s.join
	switch {
	case j.phase == joined:
		return nil
	case j.phase == pausing && !now.Before(j.until):
		return s.startRound(now)
	case j.phase == asking && !now.Before(j.until):
		return s.endRound(now)
	case j.phase == asking && !now.Before(j.resend):
		j.resend = now.Add(joinResend)
		return s.askPeers()
	}
	return nil
}

func (s *Syncer) startRound(now time.Time) []Action {
	j := &s.join
	j.phase = asking
	j.answers = map[netip.AddrPort]*schema.RevisionNote{}
	j.asked = s.joinCandidates()
	j.resend = now.Add(joinResend)
	j.until = now.Add(joinRound)
	if len(j.asked) == 0 {
		return s.endRound(now)
	}
	return s.askPeers()
}

// joinCandidates draws peers from the settings and the host list.
func (s *Syncer) joinCandidates() []netip.AddrPort {
	out := s.randomPeers(joinPeers)
	for _, i := range s.rng.Perm(len(s.settings.Peers)) {
		peer := s.settings.Peers[i]
		if len(out) < joinPeers && !contains(out, peer) {
			out = append(out, peer)
		}
	}
	return out
}

func (s *Syncer) askPeers() []Action {
	var out []Action
	for _, peer := range s.join.asked {
		if s.join.answers[peer] == nil {
			out = append(out, s.note(peer, true))
		}
	}
	return out
}

// joinAnswer records the answer of a peer and ends the round when all answered.
func (s *Syncer) joinAnswer(now time.Time, from netip.AddrPort, n *schema.RevisionNote) []Action {
	j := &s.join
	if j.phase != asking || n.GetReply() || !contains(j.asked, from) {
		return nil
	}
	j.answers[from] = n
	if len(j.answers) < len(j.asked) {
		return nil
	}
	return s.endRound(now)
}

// endRound decides with the answers of the round.
func (s *Syncer) endRound(now time.Time) []Action {
	j := &s.join
	j.rounds++
	switch {
	case s.servingAnswer():
		j.cold = 0
	case len(j.asked) > 0 && len(j.answers) == len(j.asked):
		j.cold++
	}
	best, peer := s.bestAnswer()
	j.best = best
	var out []Action
	if best > s.Revision() {
		out = s.pull(now, &s.config, peer, best)
	} else {
		out = s.settle(now, best)
	}
	if j.phase != joined {
		j.phase = pausing
		j.until = now.Add(s.roundPause())
	}
	return out
}

// roundPause grows with the rounds that did not decide.
func (s *Syncer) roundPause() time.Duration {
	pause := joinResend << min(s.join.rounds, 6)
	pause = min(pause, joinBackoffMax)
	return pause/2 + s.jitter(pause/2)
}

// bestAnswer returns the highest claimed revision, the claim made by most
// peers among those with that revision, and a peer that made it.
func (s *Syncer) bestAnswer() (uint64, netip.AddrPort) {
	var best uint64
	var source netip.AddrPort
	votes := map[string]int{}
	for _, peer := range s.join.asked {
		n := s.join.answers[peer]
		if n == nil || s.join.failed[peer] || n.GetRevision() < best {
			continue
		}
		if n.GetRevision() > best {
			votes = map[string]int{}
			best, source = n.GetRevision(), peer
		}
		votes[string(n.GetDigest())]++
		if votes[string(n.GetDigest())] > votes[string(s.join.answers[source].GetDigest())] {
			source = peer
		}
	}
	return best, source
}

// servingAnswer reports whether a peer that serves answered in this round.
func (s *Syncer) servingAnswer() bool {
	for _, n := range s.join.answers {
		if n.GetServing() {
			return true
		}
	}
	return false
}

// settle ends joining when the own revision, or that of the service, is not
// below what the peers know. That needs the word of a peer that serves, or
// that no other process serves.
func (s *Syncer) settle(now time.Time, best uint64) []Action {
	j := &s.join
	// Without a host list the process does not know whether it has peers, and
	// waits for it.
	nobody := (len(j.asked) == 0 && s.hosts != nil) || j.cold >= coldRounds
	if !s.servingAnswer() && !nobody {
		return nil
	}
	var out []Action
	if j.held != nil && j.held.GetRevision() >= max(best, s.Revision()) {
		held := j.held
		j.held = nil
		out = s.offerConfig(now, held, sourceService, netip.AddrPort{})
	}
	confirmed := best > 0 || j.byService
	if s.Revision() == 0 || s.Revision() < best || !confirmed {
		return out
	}
	return append(out, s.completeJoin(now)...)
}

// completeJoin ends joining.
func (s *Syncer) completeJoin(now time.Time) []Action {
	s.join.phase = joined
	s.join.held = nil
	s.nextExchange = now.Add(s.jitter(exchangeEvery))
	return []Action{Ready{}}
}

// joinNeedsService reports whether only the service can help: the peers asked
// last had no configuration or did not answer.
func (s *Syncer) joinNeedsService() bool {
	return s.join.phase != joined && s.join.rounds > 0 && s.join.best == 0
}
