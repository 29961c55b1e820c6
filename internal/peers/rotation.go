package peers

import (
	"cmp"
	"net/netip"
	"slices"
	"time"
)

// rotationCandidate is a balancer of the own zone.
type rotationCandidate struct {
	address  netip.AddrPort
	capacity uint32
}

// rotationIntervals is the number of intervals without a digest after which a balancer
// no longer counts for the rotation. It exceeds timeoutIntervals: a full link loses
// several digests in a row, and a small balancer that joins the rotation adds
// to the congestion.
const rotationIntervals = 2 * timeoutIntervals

// divertFactor is the minimum ratio of capacities at which openings are
// diverted from a balancer to a larger one.
const divertFactor = 4

// divertFullFactor is that ratio for openings that come while the link is full.
const divertFullFactor = 2

// InRotation reports whether this balancer should take traffic. The fabric
// gives every balancer of a zone in rotation the same share, so the smallest
// one limits the throughput of the zone. Small balancers therefore stay out of
// rotation if the remaining ones can forward more in total. At least half of
// the zone's balancers stay in rotation, because below that the fabric uses all
// of them, dead ones included.
func (s *Set) InRotation(now time.Duration) bool {
	return slices.ContainsFunc(s.rotation(now), func(m rotationCandidate) bool { return m.address == s.address })
}

// ShouldDivert reports whether openings that exceed the link of this balancer
// should be diverted: at least half of the balancers in rotation are larger by
// divertFactor, so that the next attempts of a caller reach one of them.
func (s *Set) ShouldDivert(now time.Duration) bool {
	larger, all := s.larger(now, divertFactor)
	return larger > 0 && 2*larger >= all
}

// ShouldDivertFull reports whether openings should be diverted while the link of this
// balancer is full: at least a third of the balancers in rotation are larger by
// divertFullFactor.
func (s *Set) ShouldDivertFull(now time.Duration) bool {
	larger, all := s.larger(now, divertFullFactor)
	return larger > 0 && 3*larger >= all
}

// larger returns the number of balancers in rotation that are larger than this one by a
// factor, and that of all in rotation.
func (s *Set) larger(now time.Duration, factor uint32) (larger, all int) {
	chosen := s.rotation(now)
	for _, m := range chosen {
		if m.capacity/factor >= s.self.Capacity {
			larger++
		}
	}
	return larger, len(chosen)
}

// rotation returns the balancers of the zone that should take traffic.
func (s *Set) rotation(now time.Duration) []rotationCandidate {
	if s.leaving {
		return nil
	}
	usable := []rotationCandidate{{s.address, s.self.Capacity}}
	total := 1
	for address, p := range s.peers {
		if !p.seen || p.digest.Zone != s.self.Zone {
			continue
		}
		total++
		if now-p.lastSeen < rotationIntervals*s.interval(p) && p.digest.Serving && !p.digest.Leaving {
			usable = append(usable, rotationCandidate{address, p.digest.Capacity})
		}
	}
	slices.SortFunc(usable, func(a, b rotationCandidate) int {
		return cmp.Or(cmp.Compare(b.capacity, a.capacity), a.address.Compare(b.address))
	})
	chosen := len(usable)
	bestThroughput := uint64(0)
	for count := len(usable); count >= min((total+1)/2, len(usable)); count-- {
		if throughput := uint64(count) * uint64(usable[count-1].capacity); throughput > bestThroughput {
			bestThroughput, chosen = throughput, count
		}
	}
	return usable[:chosen]
}
