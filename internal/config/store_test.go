package config

import (
	"runtime"
	"slices"
	"sync"
	"testing"
	"time"
	"weak"

	qt "github.com/frankban/quicktest"
	"google.golang.org/protobuf/proto"
	"pgregory.net/rapid"

	"github.com/peridotstall/peridotstall/internal/schema"
)

const testWindow = 6 * time.Second

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func storeWith(t testing.TB, configs ...*schema.Config) *Store {
	s := NewStore(testWindow)
	for _, c := range configs {
		decision, err := s.Offer(start, c)
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, decision, qt.Equals, Accepted)
	}
	return s
}

// Guards against a configuration in force that is replaced by a lower revision,
// by other content of the same revision, or by invalid content.
func TestOfferDecisions(t *testing.T) {
	rename := func(c *schema.Config) { c.Services[0].Labels["tier"] = "other" }
	for _, test := range []struct {
		about string
		offer *schema.Config
		want  Decision
		fails bool
	}{
		{"same", testConfig(5), Same, false},
		{"lower", testConfig(4), Lower, true},
		{"higher", testConfig(6), Accepted, false},
		{"same revision, other content", modified(5, rename), Conflict, true},
		{"same revision, other hash key", modified(5, func(c *schema.Config) { c.HashKey[0]++ }), Conflict, true},
		{"same revision, other declared digest", modified(5, func(c *schema.Config) { c.Digest = make([]byte, 16) }), Conflict, true},
		{"invalid", modified(6, func(c *schema.Config) { c.Targets[0].Capacity = 0 }), Invalid, true},
		{"service ID reused", modified(6, func(c *schema.Config) { c.Services[0].Name = "other" }), Invalid, true},
		{"target ID reused", modified(6, func(c *schema.Config) { c.Targets[0].Host = "other" }), Invalid, true},
		{"member in use removed", modified(6, func(c *schema.Config) { c.Members = c.Members[1:] }), Invalid, true},
		{"no configuration", nil, Lower, true},
	} {
		t.Run(test.about, func(t *testing.T) {
			c := qt.New(t)
			s := storeWith(t, testConfig(5))
			decision, err := s.Offer(start, test.offer)
			c.Check(decision, qt.Equals, test.want, qt.Commentf("%v", err))
			c.Check(err != nil, qt.Equals, test.fails)
			if test.want == Accepted {
				c.Check(s.Current().Revision(), qt.Equals, uint64(6))
				return
			}
			c.Check(s.Current().Revision(), qt.Equals, uint64(5))
			c.Check(targetIDs(s.Current(), 2), qt.DeepEquals, []uint32{3, 4})
		})
	}
}

// Guards against the reuse of a removed ID for another name. Late packets with
// that ID would reach the wrong service.
func TestRemovedIDIsNotReused(t *testing.T) {
	c := qt.New(t)
	without := modified(2, func(c *schema.Config) { c.Services, c.Targets = c.Services[1:], c.Targets[1:] })
	s := storeWith(t, testConfig(1), without)
	decision, err := s.Offer(start, modified(3, func(c *schema.Config) { c.Services[0].Name, c.Targets[0].Host = "other", "other" }))
	c.Check(decision, qt.Equals, Invalid)
	c.Check(err, qt.ErrorMatches, `(?s).*services\[id=2\]\.id: 2, must be .*"images".*"other".*targets\[id=4\]\.id.*"h4".*`)
	decision, err = s.Offer(start, testConfig(3))
	c.Check(err, qt.IsNil)
	c.Check(decision, qt.Equals, Accepted)
}

// Guards against superseded snapshots that are returned after the window or in
// the wrong order.
func TestPreviousWithinWindow(t *testing.T) {
	c := qt.New(t)
	s := NewStore(testWindow)
	for i, at := range []time.Duration{0, time.Second, 4 * time.Second} {
		_, err := s.Offer(start.Add(at), modified(uint64(i+1), func(c *schema.Config) { c.Members[0].Weight = uint32(i + 1) }))
		c.Assert(err, qt.IsNil)
	}
	revisions := func(at time.Duration) []uint64 {
		var out []uint64
		for _, p := range s.Previous(start.Add(at)) {
			out = append(out, p.Revision())
		}
		return out
	}
	c.Check(revisions(5*time.Second), qt.DeepEquals, []uint64{2, 1})
	c.Check(revisions(8*time.Second), qt.DeepEquals, []uint64{2})
	c.Check(revisions(10*time.Second), qt.HasLen, 0)
}

