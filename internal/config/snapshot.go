package config

import (
	"net/netip"
	"slices"

	"github.com/peridotstall/peridotstall/internal/schema"
)

// Snapshot is a valid configuration with its indexes. It is immutable and safe
// for concurrent use.
type Snapshot struct {
	config *schema.Config
	digest sum

	members  *table[string, *schema.Member]
	services *table[uint32, *schema.Service]
	targets  *table[uint32, *schema.Target]
	policies *table[string, *schema.Policy]

	byAddress map[netip.AddrPort]*schema.Service
	// agents maps agent addresses to target IDs to detect duplicates. It is nil in
	// superseded snapshots of a store.
	agents map[netip.AddrPort]uint32
	// selected and resolved hold the targets and the policy of each service, in
	// the order of the services.
	selected [][]*schema.Target
	resolved []*schema.Policy
}

// emptySnapshot is the base of a snapshot that has no predecessor.
var emptySnapshot = &Snapshot{
	config:   &schema.Config{},
	digest:   hashKeySum(nil),
	members:  newTable[string, *schema.Member](0),
	services: newTable[uint32, *schema.Service](0),
	targets:  newTable[uint32, *schema.Target](0),
	policies: newTable[string, *schema.Policy](0),
}

// defaultPolicy applies to services that no policy matches. Its timeout action
// is the one that never runs work twice.
var defaultPolicy = &schema.Policy{
	Name: "default",
	Classes: []*schema.Class{
		{Name: "default", Weight: 1, QueueLimit: 64},
	},
	TimeoutAction: schema.TimeoutAction_ANSWER_UNKNOWN_OUTCOME,
	IdleTimeoutMs: 60_000,
}

// NewSnapshot validates a configuration and builds its indexes. The error is a
// *ValidationError that lists every fault. The snapshot shares the items of c,
// which must not be changed afterwards.
func NewSnapshot(c *schema.Config) (*Snapshot, error) {
	b := newBuilder(emptySnapshot)
	b.fromConfig(c)
	return b.finish()
}

// Config returns the configuration with its digest and with its items ordered by
// key. It must not be changed.
func (s *Snapshot) Config() *schema.Config { return s.config }

// Revision returns the revision of the configuration.
func (s *Snapshot) Revision() uint64 { return s.config.GetRevision() }

// Digest returns the digest of the content. It does not cover the revision.
func (s *Snapshot) Digest() []byte { return slices.Clone(s.digest[:]) }

// HashKey returns the key of the flow hash.
func (s *Snapshot) HashKey() [16]byte { return [16]byte(s.config.GetHashKey()) }

// Services returns all services ordered by ID.
func (s *Snapshot) Services() []*schema.Service { return s.services.items }

// Service returns the service with the ID; false if there is none.
func (s *Snapshot) Service(id uint32) (*schema.Service, bool) { return s.services.find(id) }

// ServiceByAddress returns the service with this address and port; false if
// there is none. IPv4-mapped IPv6 addresses match their IPv4 address.
func (s *Snapshot) ServiceByAddress(addr netip.AddrPort) (*schema.Service, bool) {
	// Dual-stack sockets report IPv4 addresses in the IPv4-mapped form.
	service, ok := s.byAddress[netip.AddrPortFrom(addr.Addr().Unmap(), addr.Port())]
	return service, ok
}

// Target returns the target with the ID; false if there is none.
func (s *Snapshot) Target(id uint32) (*schema.Target, bool) { return s.targets.find(id) }

// Targets returns the targets that the selector of the service matches, ordered
// by ID. It returns nil for an unknown service.
func (s *Snapshot) Targets(service uint32) []*schema.Target {
	i, ok := slices.BinarySearch(s.services.keys, service)
	if !ok {
		return nil
	}
	return s.selected[i]
}

// Policy returns the policy of the service. It is never nil: a default policy
// applies when no policy matches or the service is unknown.
func (s *Snapshot) Policy(service uint32) *schema.Policy {
	i, ok := slices.BinarySearch(s.services.keys, service)
	if !ok {
		return defaultPolicy
	}
	return s.resolved[i]
}

// Member returns the member with the name; false if there is none.
func (s *Snapshot) Member(name string) (*schema.Member, bool) { return s.members.find(name) }
