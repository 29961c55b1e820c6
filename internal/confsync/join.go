package confsync

import (
	"net/netip"
	"time"

	"github.com/peridotstall/peridotstall/internal/schema"
)

const (
	// joinPeers is the number of peers queried in one round.
	joinPeers = 5
	// joinResendInterval is the time after which a query is repeated to peers
	// that have not replied.
	joinResendInterval = 300 * time.Millisecond
	// joinRoundTimeout is the length of a round; it allows three queries.
	joinRoundTimeout = 900 * time.Millisecond
	// coldStartRounds is the number of consecutive rounds, each with newly drawn
	// peers, in which every peer must reply and none serves, for the whole fleet
	// to count as starting. Only then is a read of the configuration service
	// sufficient without a serving peer. A missing reply never counts: behind a
	// partition other processes may serve a higher revision while the service is
	// stale (model accept, SILENCE_IS_ANSWER).
	coldStartRounds = 3
	// joinBackoffMax bounds the pause between rounds.
	joinBackoffMax = 10 * time.Second
)

type joinPhase int

const (
	joinQuerying joinPhase = iota
	joinPausing
	joinDone
)

// joinState is the state of a process that has to confirm its revision.
type joinState struct {
	phase   joinPhase
	queried []netip.AddrPort
	// replies holds the replies by peer.
	replies map[netip.AddrPort]*schema.RevisionNote
	// failed holds the peers that did not deliver the revision they reported;
	// their replies do not count.
	failed map[netip.AddrPort]bool
	rounds int
	// coldRounds counts consecutive rounds in which all peers replied and none
	// serves.
	coldRounds int
	// best is the highest revision reported in the last round.
	best uint64
	// serviceRead is set when the service was read since joining started.
	serviceRead bool
	resendAt    time.Time
	deadline    time.Time
	// serviceConfig is the configuration read from the service. It is offered to
	// the store only when no peer reports a higher revision, because the service
	// may be stale.
	serviceConfig *schema.Config
}

func (s *Syncer) startJoin(now time.Time) {
	c := s.join.serviceConfig
	s.join = joinState{serviceConfig: c, failed: map[netip.AddrPort]bool{}}
	s.join.deadline = now
	s.join.phase = joinPausing
}

// tickJoin starts, repeats and ends the rounds of queries to peers.
func (s *Syncer) tickJoin(now time.Time) []Action {
	j := &s.join
	switch {
	case j.phase == joinDone:
		return nil
	case j.phase == joinPausing && !now.Before(j.deadline):
		return s.startRound(now)
	case j.phase == joinQuerying && !now.Before(j.deadline):
		return s.endRound(now)
	case j.phase == joinQuerying && !now.Before(j.resendAt):
		j.resendAt = now.Add(joinResendInterval)
		return s.queryPeers()
	}
	return nil
}

func (s *Syncer) startRound(now time.Time) []Action {
	j := &s.join
	j.phase = joinQuerying
	j.replies = map[netip.AddrPort]*schema.RevisionNote{}
	j.queried = s.joinCandidates()
	j.resendAt = now.Add(joinResendInterval)
	j.deadline = now.Add(joinRoundTimeout)
	if len(j.queried) == 0 {
		return s.endRound(now)
	}
	return s.queryPeers()
}

// joinCandidates draws peers from the host list and the settings.
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

func (s *Syncer) queryPeers() []Action {
	var out []Action
	for _, peer := range s.join.queried {
		if s.join.replies[peer] == nil {
			out = append(out, s.revisionNote(peer, true))
		}
	}
	return out
}

// recordJoinReply records the reply of a peer and ends the round once all peers
// have replied.
func (s *Syncer) recordJoinReply(now time.Time, from netip.AddrPort, n *schema.RevisionNote) []Action {
	j := &s.join
	if j.phase != joinQuerying || n.GetReply() || !contains(j.queried, from) {
		return nil
	}
	j.replies[from] = n
	if len(j.replies) < len(j.queried) {
		return nil
	}
	return s.endRound(now)
}

// endRound evaluates the replies of the round.
func (s *Syncer) endRound(now time.Time) []Action {
	j := &s.join
	j.rounds++
	switch {
	case s.servingReply():
		j.coldRounds = 0
	case len(j.queried) > 0 && len(j.replies) == len(j.queried):
		j.coldRounds++
	}
	best, peer := s.bestReply()
	j.best = best
	var out []Action
	if best > s.Revision() {
		out = s.pull(now, &s.config, peer, best)
	} else {
		out = s.tryCompleteJoin(now, best)
	}
	if j.phase != joinDone {
		j.phase = joinPausing
		j.deadline = now.Add(s.roundPause())
	}
	return out
}

// roundPause returns a random pause that grows with the number of rounds.
func (s *Syncer) roundPause() time.Duration {
	pause := joinResendInterval << min(s.join.rounds, 6)
	pause = min(pause, joinBackoffMax)
	return pause/2 + s.jitter(pause/2)
}

// bestReply returns the highest reported revision and a peer that reported it.
// If the peers with that revision report different digests, the peer is one with
// the most frequent digest.
func (s *Syncer) bestReply() (uint64, netip.AddrPort) {
	var best uint64
	var source netip.AddrPort
	votes := map[string]int{}
	for _, peer := range s.join.queried {
		n := s.join.replies[peer]
		if n == nil || s.join.failed[peer] || n.GetRevision() < best {
			continue
		}
		if n.GetRevision() > best {
			votes = map[string]int{}
			best, source = n.GetRevision(), peer
		}
		votes[string(n.GetDigest())]++
		if votes[string(n.GetDigest())] > votes[string(s.join.replies[source].GetDigest())] {
			source = peer
		}
	}
	return best, source
}

// servingReply reports whether a serving peer replied in this round.
func (s *Syncer) servingReply() bool {
	for _, n := range s.join.replies {
		if n.GetServing() {
			return true
		}
	}
	return false
}

// tryCompleteJoin ends joining when the local revision, or that of the service, is
// not below the highest revision of the peers. This requires a reply from a
// serving peer, or that no other process serves.
func (s *Syncer) tryCompleteJoin(now time.Time, best uint64) []Action {
	j := &s.join
	// Without a host list the process cannot tell whether it has peers, and waits
	// for the list.
	noPeerServes := (len(j.queried) == 0 && s.hosts != nil) || j.coldRounds >= coldStartRounds
	if !s.servingReply() && !noPeerServes {
		return nil
	}
	var out []Action
	if j.serviceConfig != nil && j.serviceConfig.GetRevision() >= max(best, s.Revision()) {
		c := j.serviceConfig
		j.serviceConfig = nil
		out = s.offerConfig(now, c, originService, netip.AddrPort{})
	}
	confirmed := best > 0 || j.serviceRead
	if s.Revision() == 0 || s.Revision() < best || !confirmed {
		return out
	}
	return append(out, s.completeJoin(now)...)
}

func (s *Syncer) completeJoin(now time.Time) []Action {
	s.join.phase = joinDone
	s.join.serviceConfig = nil
	s.nextExchange = now.Add(s.jitter(exchangeInterval))
	return []Action{Ready{}}
}

// joinNeedsService reports whether joining depends on the service: in the last
// round no peer reported a configuration.
func (s *Syncer) joinNeedsService() bool {
	return s.join.phase != joinDone && s.join.rounds > 0 && s.join.best == 0
}
