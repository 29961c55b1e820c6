package config

import (
	"bytes"
	"fmt"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"github.com/peridotstall/peridotstall/internal/schema"
)

const (
	// maxLinks bounds the deltas kept for peers that lag. At 19,000 changes a
	// day it covers about 20 minutes.
	maxLinks = 256
	// maxDeltaItems is the size from which a peer gets the whole configuration
	// instead, and bounds the memory of the kept deltas.
	maxDeltaItems = 4096
	// maxPrevious bounds the snapshots within the window. At the target size
	// each one holds 1.6 MB of its own, of the 64 MB for control.
	maxPrevious = 16
)

// Decision is the result of an offer to a store.
type Decision int

// Values of Decision.
const (
	// Accepted means that the offered revision is now in force.
	Accepted Decision = iota + 1
	// Same means that the offered revision is the one in force.
	Same
	// Lower means that a higher revision is in force.
	Lower
	// Conflict means that the revision in force has another content.
	Conflict
	// Invalid means that the content was rejected as a whole.
	Invalid
	// NeedFull means that the delta cannot be applied to what is in force.
	NeedFull
)

var decisionNames = map[Decision]string{
	Accepted: "accepted",
	Same:     "same",
	Lower:    "lower",
	Conflict: "conflict",
	Invalid:  "invalid",
	NeedFull: "need full",
}

// String returns the word used in logs.
func (d Decision) String() string {
	if name, ok := decisionNames[d]; ok {
		return name
	}
	return fmt.Sprintf("decision %d", int(d))
}

// Store decides which revision is in force. The highest accepted revision is
// never lowered. It is safe for concurrent use.
type Store struct {
	window  time.Duration
	current atomic.Pointer[Snapshot]

	mu       sync.Mutex
	previous []superseded // oldest first
	links    []*schema.ConfigDelta
	used     usedIDs
}

// superseded is an earlier snapshot and the time from which another one was in force.
type superseded struct {
	snapshot *Snapshot
	at       time.Time
}

// NewStore returns an empty store that hands out earlier snapshots for the window.
func NewStore(window time.Duration) *Store {
	return &Store{window: window, used: usedIDs{current: empty}}
}

// Current returns the snapshot in force, or nil before the first acceptance.
func (s *Store) Current() *Snapshot { return s.current.Load() }

// Offer decides about a whole configuration. The error is nil for Accepted and
// Same, and a *ValidationError for Invalid. The store keeps the items of c.
func (s *Store) Offer(now time.Time, c *schema.Config) (Decision, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	base := s.used.current
	revision := base.Revision()
	if c.GetRevision() < revision {
		return Lower, lowerError(c.GetRevision(), revision)
	}
	b := newBuilder(base)
	b.used = &s.used
	b.whole(c)
	if c.GetRevision() == revision && base != empty {
		return compareWhole(base, c.GetDigest(), b.next.digest[:])
	}
	next, err := b.finish()
	if err != nil {
		return Invalid, err
	}
	s.accept(now, next)
	return Accepted, nil
}

// OfferDelta decides about a delta. The base may be the snapshot in force or an
// earlier one within the window. A delta whose result does not have the digest
// that it names is answered with NeedFull: its sender had another base.
func (s *Store) OfferDelta(now time.Time, d *schema.ConfigDelta) (Decision, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if err := checkDelta(d); err != nil {
		return Invalid, err
	}
	current := s.used.current
	if current == empty {
		return NeedFull, errors.Wrap(ErrBase, "no configuration is in force")
	}
	if d.GetToRevision() < current.Revision() {
		return Lower, lowerError(d.GetToRevision(), current.Revision())
	}
	if d.GetToRevision() == current.Revision() {
		return compare(current, d.GetDigest())
	}
	base, ok := s.revision(now, d.GetFromRevision())
	if !ok {
		return NeedFull, errors.Wrapf(ErrBase, "revision %d is in force, delta starts at %d", current.Revision(), d.GetFromRevision())
	}
	next, err := applyWith(base, d, &s.used)
	if errors.Is(err, ErrBase) {
		return NeedFull, err
	}
	if err != nil {
		return Invalid, err
	}
	s.accept(now, next)
	return Accepted, nil
}

