// Package route selects the agent for each packet at a balancer. A Table depends
// only on the configuration and the view of the hosts.
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

// Policy selects how packets of plain flows are placed.
type Policy int

// Values of Policy.
const (
	// Candidates selects the first usable candidate of the configuration.
	Candidates Policy = iota
	// PlainHash hashes over the usable targets. It is a baseline for
	// comparison and breaks flows when the set of usable targets changes.
	PlainHash
)

// Agent is the agent of a target.
type Agent struct {
	// Target is the target ID.
	Target uint32
	// Host is the name of the target's host.
	Host string
	// Address is the address at which the agent receives frames.
	Address netip.AddrPort
}

// Table maps packets to agents. It is immutable and safe for concurrent use.
type Table struct {
	policy    Policy
	snapshot  *config.Snapshot
	placement *placement.Table
	agents    map[uint32]Agent
	// byHost holds the targets of each host, unusable the targets that get no
	// new flows. Most targets are usable, so that copying unusable for a change
	// of a few hosts is cheap.
	byHost   map[string][]uint32
	unusable map[uint32]bool
}

// New returns a table for a configuration. The function usable reports whether a
// host may get new flows.
func New(s *config.Snapshot, usable func(host string) bool, policy Policy) *Table {
	t := &Table{
		policy:    policy,
		snapshot:  s,
		placement: placement.FromSnapshot(s),
		agents:    make(map[uint32]Agent, len(s.Config().GetTargets())),
		byHost:    map[string][]uint32{},
	}
	for _, target := range s.Config().GetTargets() {
		t.addTarget(target)
	}
	return t.WithHosts(usable)
}

// addTarget adds a target. It copies the target list of the host, since tables
// share these lists.
func (t *Table) addTarget(target *schema.Target) {
	address, err := netip.ParseAddrPort(target.GetAgentAddress())
	if err != nil {
		// Cannot happen: validation of the snapshot parsed every address.
		return
	}
	id, host := target.GetId(), target.GetHost()
	t.agents[id] = Agent{Target: id, Host: host, Address: address}
	t.byHost[host] = append(slices.Clone(t.byHost[host]), id)
}

func (t *Table) removeTarget(id uint32) {
	host := t.agents[id].Host
	t.byHost[host] = slices.DeleteFunc(slices.Clone(t.byHost[host]), func(other uint32) bool { return other == id })
	if len(t.byHost[host]) == 0 {
		delete(t.byHost, host)
	}
	delete(t.agents, id)
	delete(t.unusable, id)
}

// WithConfig returns the table for the next configuration. It updates only the
// targets that changed, since a change usually concerns few of them.
func (t *Table) WithConfig(s *config.Snapshot, usable func(host string) bool) *Table {
	delta := config.Diff(t.snapshot, s)
	next := *t
	next.snapshot = s
	next.placement = t.placement.Update(t.snapshot, s)
	next.agents = maps.Clone(t.agents)
	next.byHost = maps.Clone(t.byHost)
	next.unusable = maps.Clone(t.unusable)
	for _, id := range delta.GetRemovedTargets() {
		next.removeTarget(id)
	}
	for _, target := range delta.GetTargets() {
		next.removeTarget(target.GetId())
		next.addTarget(target)
		next.setHost(target.GetHost(), usable(target.GetHost()))
	}
	return &next
}

// WithHosts returns the table for a new view of all hosts.
func (t *Table) WithHosts(usable func(host string) bool) *Table {
	next := *t
	next.unusable = map[uint32]bool{}
	for host := range t.byHost {
		next.setHost(host, usable(host))
	}
	return &next
}

// WithChangedHosts returns the table for a view in which only the given hosts
// changed.
func (t *Table) WithChangedHosts(changed []string, usable func(host string) bool) *Table {
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

// Usable reports whether a target may get new flows.
func (t *Table) Usable(target uint32) bool {
	return !t.unusable[target]
}

// Snapshot returns the configuration of the table.
func (t *Table) Snapshot() *config.Snapshot {
	return t.snapshot
}

// Candidates returns the agents of the candidates of a flow, best first.
func (t *Table) Candidates(key placement.Key) []Agent {
	var agents []Agent
	for _, id := range t.placement.Candidates(key.Service, t.Hash(key), nil) {
		agents = append(agents, t.agents[id])
	}
	return agents
}

// Hash returns the hash of a flow.
func (t *Table) Hash(key placement.Key) uint64 {
	return t.placement.Hash(key)
}

// Plain returns the agent for a packet of a plain flow, or the error kind
// REFUSED_NO_TARGET.
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

// Request returns the agent for a packet of the caller package: the target of
// its token or, for an opening, a candidate. Without one it returns the error
// kind to answer with.
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
	if a, ok := t.openingCandidate(key.Service, hash, p.GetOpen()); ok {
		return a, schema.ErrorKind_ERROR_KIND_NONE
	}
	return Agent{}, schema.ErrorKind_REFUSED_NO_TARGET
}

// Stream returns the agent of the best candidate for a connection that is not
// among those tried, usable ones first. The second result is false when none is
// left.
func (t *Table) Stream(key placement.Key, tried []uint32) (Agent, bool) {
	return t.openingCandidate(key.Service, t.Hash(key), &schema.Open{Tried: tried})
}

// firstUsable returns the first usable candidate. If no candidate is usable it
// returns the first one, since the view may be wrong.
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

// openingCandidate returns a candidate that has not refused the request, usable
// ones first. Each further attempt without an answer goes to the next one, since
// the failure of the previous one may not have been detected.
func (t *Table) openingCandidate(service uint32, hash uint64, open *schema.Open) (Agent, bool) {
	var buf [placement.MaxCandidates]uint32
	var usable, unusable []Agent
	for _, id := range t.placement.Candidates(service, hash, buf[:0]) {
		if slices.Contains(open.GetTried(), id) {
			continue
		}
		if t.Usable(id) {
			usable = append(usable, t.agents[id])
		} else {
			unusable = append(unusable, t.agents[id])
		}
	}
	list := append(usable, unusable...)
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
