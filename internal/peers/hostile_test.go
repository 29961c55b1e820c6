package peers

import (
	"math"
	"net/netip"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// listed returns n addresses from 172.16.0.0 on.
func listed(n int) []netip.AddrPort {
	out := make([]netip.AddrPort, n)
	for i := range out {
		out[i] = netip.AddrPortFrom(netip.AddrFrom4([4]byte{172, 16, byte(i >> 8), byte(i)}), 7000)
	}
	return out
}

// Guards against a contact age so large that its time lies before the range of a time.Duration: the
// age became negative after a millisecond, and the state counted as confirmed without a store.
func TestHugeContactAgeConfirmsNothing(t *testing.T) {
	c := qt.New(t)
	for _, age := range []time.Duration{math.MaxInt64, math.MaxInt64 - time.Millisecond, maxClaimedAge + 1, -1, -time.Hour} {
		s := New(0, Self{Address: address(0)}, nil)
		s.Receive(time.Minute, address(1), Digest{Targets: at(1, 9), Evacuations: at(1, 9), ContactAge: age})
		c.Check(s.ContactAge(2*time.Minute), qt.Equals, Never, qt.Commentf("%v", age))
		c.Check(s.Fresh(2*time.Minute), qt.IsFalse, qt.Commentf("%v", age))
	}
}

// Guards against memory and digests to other hosts that grow with the addresses that digests list.
func TestListedAddressesAreBounded(t *testing.T) {
	c := qt.New(t)
	seeds := []netip.AddrPort{address(1), address(2)}
	s := New(0, Self{Address: address(0)}, seeds)
	addresses := listed(5000)
	s.Receive(0, address(3), Digest{Peers: addresses})
	c.Check(len(s.Due(2*time.Second, false)) <= MaxListed+len(seeds)+1, qt.IsTrue)
	for i := 0; i < len(addresses); i += MaxListed {
		s.Receive(0, address(4+i/MaxListed), Digest{Peers: addresses[i:min(i+MaxListed, len(addresses))]})
	}
	c.Check(len(s.peers) <= maxUnheard+len(seeds)+2+len(addresses)/MaxListed, qt.IsTrue, qt.Commentf("%d", len(s.peers)))
	// A balancer that is heard has a place all the same.
	c.Check(s.Receive(0, address(300), Digest{}), qt.IsTrue)
	c.Check(s.Live(0), qt.Contains, address(300))
}

// Guards against listed addresses that cannot be a balancer's.
func TestListedAddressesAreChecked(t *testing.T) {
	c := qt.New(t)
	s := New(0, Self{Address: address(0)}, nil)
	var invalid []netip.AddrPort
	for _, text := range []string{"10.0.0.9:0", "0.0.0.0:7000", "255.255.255.255:7000", "224.0.0.1:7000", "[2001:db8::1]:7000", "[::ffff:10.0.0.9]:7000"} {
		invalid = append(invalid, netip.MustParseAddrPort(text))
	}
	s.Receive(0, address(1), Digest{Peers: append(invalid, netip.AddrPort{}, address(0))})
	c.Check(s.peers, qt.HasLen, 1)
}

// Guards against memory that grows with the number of senders of digests. Seeds are heard all the
// same, and so are further balancers once the others are silent.
func TestSendersAreBounded(t *testing.T) {
	c := qt.New(t)
	s := New(0, Self{Address: address(0)}, []netip.AddrPort{address(1)})
	for _, from := range listed(3 * maxPeers) {
		s.Receive(0, from, Digest{})
	}
	c.Check(len(s.peers) <= maxPeers+1, qt.IsTrue, qt.Commentf("%d", len(s.peers)))
	c.Check(s.Receive(0, address(1), Digest{}), qt.IsTrue)
	c.Check(s.Receive(0, address(2), Digest{}), qt.IsFalse)
	now := silentTTL + time.Minute
	for range 2 {
		now += 2 * silentInterval
		s.Due(now, false)
	}
	c.Check(s.Receive(now, address(2), Digest{}), qt.IsTrue)
}

// Guards against a store that nobody reads because many senders of digests come first in the order
// of readers and do not read.
func TestManySendersDoNotDelayTheReader(t *testing.T) {
	c := qt.New(t)
	s := New(0, Self{Address: address(0)}, nil)
	s.StoreResponded(0)
	s.StopReading()
	now := maxContactAge + maxRankDelay + 2*DigestInterval
	for _, from := range listed(maxPeers) {
		s.Receive(now, from, Digest{ContactAge: Never})
	}
	s.Due(now, false)
	c.Check(s.ShouldRead(now), qt.IsTrue)
}

// Guards against a peer that states versions it does not have and is asked for them again and
// again, or keeps a balancer from asking the peer that has them.
func TestBrokenWordIsNotAskedAgain(t *testing.T) {
	c := qt.New(t)
	far := Versions{Routes: math.MaxUint64, Targets: at(math.MaxUint64, math.MaxUint64), Evacuations: at(math.MaxUint64, 1)}
	have := Versions{Routes: 4, Targets: at(1, 9), Evacuations: at(1, 9)}
	s := New(0, Self{Address: address(0)}, nil)
	liar := Digest{Routes: far.Routes, Targets: far.Targets, Evacuations: far.Evacuations, Reading: true}
	s.Receive(0, address(1), liar)
	from, _ := s.Newer(0, have)
	c.Assert(from, qt.Equals, address(1))
	c.Check(s.Pulled(0, from, s.Stated(from), have), qt.IsTrue)
	asked := 0
	for now := time.Duration(1); now < 20*time.Second; now += DigestInterval {
		liar.Routes--
		liar.Incarnation++
		s.Receive(now, address(1), liar)
		if from, found := s.Newer(now, have); found {
			asked++
			s.Pulled(now, from, s.Stated(from), have)
		}
	}
	c.Check(asked <= int(20*time.Second/brokenTime), qt.IsTrue, qt.Commentf("%d", asked))
	now := 20 * time.Second
	s.Receive(now, address(1), liar)
	s.Receive(now, address(2), Digest{Routes: 5})
	from, found := s.Newer(now, have)
	c.Check(found, qt.IsTrue)
	c.Check(from, qt.Equals, address(2))
	have.Routes = 5
	c.Check(s.Pulled(now, from, s.Stated(from), have), qt.IsFalse)
}

// Guards against a peer that does not answer pulls and is asked first after each of its digests.
func TestFailedPullsComeLast(t *testing.T) {
	c := qt.New(t)
	s := New(0, Self{Address: address(0)}, nil)
	s.Receive(0, address(1), Digest{Routes: 9, Reading: true, Evacuations: at(1, 1)})
	s.PullFailed(address(1))
	s.Receive(0, address(1), Digest{Routes: 9, Reading: true, Evacuations: at(1, 1)})
	s.Receive(0, address(2), Digest{Routes: 9})
	from, _ := s.Newer(0, Versions{Routes: 4, Evacuations: at(1, 1)})
	c.Check(from, qt.Equals, address(2))
}

// Guards against a peer that states for ever that it retains something, and whose table is pulled
// after each of its digests.
func TestRetainerIsNotAskedAtEachDigest(t *testing.T) {
	c := qt.New(t)
	s := New(0, Self{Address: address(0)}, nil)
	asked := 0
	for now := time.Duration(0); now < 10*time.Second; now += 50 * time.Millisecond {
		s.Receive(now, address(1), Digest{Targets: at(1, 9), Retaining: true})
		if from, found := s.Retainer(now, 1); found {
			asked++
			s.Learned(now, from)
		}
	}
	c.Check(asked <= int(10*time.Second/learnInterval), qt.IsTrue, qt.Commentf("%d", asked))
}

// Guards against a balancer that follows a peer again which states what the store has refuted, and
// against one that disbelieves its peers for good when the store gets there.
func TestRefutedPositionIsNotBelieved(t *testing.T) {
	c := qt.New(t)
	have := Versions{Routes: 4, Targets: at(1, 9), Evacuations: at(1, 9)}
	for name, stated := range map[string]Versions{
		"targets":     {Targets: at(1, 12), Evacuations: at(1, 9)},
		"evacuations": {Targets: at(1, 9), Evacuations: at(7, 1)},
	} {
		s := New(0, Self{Address: address(0)}, nil)
		s.Enter(at(1, 9))
		refuted := Versions{Targets: at(1, 12), Evacuations: at(7, 1)}
		s.Refute(0, Versions{Targets: refuted.Targets})
		s.Refute(0, Versions{Evacuations: refuted.Evacuations})
		digest := Digest{Targets: stated.Targets, Evacuations: stated.Evacuations, Reading: true}
		s.Receive(1, address(1), digest)
		_, found := s.Newer(1, have)
		c.Check(found, qt.IsFalse, qt.Commentf(name))
		c.Check(s.HasReader(1), qt.IsFalse, qt.Commentf(name))
		c.Check(s.Fresh(1), qt.IsFalse, qt.Commentf(name))
		s.Receive(1, address(2), Digest{Targets: at(1, 11), Evacuations: at(1, 10)})
		from, _ := s.Newer(1, have)
		c.Check(from, qt.Equals, address(2), qt.Commentf(name))
		s.Receive(refutedTime, address(1), digest)
		_, found = s.Newer(refutedTime, have)
		c.Check(found, qt.IsTrue, qt.Commentf(name))
	}
}

// Guards against a balancer with a table that a peer made up, which the others do not have, that
// leaves the reading of the store to them and so never learns that its table is none of the store's.
func TestEarlierTablesDoNotConfirmALaterOne(t *testing.T) {
	c := qt.New(t)
	s := New(0, Self{Address: address(0)}, nil)
	s.StoreResponded(0)
	s.StopReading()
	s.Enter(at(1, 1<<60))
	now := 5 * time.Second
	s.Receive(now, address(1), Digest{Targets: at(1, 9), Evacuations: at(1, 9), Reading: true})
	c.Check(s.Fresh(now), qt.IsFalse)
	c.Check(s.ShouldRead(now), qt.IsTrue)
}
