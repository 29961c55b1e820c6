// Package route decides at a balancer which agent gets a packet. A Table is a
// pure function of the configuration and of the view of the hosts.
package route

import (
	"net/netip"
	"slices"

	"github.com/peridotstall/peridotstall/internal/config"
	"github.com/peridotstall/peridotstall/internal/placement"
	"github.com/peridotstall/peridotstall/internal/schema"
	"github.com/peridotstall/peridotstall/internal/wire"
)

// Policy selects how plain packets are placed.
type Policy int

// Values of Policy.
const (
	// Candidates follows the order of candidates of the configuration.
	Candidates Policy = iota
	// PlainHash hashes over the usable targets. It is the baseline for
	// comparison and breaks flows when the set of usable targets changes.
	PlainHash
)

// Agent is a target as a balancer sees it.
type Agent struct {
	// Target is the target ID.
	Target uint32
	// Host is the name of the target's host.
	Host string
	// Address is the frame address of the agent.
	Address netip.AddrPort
	// Usable says whether the target gets new flows.
	Usable bool
}

// Table places packets. It is immutable and safe for concurrent use.
type Table struct {
	policy    Policy
	snapshot  *config.Snapshot
	placement *placement.Table
	agents    map[uint32]Agent
}

// New prepares a table for a configuration and a view of the hosts.
func New(s *config.Snapshot, usable func(host string) bool, policy Policy) *Table {
	t := &Table{
		policy:    policy,
		snapshot:  s,
		placement: placement.FromSnapshot(s),
		agents:    make(map[uint32]Agent, len(s.Config().GetTargets())),
	}
	for _, target := range s.Config().GetTargets() {
		address, err := netip.ParseAddrPort(target.GetAgentAddress())
		if err != nil {
			// The snapshot was validated, so that every address parses.
			continue
		}
		t.agents[target.GetId()] = Agent{
			Target:  target.GetId(),
			Host:    target.GetHost(),
			Address: address,
			Usable:  usable(target.GetHost()),
		}
	}
	return t
}

// WithHosts returns the table for another view of the hosts.
func (t *Table) WithHosts(usable func(host string) bool) *Table {
	next := &Table{
		policy:    t.policy,
		snapshot:  t.snapshot,
		placement: t.placement,
		agents:    make(map[uint32]Agent, len(t.agents)),
	}
	for id, a := range t.agents {
		a.Usable = usable(a.Host)
		next.agents[id] = a
	}
	return next
}

// Snapshot returns the configuration of the table.
func (t *Table) Snapshot() *config.Snapshot {
	return t.snapshot
}

// Order returns the candidates of a flow as this process sees them.
func (t *Table) Order(key placement.Key) []Agent {
	var order []Agent
	for _, id := range t.placement.Candidates(key.Service, t.Hash(key), nil) {
		order = append(order, t.agents[id])
	}
	return order
}

// Hash returns the hash of a flow.
func (t *Table) Hash(key placement.Key) uint64 {
	return t.placement.Hash(key)
}

// Plain returns the agent for a packet of a plain flow.
func (t *Table) Plain(key placement.Key) (Agent, schema.ErrorKind) {
	hash := t.placement.Hash(key)
	place := t.firstUsable
	if t.policy == PlainHash {
		place = t.plainHash
	}
	if a, ok := place(key.Service, hash); ok {
		return a, schema.ErrorKind_ERROR_KIND_NONE
	}
	return Agent{}, schema.ErrorKind_REFUSED_NO_TARGET
}

// Request returns the agent for a packet of the caller package: the owner of
// its token, or a candidate for an opening.
func (t *Table) Request(key placement.Key, data []byte) (Agent, schema.ErrorKind) {
	if target, ok := wire.TokenTarget(data); ok {
		a, known := t.agents[target]
		if !known {
			return Agent{}, schema.ErrorKind_UNKNOWN_OUTCOME
		}
		return a, schema.ErrorKind_ERROR_KIND_NONE
	}
	p, err := wire.DecodeCaller(data)
	if err != nil {
		return Agent{}, schema.ErrorKind_MALFORMED
	}
	hash := placement.RequestHash(t.placement.Hash(key), p.GetRequestId())
	if a, ok := t.opening(key.Service, hash, p.GetOpen()); ok {
		return a, schema.ErrorKind_ERROR_KIND_NONE
	}
	return Agent{}, schema.ErrorKind_REFUSED_NO_TARGET
}

// Stream returns the first usable candidate for a connection that is not among
// those tried.
func (t *Table) Stream(key placement.Key, tried []uint32) (Agent, bool) {
	return t.opening(key.Service, t.Hash(key), &schema.Open{Tried: tried})
}

// firstUsable returns the first usable candidate, or the first one when none
// looks usable, since the view may be wrong.
func (t *Table) firstUsable(service uint32, hash uint64) (Agent, bool) {
	first, ok := t.placement.First(service, hash)
	if !ok {
		return Agent{}, false
	}
	if a := t.agents[first]; a.Usable {
		return a, true
	}
	var buf [placement.MaxCandidates]uint32
	for _, id := range t.placement.Candidates(service, hash, buf[:0]) {
		if a := t.agents[id]; a.Usable {
			return a, true
		}
	}
	return t.agents[first], true
}

// opening returns the first usable candidate that has not refused the request.
// Each further attempt without an answer goes to another candidate, since the
// first may be gone unnoticed.
func (t *Table) opening(service uint32, hash uint64, open *schema.Open) (Agent, bool) {
	var buf [placement.MaxCandidates]uint32
	var usable, rest []Agent
	for _, id := range t.placement.Candidates(service, hash, buf[:0]) {
		if slices.Contains(open.GetTried(), id) {
			continue
		}
		if a := t.agents[id]; a.Usable {
			usable = append(usable, a)
		} else {
			rest = append(rest, a)
		}
	}
	list := append(usable, rest...)
	if len(list) == 0 {
		return Agent{}, false
	}
	return list[int(open.GetAttempt())%len(list)], true
}

func (t *Table) plainHash(service uint32, hash uint64) (Agent, bool) {
	var usable []Agent
	for _, target := range t.placement.Targets(service) {
		if a := t.agents[target.ID]; a.Usable {
			usable = append(usable, a)
		}
	}
	if len(usable) == 0 {
		return Agent{}, false
	}
	return usable[hash%uint64(len(usable))], true
}
