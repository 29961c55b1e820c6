package peers

import (
	"fmt"
	"net/netip"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// fleet plays balancers that exchange digests without loss.
type fleet struct {
	c       *qt.C
	now     time.Duration
	sets    map[netip.AddrPort]*Set
	down    map[netip.AddrPort]bool
	blind   map[netip.AddrPort]bool
	reading map[netip.AddrPort]bool
}

func address(i int) netip.AddrPort {
	return netip.MustParseAddrPort(fmt.Sprintf("10.0.%d.%d:7000", i/250, i%250+1))
}

func newFleet(t *testing.T, count int) *fleet {
	f := &fleet{c: qt.New(t), sets: make(map[netip.AddrPort]*Set), down: make(map[netip.AddrPort]bool),
		blind: make(map[netip.AddrPort]bool), reading: make(map[netip.AddrPort]bool)}
	for i := range count {
		f.sets[address(i)] = New(0, Self{Address: address(i)}, []netip.AddrPort{address(0), address(1)})
	}
	return f
}

// run lets time pass in steps of 50 ms. Readers get an answer in each step
// unless they are blind.
func (f *fleet) run(d time.Duration) {
	for end := f.now + d; f.now < end; f.now += 50 * time.Millisecond {
		for self, s := range f.sets {
			if f.down[self] {
				continue
			}
			f.reading[self] = s.ShouldRead(f.now)
			switch {
			case f.reading[self] && f.blind[self]:
				s.Failed()
			case f.reading[self]:
				s.Answered(f.now)
			default:
				s.Stopped()
			}
			for _, to := range s.Due(f.now, false) {
				if other := f.sets[to]; other != nil && !f.down[to] {
					other.Hear(f.now, self, s.Digest(f.now, 1, 0, 0))
				}
			}
		}
	}
}

func (f *fleet) readers() int {
	n := 0
	for self, reads := range f.reading {
		if reads && !f.down[self] && !f.blind[self] {
			n++
		}
	}
	return n
}

func (f *fleet) reader() netip.AddrPort {
	for self, reads := range f.reading {
		if reads && !f.down[self] && !f.blind[self] {
			return self
		}
	}
	return netip.AddrPort{}
}

// Guards against calls to the store that grow with the fleet, and against a
// fleet in which nobody reads.
func TestOneReader(t *testing.T) {
	for _, count := range []int{1, 2, 4, 24} {
		f := newFleet(t, count)
		f.run(5 * time.Second)
		f.c.Check(f.readers(), qt.Equals, 1, qt.Commentf("%d balancers", count))
		for _, s := range f.sets {
			f.c.Check(s.Fresh(f.now), qt.IsTrue)
		}
	}
}

// Guards against knowledge that ages when the reader dies or loses the store:
// another one reads well within the time for a change, 3 s.
func TestReaderIsReplaced(t *testing.T) {
	for _, kind := range []string{"down", "blind"} {
		f := newFleet(t, 4)
		f.run(5 * time.Second)
		old := f.reader()
		if kind == "down" {
			f.down[old] = true
		} else {
			f.blind[old] = true
		}
		f.run(2 * time.Second)
		f.c.Check(f.readers(), qt.Equals, 1, qt.Commentf(kind))
		f.c.Check(f.reader(), qt.Not(qt.Equals), old)
		for self, s := range f.sets {
			f.c.Check(f.down[self] || s.Fresh(f.now), qt.IsTrue, qt.Commentf(kind))
		}
	}
}

// Guards against knowledge that counts as confirmed while the store is away.
func TestStaleWithoutStore(t *testing.T) {
	f := newFleet(t, 3)
	f.run(3 * time.Second)
	for self := range f.sets {
		f.blind[self] = true
	}
	f.run(2 * time.Second)
	for _, s := range f.sets {
		f.c.Check(s.Fresh(f.now), qt.IsFalse)
	}
}

// Guards against balancers that are unknown to each other because the seeds
// name only a few, wrong or dead ones, and against lost ones that stay.
func TestPeersAreFound(t *testing.T) {
	f := newFleet(t, 6)
	f.run(4 * time.Second)
	for _, s := range f.sets {
		f.c.Check(s.Live(f.now), qt.HasLen, 5)
	}
	f.down[address(0)] = true
	f.run(3 * time.Second)
	for self, s := range f.sets {
		if !f.down[self] {
			f.c.Check(s.Live(f.now), qt.HasLen, 4)
			f.c.Check(slices.Equal(s.Lost(f.now), []netip.AddrPort{address(0)}), qt.IsTrue)
			f.c.Check(s.Lost(f.now), qt.HasLen, 0)
		}
	}
	f.down[address(0)] = false
	f.run(3 * time.Second)
	for _, s := range f.sets {
		f.c.Check(s.Live(f.now), qt.HasLen, 5)
	}
}

// Guards against control traffic that grows with the square of the fleet.
func TestDigestsAreBounded(t *testing.T) {
	c := qt.New(t)
	s := New(0, Self{Address: address(0)}, nil)
	for i := 1; i <= 200; i++ {
		s.Hear(0, address(i), Digest{})
	}
	c.Check(len(s.Due(DigestInterval, true)), qt.Equals, fanout)
	c.Check(len(s.Digest(DigestInterval, 1, 0, 0).Peers) <= maxNamed, qt.IsTrue)
}

// Guards against pulls from a peer that knows nothing new or failed to answer.
func TestNewer(t *testing.T) {
	c := qt.New(t)
	s := New(0, Self{Address: address(0)}, nil)
	s.Hear(0, address(1), Digest{Routes: 4, Targets: 9})
	_, found := s.Newer(0, 4, 9)
	c.Check(found, qt.IsFalse)
	s.Hear(0, address(2), Digest{Routes: 5, Targets: 9, Reading: true})
	s.Hear(0, address(3), Digest{Routes: 5, Targets: 9})
	from, found := s.Newer(0, 4, 9)
	c.Check(found, qt.IsTrue)
	c.Check(from, qt.Equals, address(2))
	s.PullFailed(address(2))
	from, _ = s.Newer(0, 4, 9)
	c.Check(from, qt.Equals, address(3))
}

// Guards against small balancers that limit what the zone can forward, against a
// zone with fewer than half of its balancers in rotation, and against one that
// stays out when it is needed.
func TestInRotation(t *testing.T) {
	tests := []struct {
		name       string
		capacities []uint32
		// dead and leaving balancers, by their place.
		dead, leaving []int
		want          []int
	}{
		{"equal", []uint32{5, 5, 5}, nil, nil, []int{0, 1, 2}},
		{"small ones stay out", []uint32{200, 200, 28, 10, 10}, nil, nil, []int{0, 1, 2}},
		{"at least half", []uint32{200, 10, 10, 10}, nil, nil, []int{0, 1, 2, 3}},
		{"half of six", []uint32{200, 200, 28, 10, 10, 10}, nil, nil, []int{0, 1, 2}},
		{"large one dead", []uint32{200, 200, 28, 10, 10}, []int{1}, nil, []int{0, 2, 3, 4}},
		{"large one leaves", []uint32{200, 200, 28, 20, 10}, nil, []int{0}, []int{1, 2, 3}},
		{"alone", []uint32{10}, nil, nil, []int{0}},
		{"unknown capacity", []uint32{0, 0}, nil, nil, []int{0, 1}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			now := time.Minute
			var got []int
			for self, capacity := range test.capacities {
				s := New(0, Self{address(self), "a", capacity}, nil)
				for i, other := range test.capacities {
					heard := now
					if slices.Contains(test.dead, i) {
						heard = now - 2*liveFor
					}
					s.Hear(heard, address(i), Digest{Zone: "a", Capacity: other, Serving: true, Leaving: slices.Contains(test.leaving, i)})
				}
				s.Hear(now, address(100), Digest{Zone: "b", Capacity: 1000, Serving: true})
				if slices.Contains(test.leaving, self) {
					s.Leave()
				}
				if s.InRotation(now) && !slices.Contains(test.dead, self) {
					got = append(got, self)
				}
			}
			c.Check(got, qt.DeepEquals, test.want)
		})
	}
}

