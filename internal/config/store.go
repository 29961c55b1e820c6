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
	// maxDeltas bounds the deltas kept for peers that lag behind. At 19,000
	// changes per day it covers about 20 minutes.
	maxDeltas = 256
	// maxDeltaItems is the largest number of items and keys in a delta. A peer
	// that needs a larger one gets the full configuration. It also bounds the
	// memory of the kept deltas.
	maxDeltaItems = 4096
	// maxPrevious bounds the superseded snapshots kept within the window. At the
	// design size each one takes 1.6 MB of unshared memory, out of the 64 MB
	// budget of the control plane.
	maxPrevious = 16
)

// Decision is the result of offering a configuration or a delta to a Store.
type Decision int

// Values of Decision.
const (
	// Accepted means that the offered revision is now in force.
	Accepted Decision = iota + 1
	// Same means that the offered revision is the one in force.
	Same
	// Lower means that a higher revision is in force.
	Lower
	// Conflict means that the revision in force has the offered number and other
	// content.
	Conflict
	// Invalid means that the content was rejected as a whole.
	Invalid
	// NeedFull means that the delta does not apply to any kept snapshot, and that
	// the full configuration is needed.
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

// String returns the name used in logs.
func (d Decision) String() string {
	if name, ok := decisionNames[d]; ok {
		return name
	}
	return fmt.Sprintf("decision %d", int(d))
}

// Store holds the configuration in force and decides whether an offered one
// replaces it. The revision in force never decreases. It is safe for concurrent
// use.
type Store struct {
	window  time.Duration
	current atomic.Pointer[Snapshot]

	mu       sync.Mutex
	previous []superseded          // oldest first
	deltas   []*schema.ConfigDelta // consecutive; the last one leads to the revision in force
	used     usedIDs
}

// superseded is an earlier snapshot and the time at which it was replaced.
type superseded struct {
	snapshot *Snapshot
	at       time.Time
}

// NewStore returns an empty store that keeps superseded snapshots available for
// the window.
func NewStore(window time.Duration) *Store {
	return &Store{window: window, used: usedIDs{current: emptySnapshot}}
}

// Current returns the snapshot in force, or nil before the first one is accepted.
func (s *Store) Current() *Snapshot { return s.current.Load() }

// Offer decides about a full configuration and puts it into force if it is
// accepted. The error is nil for Accepted and Same, and a *ValidationError for
// Invalid. The store shares the items of c, which must not be changed afterwards.
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
	b.fromConfig(c)
	if c.GetRevision() == revision && base != emptySnapshot {
		return compareFull(base, c.GetDigest(), b.next.digest[:])
	}
	next, err := b.finish()
	if err != nil {
		return Invalid, err
	}
	s.accept(now, next)
	return Accepted, nil
}

// OfferDelta decides about a delta and puts its result into force if it is
// accepted. The base may be the snapshot in force or an earlier one within the
// window. The decision is NeedFull when the base is not available or when the
// result does not have the digest given in the delta, because its sender had
// another base. The error is nil for Accepted and Same, and a *ValidationError
// for Invalid.
func (s *Store) OfferDelta(now time.Time, d *schema.ConfigDelta) (Decision, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if err := checkDelta(d); err != nil {
		return Invalid, err
	}
	current := s.used.current
	if current == emptySnapshot {
		return NeedFull, errors.Wrap(ErrBaseMismatch, "no configuration is in force")
	}
	if d.GetToRevision() < current.Revision() {
		return Lower, lowerError(d.GetToRevision(), current.Revision())
	}
	if d.GetToRevision() == current.Revision() {
		return compare(current, d.GetDigest())
	}
	base, ok := s.snapshotAt(now, d.GetFromRevision())
	if !ok {
		return NeedFull, errors.Wrapf(ErrBaseMismatch, "revision %d is in force, the delta starts at revision %d, which is not kept", current.Revision(), d.GetFromRevision())
	}
	next, err := applyWith(base, d, &s.used)
	if errors.Is(err, ErrBaseMismatch) {
		return NeedFull, err
	}
	if err != nil {
		return Invalid, err
	}
	s.accept(now, next)
	return Accepted, nil
}

