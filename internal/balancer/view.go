package balancer

import (
	"net/netip"

	"github.com/peridotstall/peridotstall/internal/config"
	"github.com/peridotstall/peridotstall/internal/placement"
	"github.com/peridotstall/peridotstall/internal/schema"
)

// view is everything that decides where a packet goes. It is immutable.
type view struct {
	snapshot *config.Snapshot
	table    *placement.Table
	agents   map[uint32]agent
}

// agent is a target as a balancer sees it.
type agent struct {
	host    string
	address netip.AddrPort
	usable  bool
}

func newView(s *config.Snapshot, usable func(string) bool) *view {
	v := &view{
		snapshot: s,
		table:    placement.FromSnapshot(s),
		agents:   map[uint32]agent{},
	}
	for _, target := range s.Config().GetTargets() {
		address, err := netip.ParseAddrPort(target.GetAgentAddress())
		if err != nil {
			// The snapshot was validated, so that every address parses.
			continue
		}
		v.agents[target.GetId()] = agent{
			host:    target.GetHost(),
			address: address,
			usable:  usable(target.GetHost()),
		}
	}
	return v
}

func (v *view) withHosts(usable func(string) bool) *view {
	next := &view{snapshot: v.snapshot, table: v.table, agents: make(map[uint32]agent, len(v.agents))}
	for id, a := range v.agents {
		a.usable = usable(a.host)
		next.agents[id] = a
	}
	return next
}

// place returns the agent for a plain packet: the first usable candidate, or
// the first one when none looks usable, since the view may be wrong.
func (v *view) place(service uint32, hash uint64) (agent, bool) {
	first, ok := v.table.First(service, hash)
	if !ok {
		return agent{}, false
	}
	if a := v.agents[first]; a.usable {
		return a, true
	}
	var buf [placement.MaxCandidates]uint32
	for _, id := range v.table.Candidates(service, hash, buf[:0]) {
		if a := v.agents[id]; a.usable {
			return a, true
		}
	}
	return v.agents[first], true
}

// placeOpen returns the agent for an opening of the caller package: the first
// usable candidate that has not refused it. Each further attempt without an
// answer goes to another candidate, since the first may be gone unnoticed.
func (v *view) placeOpen(service uint32, hash uint64, open *schema.Open) (agent, bool) {
	var buf [placement.MaxCandidates]uint32
	var usable, rest []agent
	for _, id := range v.table.Candidates(service, hash, buf[:0]) {
		if contains(open.GetTried(), id) {
			continue
		}
		if a := v.agents[id]; a.usable {
			usable = append(usable, a)
		} else {
			rest = append(rest, a)
		}
	}
	list := append(usable, rest...)
	if len(list) == 0 {
		return agent{}, false
	}
	return list[int(open.GetAttempt())%len(list)], true
}

// placePlainHash is the baseline: a hash over the usable targets.
func (v *view) placePlainHash(service uint32, hash uint64) (agent, bool) {
	var usable []agent
	for _, target := range v.table.Targets(service) {
		if a := v.agents[target.ID]; a.usable {
			usable = append(usable, a)
		}
	}
	if len(usable) == 0 {
		return agent{}, false
	}
	return usable[hash%uint64(len(usable))], true
}

func contains(list []uint32, id uint32) bool {
	for _, other := range list {
		if other == id {
			return true
		}
	}
	return false
}
