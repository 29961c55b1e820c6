package peers

import (
	"fmt"
	"net/netip"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/peridotstall/peridotstall/internal/registry"
)

// fleet simulates balancers that exchange digests without loss.
type fleet struct {
	c   *qt.C
	now time.Duration
	// order lists the balancers in the order in which they act.
	order     []netip.AddrPort
	sets      map[netip.AddrPort]*Set
	down      map[netip.AddrPort]bool
	storeDown map[netip.AddrPort]bool
	reading   map[netip.AddrPort]bool
	// digests and addresses count the digests sent and the addresses in them.
	digests, addresses int
}

func address(i int) netip.AddrPort {
	return netip.MustParseAddrPort(fmt.Sprintf("10.0.%d.%d:7000", i/250, i%250+1))
}

// zone spreads the balancers of a fleet over six availability zones.
func zone(i int) string { return string(rune('a' + i%6)) }

func newFleet(t *testing.T, count int) *fleet {
	f := &fleet{c: qt.New(t), sets: make(map[netip.AddrPort]*Set), down: make(map[netip.AddrPort]bool),
		storeDown: make(map[netip.AddrPort]bool), reading: make(map[netip.AddrPort]bool)}
	for i := range count {
		f.order = append(f.order, address(i))
		f.sets[address(i)] = New(0, Self{Address: address(i), Zone: zone(i)}, []netip.AddrPort{address(0), address(1)})
	}
	return f
}

// responseInterval is the time between two responses of the store to a reader.
const responseInterval = 500 * time.Millisecond

// run advances the time in steps of 50 ms. In each step a reader whose store is down gets an
// error.
func (f *fleet) run(d time.Duration) {
	for end := f.now + d; f.now < end; f.now += 50 * time.Millisecond {
		for _, self := range f.order {
			s := f.sets[self]
			if f.down[self] {
				continue
			}
			f.reading[self] = s.ShouldRead(f.now)
			switch {
			case f.reading[self] && f.storeDown[self]:
				s.StoreFailed()
			case f.reading[self] && f.now%responseInterval == 0:
				s.StoreResponded(f.now)
			case f.reading[self]:
			default:
				s.StopReading()
			}
			for _, to := range s.Due(f.now, false) {
				d := s.Digest(f.now, 1, Versions{Evacuations: at(1, 1)})
				f.digests++
				f.addresses += len(d.Peers)
				if other := f.sets[to]; other != nil && !f.down[to] && other.Receive(f.now, self, d) {
					s.Receive(f.now, to, other.Introduction(f.now, 1, Versions{Evacuations: at(1, 1)}))
				}
			}
		}
	}
}

func (f *fleet) readers() int {
	n := 0
	for self, reads := range f.reading {
		if reads && !f.down[self] && !f.storeDown[self] {
			n++
		}
	}
	return n
}

func (f *fleet) reader() netip.AddrPort {
	for self, reads := range f.reading {
		if reads && !f.down[self] && !f.storeDown[self] {
			return self
		}
	}
	return netip.AddrPort{}
}

// Guards against calls to the store that grow with the fleet, and against a
// fleet in which no balancer reads.
func TestExactlyOneReader(t *testing.T) {
	for _, count := range []int{1, 2, 4, 24} {
		f := newFleet(t, count)
		f.run(5 * time.Second)
		f.c.Check(f.readers(), qt.Equals, 1, qt.Commentf("%d balancers", count))
		for _, s := range f.sets {
			f.c.Check(s.Fresh(f.now), qt.IsTrue)
		}
	}
}

// Guards against a view that goes stale when the reader dies or loses the
// store. Another balancer has to read well within the 3 s in which a change
// must take effect.
func TestFailedReaderIsReplaced(t *testing.T) {
	for _, kind := range []string{"down", "store down"} {
		f := newFleet(t, 4)
		f.run(5 * time.Second)
		old := f.reader()
		if kind == "down" {
			f.down[old] = true
		} else {
			f.storeDown[old] = true
		}
		f.run(2 * time.Second)
		f.c.Check(f.readers(), qt.Equals, 1, qt.Commentf(kind))
		f.c.Check(f.reader(), qt.Not(qt.Equals), old)
		for self, s := range f.sets {
			f.c.Check(f.down[self] || s.Fresh(f.now), qt.IsTrue, qt.Commentf(kind))
		}
	}
}

