// Package placement maps a flow to an ordered list of candidate targets. The
// result depends on the configuration only, so that all processes at the same
// revision agree without communication.
package placement

import (
	"encoding/binary"
	"math"
	"net/netip"
	"slices"

	"github.com/dchest/siphash"

	"github.com/peridotstall/peridotstall/internal/config"
	"github.com/peridotstall/peridotstall/internal/schema"
)

const (
	// MaxCandidates is the maximum length of a candidate list. With four
	// candidates a flow survives two refusals and one failed host.
	MaxCandidates = 4
	// DirectLimit is the maximum number of targets that are scored one by one.
	// Above it a tree of target sets bounds the work per packet.
	DirectLimit = 32
	// fanOut is the number of subsets into which a set above DirectLimit is
	// partitioned.
	fanOut     = 1 << fanOutBits
	fanOutBits = 3
	// entrySeed and nodeSeed make the scores of targets and sets independent.
	entrySeed = 0x9e3779b97f4a7c15
	nodeSeed  = 0xd1b54a32d192ed03
)

// Key identifies a flow. It is sent with net/rpc, so that the field names are
// part of the protocol.
type Key struct {
	// Service is the numeric ID of the service.
	Service uint32
	// Caller is the address and port of the caller.
	Caller netip.AddrPort
}

// WeightedTarget is a target with its weight.
type WeightedTarget struct {
	// ID is the target ID.
	ID uint32
	// Weight is the configured capacity relative to a standard host, which has
	// 100.
	Weight uint32
}

// ServiceTargets lists the targets of one service.
type ServiceTargets struct {
	// Service is the service ID.
	Service uint32
	// Targets are ordered by ID.
	Targets []WeightedTarget
}

// Table places the flows of all services at one configuration revision. It is
// immutable and safe for concurrent use.
type Table struct {
	revision uint64
	key0     uint64
	key1     uint64
	services map[uint32]*service
}

type service struct {
	targets []WeightedTarget
	root    node
}

// node is a set of targets that is scored as a whole, with the sum of their
// weights. It has either children or at most DirectLimit targets.
type node struct {
	entry
	children []node
	targets  []entry
}

// entry holds the precomputed scoring parameters of a target or node.
type entry struct {
	id   uint32
	seed uint64
	// inverse is 2^64/weight, so that scoring needs no division.
	inverse uint64
}

// NewTable returns a table for the given services. The hash key must be secret
// from callers: they choose their ports and could otherwise direct all their
// flows to one target.
func NewTable(revision uint64, hashKey [16]byte, services []ServiceTargets) *Table {
	t := &Table{
		revision: revision,
		key0:     binary.LittleEndian.Uint64(hashKey[:8]),
		key1:     binary.LittleEndian.Uint64(hashKey[8:]),
		services: make(map[uint32]*service, len(services)),
	}
	for _, s := range services {
		t.services[s.Service] = newService(s.Targets)
	}
	return t
}

// FromSnapshot returns the table of an accepted configuration.
func FromSnapshot(s *config.Snapshot) *Table {
	var services []ServiceTargets
	for _, service := range s.Services() {
		id := service.GetId()
		services = append(services, ServiceTargets{Service: id, Targets: weighted(s.Targets(id))})
	}
	return NewTable(s.Revision(), s.HashKey(), services)
}

func weighted(targets []*schema.Target) []WeightedTarget {
	list := make([]WeightedTarget, 0, len(targets))
	for _, target := range targets {
		list = append(list, WeightedTarget{ID: target.GetId(), Weight: target.GetCapacity()})
	}
	return list
}

// Update returns the table of configuration to, where t is the table of from.
// Services with unchanged targets are shared with t. Snapshots share unchanged
// targets, so that comparing pointers is sufficient.
func (t *Table) Update(from, to *config.Snapshot) *Table {
	if from.HashKey() != to.HashKey() {
		return FromSnapshot(to)
	}
	next := &Table{
		revision: to.Revision(),
		key0:     t.key0,
		key1:     t.key1,
		services: make(map[uint32]*service, len(t.services)),
	}
	for _, s := range to.Services() {
		id := s.GetId()
		targets := to.Targets(id)
		if old := t.services[id]; old != nil && slices.Equal(from.Targets(id), targets) {
			next.services[id] = old
			continue
		}
		next.services[id] = newService(weighted(targets))
	}
	return next
}

// Revision returns the configuration revision of the table.
func (t *Table) Revision() uint64 {
	return t.revision
}

// Hash returns the hash of a flow under the hash key of the configuration.
func (t *Table) Hash(k Key) uint64 {
	var buf [22]byte
	binary.LittleEndian.PutUint32(buf[0:], k.Service)
	ip := k.Caller.Addr().As16()
	copy(buf[4:], ip[:])
	binary.LittleEndian.PutUint16(buf[20:], k.Caller.Port())
	return siphash.Hash(t.key0, t.key1, buf[:])
}

// RequestHash returns the hash that places one request, given the hash of its
// flow. It spreads the requests of one caller over the targets.
func RequestHash(flow, requestID uint64) uint64 {
	return mix(flow ^ mix(requestID))
}