// checkDelta reports faults of a delta that do not depend on its base.
func checkDelta(d *schema.ConfigDelta) error {
	var f faults
	if d.GetToRevision() <= d.GetFromRevision() {
		f.add("to_revision", d.GetToRevision(), fmt.Sprintf("above from_revision, %d", d.GetFromRevision()))
	}
	if len(d.GetDigest()) != DigestSize {
		f.add("digest", unquotedf("%d bytes", len(d.GetDigest())), fmt.Sprintf("%d bytes", DigestSize))
	}
	return f.err()
}

func lowerError(offered, current uint64) error {
	return errors.Errorf("revision %d is lower than revision %d, which is in force", offered, current)
}

// compare decides about content offered under the revision in force.
func compare(current *Snapshot, digest []byte) (Decision, error) {
	if bytes.Equal(current.digest[:], digest) {
		return Same, nil
	}
	return Conflict, errors.Errorf("revision %d is in force with digest %x, offered with digest %x", current.Revision(), current.digest, digest)
}

// compareFull is like compare and also checks the digest that the configuration
// declares, if any.
func compareFull(current *Snapshot, declared, content []byte) (Decision, error) {
	if len(declared) > 0 && !bytes.Equal(declared, content) {
		return compare(current, declared)
	}
	return compare(current, content)
}

// snapshotAt returns the snapshot with the revision: the one in force or an
// earlier one within the window. The caller must hold s.mu.
func (s *Store) snapshotAt(now time.Time, revision uint64) (*Snapshot, bool) {
	if s.used.current.Revision() == revision {
		return s.used.current, true
	}
	for _, p := range s.previous {
		if p.snapshot.Revision() == revision && s.inWindow(now, p) {
			return p.snapshot, true
		}
	}
	return nil, false
}

func (s *Store) inWindow(now time.Time, p superseded) bool {
	return now.Sub(p.at) < s.window
}

// accept puts the next snapshot into force. The caller must hold s.mu.
func (s *Store) accept(now time.Time, next *Snapshot) {
	old := s.used.current
	d := Diff(old, next)
	if old != emptySnapshot {
		s.supersede(now, old)
		s.keepDelta(d)
	}
	s.used.advance(next, d)
	s.current.Store(next)
}

// supersede adds a snapshot to those kept within the window. The caller must hold
// s.mu.
func (s *Store) supersede(now time.Time, old *Snapshot) {
	s.previous = slices.DeleteFunc(s.previous, func(p superseded) bool { return !s.inWindow(now, p) })
	if len(s.previous) == maxPrevious {
		s.previous = slices.Delete(s.previous, 0, 1)
	}
	// The index of agent addresses is large and needed only in the snapshot in force.
	kept := *old
	kept.agents = nil
	s.previous = append(s.previous, superseded{&kept, now})
}

// keepDelta keeps a delta for peers that lag behind. A delta that is too large
// clears the chain, since any delta across it would be too large as well. The
// caller must hold s.mu.
func (s *Store) keepDelta(d *schema.ConfigDelta) {
	if itemCount(d) > maxDeltaItems {
		s.deltas = nil
		return
	}
	if len(s.deltas) == maxDeltas {
		s.deltas = slices.Delete(s.deltas, 0, 1)
	}
	s.deltas = append(s.deltas, d)
}

// Previous returns the snapshots superseded within the window, newest first.
func (s *Store) Previous(now time.Time) []*Snapshot {
	s.mu.Lock()
	defer s.mu.Unlock()
	var out []*Snapshot
	for _, p := range slices.Backward(s.previous) {
		if s.inWindow(now, p) {
			out = append(out, p.snapshot)
		}
	}
	return out
}

// Delta returns the delta from a recent revision to the one in force. It returns
// false when the revision is not recent enough or the delta would be too large.
// The delta shares items with the snapshots and must not be changed.
func (s *Store) Delta(from uint64) (*schema.ConfigDelta, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	start := slices.IndexFunc(s.deltas, func(d *schema.ConfigDelta) bool { return d.GetFromRevision() == from })
	if start < 0 {
		return nil, false
	}
	d := compose(s.deltas[start:])
	if itemCount(d) > maxDeltaItems {
		return nil, false
	}
	return d, true
}