// Guards against a small balancer that steps in because a larger one, whose link
// is full, was not heard for a moment (scale-2 of ssa-subastas-grown).
func TestRotationOutlastsLostDigests(t *testing.T) {
	c := qt.New(t)
	s := New(0, Self{address(3), "a", 10}, nil)
	for i, capacity := range []uint32{200, 200, 28} {
		s.Hear(time.Minute, address(i), Digest{Zone: "a", Capacity: capacity, Serving: true})
	}
	s.Hear(time.Minute, address(4), Digest{Zone: "a", Capacity: 10, Serving: true})
	s.Hear(time.Minute, address(5), Digest{Zone: "a", Capacity: 10, Serving: true})
	c.Check(s.InRotation(time.Minute+liveFor+500*time.Millisecond), qt.IsFalse)
}

// Guards against callers that are sent on to balancers which are no larger, or to
// so few that their tries come back.
func TestRelief(t *testing.T) {
	tests := []struct {
		name   string
		own    uint32
		others []uint32
		want   bool
	}{
		{"alone", 10, nil, false},
		{"equal ones", 10, []uint32{10, 10}, false},
		{"larger ones", 28, []uint32{200, 200, 10, 10, 10}, true},
		{"one of two", 20, []uint32{200}, true},
		{"too few", 50, []uint32{200, 50, 50}, false},
		{"not large enough", 60, []uint32{200, 200}, false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			s := New(0, Self{address(9), "a", test.own}, nil)
			for i, capacity := range test.others {
				s.Hear(time.Minute, address(i), Digest{Zone: "a", Capacity: capacity, Serving: true})
			}
			qt.New(t).Check(s.Relief(time.Minute), qt.Equals, test.want)
		})
	}
}