// Candidates appends to out up to MaxCandidates targets that may serve the flow,
// best first. It appends nothing for an unknown service.
func (t *Table) Candidates(serviceID uint32, hash uint64, out []uint32) []uint32 {
	s := t.services[serviceID]
	if s == nil {
		return out
	}
	return s.root.appendCandidates(hash, out)
}

// First returns the first candidate of a flow. The second result is false for a
// service that is unknown or has no targets.
func (t *Table) First(serviceID uint32, hash uint64) (uint32, bool) {
	s := t.services[serviceID]
	if s == nil || len(s.targets) == 0 {
		return 0, false
	}
	return s.root.first(hash), true
}

// SameTargets reports whether a service has equal targets and weights in both
// tables, so that every flow has the same candidates.
func (t *Table) SameTargets(serviceID uint32, other *Table) bool {
	if !t.SameKey(other) {
		return false
	}
	a, b := t.services[serviceID], other.services[serviceID]
	if a == nil || b == nil || len(a.targets) != len(b.targets) {
		return a == b
	}
	for i := range a.targets {
		if a.targets[i] != b.targets[i] {
			return false
		}
	}
	return true
}

// SameKey reports whether both tables hash flows with the same key.
func (t *Table) SameKey(other *Table) bool {
	return t.key0 == other.key0 && t.key1 == other.key1
}

// SingleService returns a table with one service only, to retain an earlier
// revision of it without the memory of all other services.
func (t *Table) SingleService(serviceID uint32) *Table {
	return &Table{
		revision: t.revision,
		key0:     t.key0,
		key1:     t.key1,
		services: map[uint32]*service{serviceID: t.services[serviceID]},
	}
}

// Targets returns the targets of a service, ordered by ID. The caller must not
// modify them.
func (t *Table) Targets(serviceID uint32) []WeightedTarget {
	if s := t.services[serviceID]; s != nil {
		return s.targets
	}
	return nil
}

func newService(targets []WeightedTarget) *service {
	return &service{targets: targets, root: newNode(0, 0, targets)}
}

// newNode partitions targets by bits of a hash of their IDs until each set has
// at most DirectLimit targets. An added target splits at most the set that it
// belongs to, so that the flows of all other sets do not move.
func newNode(index, depth uint32, targets []WeightedTarget) node {
	n := node{entry: newEntry(index, totalWeight(targets))}
	n.seed = mix(n.seed ^ nodeSeed*uint64(depth+1))
	if len(targets) <= DirectLimit {
		n.targets = newEntries(targets)
		return n
	}
	for i, part := range partition(depth, targets) {
		if len(part) > 0 {
			n.children = append(n.children, newNode(uint32(i), depth+1, part))
		}
	}
	return n
}

func partition(depth uint32, targets []WeightedTarget) [fanOut][]WeightedTarget {
	var parts [fanOut][]WeightedTarget
	for _, target := range targets {
		i := mix(uint64(target.ID)) >> (depth * fanOutBits) & (fanOut - 1)
		parts[i] = append(parts[i], target)
	}
	return parts
}

func totalWeight(targets []WeightedTarget) uint64 {
	var sum uint64
	for _, target := range targets {
		sum += uint64(max(target.Weight, 1))
	}
	return sum
}

func newEntries(targets []WeightedTarget) []entry {
	entries := make([]entry, 0, len(targets))
	for _, target := range targets {
		entries = append(entries, newEntry(target.ID, uint64(target.Weight)))
	}
	return entries
}

func newEntry(id uint32, weight uint64) entry {
	return entry{
		id:      id,
		seed:    mix(uint64(id) + entrySeed),
		inverse: math.MaxUint64 / max(weight, 1),
	}
}

func (n *node) first(hash uint64) uint32 {
	for n.children != nil {
		n = &n.children[bestNode(n.children, hash)]
	}
	return n.targets[bestEntry(n.targets, hash)].id
}

// appendCandidates appends the first target of each of the best children. The
// candidates of a flow are thus in different sets.
func (n *node) appendCandidates(hash uint64, out []uint32) []uint32 {
	var top [MaxCandidates]ranked
	count := 0
	for i := range n.children {
		count = insertRanked(&top, count, ranked{index: i, score: score(&n.children[i].entry, hash)})
	}
	for i := range n.targets {
		count = insertRanked(&top, count, ranked{index: i, score: score(&n.targets[i], hash)})
	}
	for _, r := range top[:count] {
		if n.children != nil {
			out = append(out, n.children[r.index].first(hash))
			continue
		}
		out = append(out, n.targets[r.index].id)
	}
	return out
}

func bestEntry(entries []entry, hash uint64) int {
	best, lowestScore := 0, ^uint64(0)
	for i := range entries {
		if s := score(&entries[i], hash); s < lowestScore {
			best, lowestScore = i, s
		}
	}
	return best
}

func bestNode(nodes []node, hash uint64) int {
	best, lowestScore := 0, ^uint64(0)
	for i := range nodes {
		if s := score(&nodes[i].entry, hash); s < lowestScore {
			best, lowestScore = i, s
		}
	}
	return best
}