// Guards against a view that counts as confirmed while the store is down.
func TestNotFreshWithoutStore(t *testing.T) {
	f := newFleet(t, 3)
	f.run(3 * time.Second)
	for self := range f.sets {
		f.storeDown[self] = true
	}
	f.run(2 * time.Second)
	for _, s := range f.sets {
		f.c.Check(s.Fresh(f.now), qt.IsFalse)
	}
}

// Guards against balancers that never receive each other's addresses because
// the seeds are few, wrong or dead, and against lost peers that stay in the
// view.
func TestPeersAreDiscovered(t *testing.T) {
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

// Guards against digests whose bytes grow with the fleet: at 59 balancers each sent 160
// digests a second with the addresses of all others (muzedukkan-large: processor time).
// The bound is the control budget of a node.
func TestDigestBytesAreBounded(t *testing.T) {
	const (
		bytesPerSecond = 26_000
		digestBytes    = 90
		addressBytes   = 20
	)
	for _, count := range []int{4, 24, 59, 100} {
		f := newFleet(t, count)
		f.run(3 * time.Second)
		f.digests, f.addresses = 0, 0
		const window = 2
		f.run(window * time.Second)
		sent := (f.digests*digestBytes + f.addresses*addressBytes) / window / count
		f.c.Check(sent < bytesPerSecond, qt.IsTrue, qt.Commentf("%d balancers: %d B/s each", count, sent))
	}
}

// Guards against an urgent digest to the whole fleet, and against one to no other zone.
func TestUrgentDigestsAreBounded(t *testing.T) {
	c := qt.New(t)
	s := New(0, Self{Address: address(0), Zone: zone(0)}, nil)
	for i := 1; i <= 200; i++ {
		s.Receive(0, address(i), Digest{Zone: zone(i)})
	}
	c.Check(s.Due(1, true), qt.HasLen, 2*groupFanout)
	c.Check(len(s.Introduction(1, 1, Versions{}).Peers) <= MaxListed, qt.IsTrue)
}

// Guards against a large fleet in which live balancers count as lost, a lost one is not
// noticed, or the store is read by several balancers or by none.
func TestLargeFleet(t *testing.T) {
	f := newFleet(t, 59)
	f.run(5 * time.Second)
	for range 40 {
		f.run(100 * time.Millisecond)
		f.c.Assert(f.readers(), qt.Equals, 1)
		for _, s := range f.sets {
			f.c.Assert(s.Live(f.now), qt.HasLen, 58)
			f.c.Assert(s.Lost(f.now), qt.HasLen, 0)
			f.c.Assert(s.Fresh(f.now), qt.IsTrue)
		}
	}
	lost := f.reader()
	f.down[lost] = true
	f.run(1500 * time.Millisecond)
	for self, s := range f.sets {
		sameZone := s.self.Zone == f.sets[lost].self.Zone
		f.c.Check(f.down[self] || !sameZone || slices.Contains(s.Lost(f.now), lost), qt.IsTrue)
	}
	f.run(time.Second)
	f.c.Check(f.readers(), qt.Equals, 1)
	for self, s := range f.sets {
		f.c.Check(f.down[self] || s.Fresh(f.now), qt.IsTrue)
	}
	f.run(3 * time.Second)
	for self, s := range f.sets {
		f.c.Check(f.down[self] || len(s.Live(f.now)) == 57, qt.IsTrue)
	}
}

func at(epoch, revision uint64) registry.Position {
	return registry.Position{Epoch: epoch, Revision: revision}
}

// Guards against pulls from a peer that has nothing newer or failed to answer.
func TestPullSource(t *testing.T) {
	c := qt.New(t)
	s := New(0, Self{Address: address(0)}, nil)
	s.Receive(0, address(1), Digest{Routes: 4, Targets: at(1, 9), Evacuations: at(1, 9)})
	_, found := s.Newer(0, Versions{Routes: 4, Targets: at(1, 9), Evacuations: at(1, 9)})
	c.Check(found, qt.IsFalse)
	s.Receive(0, address(2), Digest{Routes: 5, Targets: at(1, 9), Evacuations: at(1, 9), Reading: true})
	s.Receive(0, address(3), Digest{Routes: 5, Targets: at(1, 9), Evacuations: at(1, 9)})
	from, found := s.Newer(0, Versions{Routes: 4, Targets: at(1, 9), Evacuations: at(1, 9)})
	c.Check(found, qt.IsTrue)
	c.Check(from, qt.Equals, address(2))
	s.PullFailed(address(2))
	from, _ = s.Newer(0, Versions{Routes: 4, Targets: at(1, 9), Evacuations: at(1, 9)})
	c.Check(from, qt.Equals, address(3))
	s.Receive(0, address(3), Digest{Routes: 4, Targets: at(1, 9), Evacuations: at(1, 10)})
	from, _ = s.Newer(0, Versions{Routes: 5, Targets: at(1, 9), Evacuations: at(1, 9)})
	c.Check(from, qt.Equals, address(3))
}

// Guards against peers that do not follow a restored store, whose revision has gone back, and
// against pulls from one that has not noticed the restore.
func TestPullAfterARestore(t *testing.T) {
	c := qt.New(t)
	s := New(0, Self{Address: address(0)}, nil)
	s.Enter(at(1, 9))
	s.Receive(0, address(1), Digest{Routes: 4, Targets: at(2, 3)})
	from, found := s.Newer(0, Versions{Routes: 4, Targets: at(1, 9)})
	c.Check(found, qt.IsTrue)
	c.Check(from, qt.Equals, address(1))
	s.Receive(0, address(1), Digest{Routes: 4, Targets: at(1, 12)})
	_, found = s.Newer(0, Versions{Routes: 4, Targets: at(2, 3)})
	c.Check(found, qt.IsFalse)
}

// Guards against a balancer that does not find the peers that know what a restored store has lost, and
// against one that asks the same peer again and again.
func TestRetainer(t *testing.T) {
	c := qt.New(t)
	s := New(0, Self{Address: address(0)}, nil)
	s.Receive(0, address(1), Digest{Targets: at(2, 9)})
	s.Receive(0, address(2), Digest{Targets: at(1, 9), Retaining: true})
	_, found := s.Retainer(0, 2)
	c.Check(found, qt.IsFalse)
	s.Receive(0, address(3), Digest{Targets: at(2, 9), Retaining: true})
	from, found := s.Retainer(0, 2)
	c.Check(found, qt.IsTrue)
	c.Check(from, qt.Equals, address(3))
	s.Learned(0, from)
	_, found = s.Retainer(0, 2)
	c.Check(found, qt.IsFalse)
}

// Guards against a table that counts as confirmed, and against a fleet without a reader, because of
// what a peer says that has not noticed that the store was restored.
func TestOutdatedPeerConfirmsNothing(t *testing.T) {
	c := qt.New(t)
	s := New(0, Self{Address: address(0)}, nil)
	s.StoreResponded(0)
	s.StopReading()
	s.Enter(at(2, 3))
	now := 2 * time.Second
	s.Receive(now, address(1), Digest{Targets: at(1, 40), Evacuations: at(1, 40), ContactAge: 0, Reading: true})
	c.Check(s.Fresh(now), qt.IsFalse)
	c.Check(s.HasReader(now), qt.IsFalse)
	c.Check(s.ShouldRead(now), qt.IsTrue)
	s.Receive(now, address(1), Digest{Targets: at(2, 3), Evacuations: at(2, 3), ContactAge: 0, Reading: true})
	c.Check(s.Fresh(now), qt.IsTrue)
	c.Check(s.HasReader(now), qt.IsTrue)
	c.Check(s.ShouldRead(now), qt.IsFalse)
}

// Guards against a balancer that leaves the reading to peers of an earlier build, which do not
// read the evacuated zones, and against one that takes traffic before it knows them.
func TestPeerWithoutEvacuationsReadsForNobody(t *testing.T) {
	c := qt.New(t)
	s := New(0, Self{Address: address(0)}, nil)
	s.Receive(0, address(1), Digest{Routes: 4, Targets: at(1, 9), Reading: true, ContactAge: 0})
	c.Check(s.HasReader(0), qt.IsFalse)
	c.Check(s.ShouldRead(0), qt.IsTrue)
	c.Check(s.Fresh(0), qt.IsFalse)
	have := Versions{Routes: 4, Targets: at(1, 9)}
	c.Check(s.Digest(0, 1, have).Serving, qt.IsFalse)
	have.Evacuations = at(1, 9)
	c.Check(s.Digest(0, 1, have).Serving, qt.IsTrue)
}

// Guards against small balancers that limit the throughput of a zone, against a
// zone with fewer than half of its balancers in rotation, and against a
// balancer that stays out of rotation while it is needed.
func TestInRotation(t *testing.T) {
	tests := []struct {
		name       string
		capacities []uint32
		// dead and leaving are indexes into capacities.
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
					lastSeen := now
					if slices.Contains(test.dead, i) {
						lastSeen = now - 2*peerTimeout
					}
					s.Receive(lastSeen, address(i), Digest{Zone: "a", Capacity: other, Serving: true, Leaving: slices.Contains(test.leaving, i)})
				}
				s.Receive(now, address(100), Digest{Zone: "b", Capacity: 1000, Serving: true})
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

// Guards against a small balancer that joins the rotation because a larger one,
// whose link is full, sent no digest for a moment (scale-2 of
// ssa-subastas-grown).
func TestRotationToleratesLostDigests(t *testing.T) {
	c := qt.New(t)
	s := New(0, Self{address(3), "a", 10}, nil)
	for i, capacity := range []uint32{200, 200, 28} {
		s.Receive(time.Minute, address(i), Digest{Zone: "a", Capacity: capacity, Serving: true})
	}
	s.Receive(time.Minute, address(4), Digest{Zone: "a", Capacity: 10, Serving: true})
	s.Receive(time.Minute, address(5), Digest{Zone: "a", Capacity: 10, Serving: true})
	c.Check(s.InRotation(time.Minute+peerTimeout+500*time.Millisecond), qt.IsFalse)
}

// Guards against openings that are diverted to balancers which are no larger,
// or to so few that the caller's next attempts come back.
func TestShouldDivert(t *testing.T) {
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
				s.Receive(time.Minute, address(i), Digest{Zone: "a", Capacity: capacity, Serving: true})
			}
			qt.New(t).Check(s.ShouldDivert(time.Minute), qt.Equals, test.want)
		})
	}
}

