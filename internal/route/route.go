// Package route decides at a balancer which agent gets a packet. A Table is a
// pure function of the configuration and of the view of the hosts.
package route

import (
	"maps"
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
}

// Table places packets. It is immutable and safe for concurrent use.
type Table struct {
	policy    Policy
	snapshot  *config.Snapshot
	placement *placement.Table
	agents    map[uint32]Agent
	// byHost holds the targets of each host, and unusable those that get no new
	// flows. A change of few hosts then costs little: most targets are usable.
	byHost   map[string][]uint32
	unusable map[uint32]bool
}

// New prepares a table for a configuration and a view of the hosts.
func New(s *config.Snapshot, usable func(host string) bool, policy Policy) *Table {
	t := &Table{
		policy:    policy,
		snapshot:  s,
		placement: placement.FromSnapshot(s),
		agents:    make(map[uint32]Agent, len(s.Config().GetTargets())),
		byHost:    map[string][]uint32{},
	}
	for _, target := range s.Config().GetTargets() {
		t.put(target)
	}
	return t.WithHosts(usable)
}

// put adds a target. The list of its host is copied, since tables share lists.
func (t *Table) put(target *schema.Target) {
	address, err := netip.ParseAddrPort(target.GetAgentAddress())
	if err != nil {
		// The snapshot was validated, so that every address parses.
		return
	}
	id, host := target.GetId(), target.GetHost()
	t.agents[id] = Agent{Target: id, Host: host, Address: address}
	t.byHost[host] = append(slices.Clone(t.byHost[host]), id)
}

// remove takes a target out.
func (t *Table) remove(id uint32) {
	host := t.agents[id].Host
	t.byHost[host] = slices.DeleteFunc(slices.Clone(t.byHost[host]), func(other uint32) bool { return other == id })
	if len(t.byHost[host]) == 0 {
		delete(t.byHost, host)
	}
	delete(t.agents, id)
	delete(t.unusable, id)
}

// WithConfig returns the table for the next configuration. Only targets that
// changed are looked at, since a change usually concerns few of them.
func (t *Table) WithConfig(s *config.Snapshot, usable func(host string) bool) *Table {
	delta := config.Diff(t.snapshot, s)
	next := *t
	next.snapshot = s
	next.placement = t.placement.Update(t.snapshot, s)
	next.agents = maps.Clone(t.agents)
	next.byHost = maps.Clone(t.byHost)
	next.unusable = maps.Clone(t.unusable)
	for _, id := range delta.GetRemovedTargets() {
		next.remove(id)
	}
	for _, target := range delta.GetTargets() {
		next.remove(target.GetId())
		next.put(target)
		next.setHost(target.GetHost(), usable(target.GetHost()))
	}
	return &next
}

// WithHosts returns the table for another view of all hosts.
func (t *Table) WithHosts(usable func(host string) bool) *Table {
	next := *t
	next.unusable = map[uint32]bool{}
	for host := range t.byHost {
		next.setHost(host, usable(host))
	}
	return &next
}

// WithChanges returns the table for a view in which only some hosts changed.
func (t *Table) WithChanges(changed []string, usable func(host string) bool) *Table {
	next := *t
	next.unusable = maps.Clone(t.unusable)
	for _, host := range changed {
		next.setHost(host, usable(host))
	}
	return &next
}

func (t *Table) setHost(host string, usable bool) {
	for _, id := range t.byHost[host] {
		if usable {
			delete(t.unusable, id)
			continue
		}
		t.unusable[id] = true
	}
}

// Usable reports whether a target gets new flows.
func (t *Table) Usable(target uint32) bool {
	return !t.unusable[target]
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
	if t.Usable(first) {
		return t.agents[first], true
	}
	var buf [placement.MaxCandidates]uint32
	for _, id := range t.placement.Candidates(service, hash, buf[:0]) {
		if t.Usable(id) {
			return t.agents[id], true
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
		if t.Usable(id) {
			usable = append(usable, t.agents[id])
		} else {
			rest = append(rest, t.agents[id])
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
		if t.Usable(target.ID) {
			usable = append(usable, t.agents[target.ID])
		}
	}
	if len(usable) == 0 {
		return Agent{}, false
	}
	return usable[hash%uint64(len(usable))], true
}
