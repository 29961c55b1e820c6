// Package placement maps a flow to an ordered list of candidate targets. The
// result depends on the configuration alone, so that all processes with the
// same revision agree without any exchange.
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
	// MaxCandidates is the length of the candidate list. Four allow two
	// refusals and one failed host before a flow is refused.
	MaxCandidates = 4
	// DirectLimit is the largest number of targets that are compared one by
	// one. Above it a tree of sets keeps the work per packet bounded.
	DirectLimit = 32
	// fanOut is the number of parts into which a larger set is divided.
	fanOut     = 1 << fanOutBits
	fanOutBits = 3
	// entrySeed and nodeSeed keep the scores of targets and sets independent.
	entrySeed = 0x9e3779b97f4a7c15
	nodeSeed  = 0xd1b54a32d192ed03
)

// Key identifies a flow of a service.
type Key struct {
	// Service is the numeric ID of the service.
	Service uint32
	// Caller is the address and port of the caller.
	Caller netip.AddrPort
}

// Weighted is a target with its relative capacity.
type Weighted struct {
	// ID is the target ID.
	ID uint32
	// Weight is the configured capacity; 100 is a host of ordinary speed.
	Weight uint32
}

// ServiceTargets lists the targets of one service.
type ServiceTargets struct {
	// Service is the service ID.
	Service uint32
	// Targets are the targets in the order of their IDs.
	Targets []Weighted
}

// Table places the flows of all services of one configuration revision. It is
// immutable and safe for concurrent use.
type Table struct {
	revision uint64
	key0     uint64
	key1     uint64
	services map[uint32]*service
}

// service holds the prepared targets of one service.
type service struct {
	targets []Weighted
	root    node
}

// node is a set of targets that is chosen as a whole by its summed weight. It
// has either children or, up to DirectLimit, the targets themselves.
type node struct {
	entry
	children []node
	members  []entry
}

// entry is a target or node prepared for scoring.
type entry struct {
	id   uint32
	seed uint64
	// inverse is 2^64/weight, so that scoring multiplies instead of dividing.
	inverse uint64
}

// NewTable prepares a table. The hash key is secret from callers, who choose
// their ports and could otherwise aim at one target.
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

// FromSnapshot prepares the table of an accepted configuration.
func FromSnapshot(s *config.Snapshot) *Table {
	var services []ServiceTargets
	for _, service := range s.Services() {
		id := service.GetId()
		services = append(services, ServiceTargets{Service: id, Targets: weighted(s.Targets(id))})
	}
	return NewTable(s.Revision(), s.HashKey(), services)
}

func weighted(targets []*schema.Target) []Weighted {
	list := make([]Weighted, 0, len(targets))
	for _, target := range targets {
		list = append(list, Weighted{ID: target.GetId(), Weight: target.GetCapacity()})
	}
	return list
}

// Update prepares the table of the next configuration. Services whose targets are
// unchanged keep what was prepared; snapshots share unchanged targets, so that
// comparing pointers is enough.
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

// Hash returns the keyed hash of a flow.
func (t *Table) Hash(k Key) uint64 {
	var buf [22]byte
	binary.LittleEndian.PutUint32(buf[0:], k.Service)
	ip := k.Caller.Addr().As16()
	copy(buf[4:], ip[:])
	binary.LittleEndian.PutUint16(buf[20:], k.Caller.Port())
	return siphash.Hash(t.key0, t.key1, buf[:])
}

// RequestHash returns the hash by which one request of a caller is placed, so
// that the requests of one caller are spread over the targets.
func RequestHash(flow, requestID uint64) uint64 {
	return mix(flow ^ mix(requestID))
}

// Candidates appends to out the targets that may serve the flow, best first,
// at most MaxCandidates. The result is empty for an unknown service.
func (t *Table) Candidates(serviceID uint32, hash uint64, out []uint32) []uint32 {
	s := t.services[serviceID]
	if s == nil {
		return out
	}
	return s.root.appendCandidates(hash, out)
}

// First returns the first candidate of a flow.
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

// Only returns a table that holds a single service, to keep an earlier revision
// without the memory of all its services.
func (t *Table) Only(serviceID uint32) *Table {
	return &Table{
		revision: t.revision,
		key0:     t.key0,
		key1:     t.key1,
		services: map[uint32]*service{serviceID: t.services[serviceID]},
	}
}

// Targets returns the targets of a service in the order of their IDs.
func (t *Table) Targets(serviceID uint32) []Weighted {
	if s := t.services[serviceID]; s != nil {
		return s.targets
	}
	return nil
}

func newService(targets []Weighted) *service {
	return &service{targets: targets, root: newNode(0, 0, targets)}
}

// newNode divides targets by bits of a hash of their IDs until a set is small
// enough. An added target splits at most the one set that it belongs to, so
// that flows of all other sets stay where they are.
func newNode(index, depth uint32, targets []Weighted) node {
	n := node{entry: newEntry(index, totalWeight(targets))}
	n.seed = mix(n.seed ^ nodeSeed*uint64(depth+1))
	if len(targets) <= DirectLimit {
		n.members = prepare(targets)
		return n
	}
	for i, part := range divide(depth, targets) {
		if len(part) > 0 {
			n.children = append(n.children, newNode(uint32(i), depth+1, part))
		}
	}
	return n
}

func divide(depth uint32, targets []Weighted) [fanOut][]Weighted {
	var parts [fanOut][]Weighted
	for _, target := range targets {
		i := mix(uint64(target.ID)) >> (depth * fanOutBits) & (fanOut - 1)
		parts[i] = append(parts[i], target)
	}
	return parts
}

func totalWeight(targets []Weighted) uint64 {
	var sum uint64
	for _, target := range targets {
		sum += uint64(max(target.Weight, 1))
	}
	return sum
}

func prepare(targets []Weighted) []entry {
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
	return n.members[bestEntry(n.members, hash)].id
}

// appendCandidates takes the first target of each of the best children. The
// candidates of one flow are thus in different sets.
func (n *node) appendCandidates(hash uint64, out []uint32) []uint32 {
	var top [MaxCandidates]ranked
	count := 0
	for i := range n.children {
		count = insert(&top, count, ranked{index: i, score: score(&n.children[i].entry, hash)})
	}
	for i := range n.members {
		count = insert(&top, count, ranked{index: i, score: score(&n.members[i], hash)})
	}
	for _, r := range top[:count] {
		if n.children != nil {
			out = append(out, n.children[r.index].first(hash))
			continue
		}
		out = append(out, n.members[r.index].id)
	}
	return out
}

func bestEntry(entries []entry, hash uint64) int {
	found, lowest := 0, ^uint64(0)
	for i := range entries {
		if s := score(&entries[i], hash); s < lowest {
			found, lowest = i, s
		}
	}
	return found
}

func bestNode(nodes []node, hash uint64) int {
	found, lowest := 0, ^uint64(0)
	for i := range nodes {
		if s := score(&nodes[i].entry, hash); s < lowest {
			found, lowest = i, s
		}
	}
	return found
}