// Guards against superseded snapshots that keep their index of agent addresses,
// which tripled the memory during a burst of changes.
func TestSupersededSnapshotDropsAgentIndex(t *testing.T) {
	c := qt.New(t)
	s := storeWith(t, testConfig(1))
	old := weak.Make(s.Current())
	_, err := s.Offer(start, testConfig(2))
	c.Assert(err, qt.IsNil)
	runtime.GC()
	c.Check(old.Value() == nil, qt.IsTrue)
	c.Check(s.Previous(start)[0].Revision(), qt.Equals, uint64(1))
}

// Guards against data races (under the race detector), and against a revision
// that decreases under concurrent offers.
func TestConcurrentOffers(t *testing.T) {
	s := storeWith(t, testConfig(1))
	var group sync.WaitGroup
	for worker := range uint64(4) {
		group.Go(func() {
			for i := range uint64(25) {
				_, _ = s.Offer(start, testConfig(4*i+worker))
				_, _ = s.Delta(i)
				before := s.Current().Revision()
				_ = s.Previous(start)
				qt.Check(t, s.Current().Revision() >= before, qt.IsTrue)
			}
		})
	}
	group.Wait()
	qt.Check(t, s.Current().Revision(), qt.Equals, uint64(4*24+3))
}

// Guards against deltas that are applied to the wrong base or without checking
// the digest of the result.
func TestOfferDeltaDecisions(t *testing.T) {
	two := modified(2, func(c *schema.Config) { c.Targets = c.Targets[:3]; c.Members[0].Weight = 9 })
	s := storeWith(t, testConfig(1), two)
	delta, ok := s.Delta(1)
	qt.Assert(t, ok, qt.IsTrue)
	other := modified(1, func(c *schema.Config) { c.Members[1].Weight = 77 })
	for _, test := range []struct {
		about  string
		base   *schema.Config
		change func(d *schema.ConfigDelta)
		want   Decision
	}{
		{"matching base", testConfig(1), func(d *schema.ConfigDelta) {}, Accepted},
		{"repeated", two, func(d *schema.ConfigDelta) {}, Same},
		{"conflict", two, func(d *schema.ConfigDelta) { d.Digest[0]++ }, Conflict},
		{"lower", modified(3, func(*schema.Config) {}), func(d *schema.ConfigDelta) {}, Lower},
		{"gap", testConfig(1), func(d *schema.ConfigDelta) { d.FromRevision, d.ToRevision = 2, 3 }, NeedFull},
		{"base has other content", other, func(d *schema.ConfigDelta) {}, NeedFull},
		{"item altered", testConfig(1), func(d *schema.ConfigDelta) { d.Members[0].Weight++ }, NeedFull},
		{"removed and set", testConfig(1), func(d *schema.ConfigDelta) { d.RemovedMembers = []string{"shop"} }, Invalid},
		{"no digest", testConfig(1), func(d *schema.ConfigDelta) { d.Digest = nil }, Invalid},
		{"from_revision above to_revision", testConfig(1), func(d *schema.ConfigDelta) { d.FromRevision = 3 }, Invalid},
	} {
		t.Run(test.about, func(t *testing.T) {
			c := qt.New(t)
			s := storeWith(t, proto.Clone(test.base).(*schema.Config))
			d := proto.Clone(delta).(*schema.ConfigDelta)
			test.change(d)
			decision, err := s.OfferDelta(start, d)
			c.Check(decision, qt.Equals, test.want, qt.Commentf("%v", err))
			c.Check(err == nil, qt.Equals, test.want == Accepted || test.want == Same)
		})
	}
	decision, _ := NewStore(testWindow).OfferDelta(start, delta)
	qt.Check(t, decision, qt.Equals, NeedFull)
}

