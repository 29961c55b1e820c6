package peers

import (
	"cmp"
	"net/netip"
	"slices"
	"time"
)

// member is a balancer of the own zone.
type member struct {
	address  netip.AddrPort
	capacity uint32
}

// rotationLife is the time without a digest after which a balancer no longer
// counts for the rotation. It is longer than the one for other decisions: on a
// full link several digests are lost in a row, and a small balancer that steps in
// makes that worse.
const rotationLife = 2 * liveFor

// reliefFactor is the least ratio of capacities at which a balancer relieves a
// smaller one.
const reliefFactor = 4

// InRotation reports whether this balancer should take traffic. The fabric gives
// every balancer of a zone in rotation the same share, whatever its size, so
// that a small one limits them all. The balancers of a zone therefore leave the
// small ones out if the rest can forward more together. At least half of those
// that the zone has stay, because below that the fabric uses all, dead ones too.
func (s *Set) InRotation(now time.Duration) bool {
	return slices.ContainsFunc(s.rotation(now), func(m member) bool { return m.address == s.self })
}

// Relief reports whether at least half of the balancers in rotation are so much
// larger than this one that they should carry what its link cannot. A caller
// whose opening is turned away reaches one of them with its next tries.
func (s *Set) Relief(now time.Duration) bool {
	chosen := s.rotation(now)
	larger := 0
	for _, m := range chosen {
		if m.capacity/reliefFactor >= s.own.Capacity {
			larger++
		}
	}
	return larger > 0 && 2*larger >= len(chosen)
}

// rotation returns the balancers of the zone that should take traffic.
func (s *Set) rotation(now time.Duration) []member {
	if s.leaving {
		return nil
	}
	usable := []member{{s.self, s.own.Capacity}}
	total := 1
	for address, p := range s.peers {
		if !p.ever || p.digest.Zone != s.own.Zone {
			continue
		}
		total++
		if now-p.heard < rotationLife && p.digest.Serving && !p.digest.Leaving {
			usable = append(usable, member{address, p.digest.Capacity})
		}
	}
	slices.SortFunc(usable, func(a, b member) int {
		return cmp.Or(cmp.Compare(b.capacity, a.capacity), a.address.Compare(b.address))
	})
	chosen := len(usable)
	best := uint64(0)
	for count := len(usable); count >= min((total+1)/2, len(usable)); count-- {
		if together := uint64(count) * uint64(usable[count-1].capacity); together > best {
			best, chosen = together, count
		}
	}
	return usable[:chosen]
}