// checkDelta reports deltas that are wrong whatever their base is.
func checkDelta(d *schema.ConfigDelta) error {
	var f faults
	if d.GetToRevision() <= d.GetFromRevision() {
		f.add("to_revision", d.GetToRevision(), fmt.Sprintf("above from_revision, %d", d.GetFromRevision()))
	}
	if len(d.GetDigest()) != DigestSize {
		f.add("digest", figuref("%d bytes", len(d.GetDigest())), fmt.Sprintf("%d bytes", DigestSize))
	}
	return f.err()
}

func lowerError(offered, current uint64) error {
	return errors.Errorf("revision %d is lower than revision %d, which is in force", offered, current)
}

// compare decides about content that has the revision in force.
func compare(current *Snapshot, digest []byte) (Decision, error) {
	if bytes.Equal(current.digest[:], digest) {
		return Same, nil
	}
	return Conflict, errors.Errorf("revision %d is in force with digest %x, offered with digest %x", current.Revision(), current.digest, digest)
}

// compareWhole also compares the digest that the configuration declares, if any.
func compareWhole(current *Snapshot, declared, content []byte) (Decision, error) {
	if len(declared) > 0 && !bytes.Equal(declared, content) {
		return compare(current, declared)
	}
	return compare(current, content)
}

// revision returns the snapshot in force or an earlier one by its revision.
func (s *Store) revision(now time.Time, revision uint64) (*Snapshot, bool) {
	if s.used.current.Revision() == revision {
		return s.used.current, true
	}
	for _, p := range s.previous {
		if p.snapshot.Revision() == revision && s.within(now, p) {
			return p.snapshot, true
		}
	}
	return nil, false
}

func (s *Store) within(now time.Time, p superseded) bool {
	return now.Sub(p.at) < s.window
}

// accept puts the next snapshot into force.
func (s *Store) accept(now time.Time, next *Snapshot) {
	old := s.used.current
	d := Diff(old, next)
	if old != empty {
		s.supersede(now, old)
		s.link(d)
	}
	s.used.advance(next, d)
	s.current.Store(next)
}

func (s *Store) supersede(now time.Time, old *Snapshot) {
	s.previous = slices.DeleteFunc(s.previous, func(p superseded) bool { return !s.within(now, p) })
	if len(s.previous) == maxPrevious {
		s.previous = slices.Delete(s.previous, 0, 1)
	}
	// The index of agent addresses is large and needed only in the current snapshot.
	kept := *old
	kept.agents = nil
	s.previous = append(s.previous, superseded{&kept, now})
}

// link keeps the delta for peers that lag. One that is too large ends the
// chain, since no delta across it would be smaller.
func (s *Store) link(d *schema.ConfigDelta) {
	if size(d) > maxDeltaItems {
		s.links = nil
		return
	}
	if len(s.links) == maxLinks {
		s.links = slices.Delete(s.links, 0, 1)
	}
	s.links = append(s.links, d)
}

// Previous returns the snapshots that were superseded within the window, newest first.
func (s *Store) Previous(now time.Time) []*Snapshot {
	s.mu.Lock()
	defer s.mu.Unlock()
	var out []*Snapshot
	for _, p := range slices.Backward(s.previous) {
		if s.within(now, p) {
			out = append(out, p.snapshot)
		}
	}
	return out
}

// Delta returns the delta from a recent revision to the one in force; false
// when the revision is not recent enough or the delta would be too large. The
// delta shares items with the snapshots and must not be changed.
func (s *Store) Delta(from uint64) (*schema.ConfigDelta, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	start := slices.IndexFunc(s.links, func(d *schema.ConfigDelta) bool { return d.GetFromRevision() == from })
	if start < 0 {
		return nil, false
	}
	d := compose(s.links[start:])
	if size(d) > maxDeltaItems {
		return nil, false
	}
	return d, true
}