// drawConfig returns one of a few contents, some of which are invalid.
func drawConfig(t *rapid.T, revision uint64) *schema.Config {
	c := testConfig(revision)
	c.Members[0].Weight = rapid.Uint32Range(0, 3).Draw(t, "weight")
	c.Targets = c.Targets[:rapid.IntRange(0, 4).Draw(t, "targets")]
	c.Services = c.Services[:rapid.IntRange(0, 2).Draw(t, "services")]
	c.Policies = c.Policies[:rapid.IntRange(0, 2).Draw(t, "policies")]
	for _, target := range c.Targets {
		target.Labels["serves"] = rapid.SampledFrom([]string{"front", "images"}).Draw(t, "serves")
	}
	return c
}

// Guards against a revision in force that decreases or changes its content under
// any order of full configurations and deltas, and against a delta whose result
// differs from the full configuration.
func TestRevisionNeverGoesDown(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		source, sink := NewStore(testWindow), NewStore(testWindow)
		now := start
		t.Repeat(map[string]func(*rapid.T){
			"offer": func(t *rapid.T) {
				now = now.Add(time.Second)
				checkedOffer(t, source, func() (Decision, error) {
					return source.Offer(now, drawConfig(t, drawRevision(t, source)))
				})
			},
			"deliver": func(t *rapid.T) {
				from := drawRevision(t, sink)
				if d, ok := source.Delta(from); ok {
					follows := sink.Current() != nil && sink.Current().Revision() == from
					decision := checkedOffer(t, sink, func() (Decision, error) { return sink.OfferDelta(now, d) })
					if follows && decision != Accepted {
						t.Fatalf("delta from the revision in force: %s", decision)
					}
				}
			},
			"transfer": func(t *rapid.T) {
				if c := source.Current(); c != nil {
					checkedOffer(t, sink, func() (Decision, error) { return sink.Offer(now, proto.Clone(c.Config()).(*schema.Config)) })
				}
			},
			"": func(t *rapid.T) {
				checkSameIndexes(t, source.Current())
				checkSameIndexes(t, sink.Current())
			},
		})
	})
}

// drawRevision returns a revision close to the one in force, so that long chains
// of deltas occur.
func drawRevision(t *rapid.T, s *Store) uint64 {
	next := uint64(2)
	if current := s.Current(); current != nil {
		next = current.Revision() + 1
	}
	return next + 1 - rapid.SampledFrom([]uint64{0, 1, 1, 1, 2, 2, 2, 3}).Draw(t, "back")
}

func checkedOffer(t *rapid.T, s *Store, offer func() (Decision, error)) Decision {
	before := s.Current()
	decision, err := offer()
	after := s.Current()
	if decision != Accepted && before != after {
		t.Fatalf("%s changed the snapshot in force: %v", decision, err)
	}
	if decision == Accepted && before != nil && after.Revision() <= before.Revision() {
		t.Fatalf("revision went from %d to %d", before.Revision(), after.Revision())
	}
	if (err == nil) != (decision == Accepted || decision == Same) {
		t.Fatalf("%s with error %v", decision, err)
	}
	return decision
}

// checkSameIndexes compares an incrementally built snapshot with one that is
// built from the full configuration.
func checkSameIndexes(t *rapid.T, s *Snapshot) {
	if s == nil {
		return
	}
	fresh, err := NewSnapshot(proto.Clone(s.Config()).(*schema.Config))
	if err != nil {
		t.Fatalf("snapshot in force is invalid: %v", err)
	}
	if len(s.byAddress) != len(fresh.byAddress) || len(s.agents) != len(fresh.agents) {
		t.Fatalf("address indexes differ")
	}
	for _, service := range s.Services() {
		id := service.GetId()
		if s.Policy(id).GetName() != fresh.Policy(id).GetName() {
			t.Fatalf("policy of service %d: %s, want %s", id, s.Policy(id).GetName(), fresh.Policy(id).GetName())
		}
		if !slices.Equal(targetIDs(s, id), targetIDs(fresh, id)) {
			t.Fatalf("targets of service %d: %v, want %v", id, targetIDs(s, id), targetIDs(fresh, id))
		}
	}
}