// Guards against openings that are diverted from a full link to balancers which are no
// larger, or to so few that a caller uses up its tries.
func TestShouldDivertFull(t *testing.T) {
	tests := []struct {
		name   string
		own    uint32
		others []uint32
		want   bool
	}{
		{"alone", 10, nil, false},
		{"equal ones", 10, []uint32{10, 10}, false},
		{"a third", 10, []uint32{200, 22, 22, 10, 10, 10, 10, 10}, true},
		{"too few", 50, []uint32{200, 50, 50}, false},
		{"not large enough", 120, []uint32{200, 200}, false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			s := New(0, Self{address(9), "a", test.own}, nil)
			for i, capacity := range test.others {
				s.Receive(time.Minute, address(i), Digest{Zone: "a", Capacity: capacity, Serving: true})
			}
			qt.New(t).Check(s.ShouldDivertFull(time.Minute), qt.Equals, test.want)
		})
	}
}

func BenchmarkNewer(b *testing.B) {
	s := New(0, Self{Address: address(0), Zone: zone(0)}, nil)
	for i := 1; i < 59; i++ {
		s.Receive(0, address(i), Digest{Zone: zone(i), Routes: 1, Targets: at(1, 1)})
	}
	s.countGroups()
	b.ReportAllocs()
	for b.Loop() {
		s.Newer(1, Versions{Routes: 1, Targets: at(1, 1)})
		s.ShouldRead(1)
	}
}
