package steering

import (
	"net/netip"
	"slices"
	"sync/atomic"

	"github.com/peridotstall/peridotstall/internal/registry"
	"github.com/peridotstall/peridotstall/internal/segment"
)

// Standings of a target.
const (
	// confirmed targets are those that their agent names, or that are alone on their host
	// while its agent has not been heard.
	confirmed uint32 = iota
	// unconfirmed targets share their host with others, and its agent has not been heard.
	unconfirmed
	// disowned targets are not those that the agent on their host names.
	disowned
)

// Confirmed reports whether the target may get segments.
func (t *Target) Confirmed() bool { return t.standing.Load() == confirmed }

// Disowned reports whether the agent on the target's host names another target.
func (t *Target) Disowned() bool { return t.standing.Load() == disowned }

// host holds the targets whose entries name one host. Several writers may publish entries
// for it, but it has one agent, and only that agent knows which target is beside it. The
// methods may be called for a nil host.
type host struct {
	targets []*Target
	// agent is what the agent said last; nil if it has not been heard. Successive views
	// share it.
	agent *atomic.Pointer[segment.Identity]
}

// next returns the host for the next view, without targets.
func (h *host) next() *host {
	if h == nil {
		return &host{agent: &atomic.Pointer[segment.Identity]{}}
	}
	return &host{agent: h.agent}
}

// targetAt returns the target of the same service and address as an entry, or nil.
func (h *host) targetAt(info *registry.Target) *Target {
	if h == nil {
		return nil
	}
	for _, t := range h.targets {
		if t.Info.Service == info.Service && t.Info.Address == info.Address {
			return t
		}
	}
	return nil
}

func (h *host) has(t *Target) bool { return h != nil && slices.Contains(h.targets, t) }

// hasSuccessor reports whether any target on the host may have taken the place of one that
// is gone.
func (h *host) hasSuccessor() bool {
	return h != nil && slices.ContainsFunc(h.targets, func(t *Target) bool { return !t.Disowned() })
}

// named returns the target that the agent names, or nil. If the agent names a port that no
// entry of its service has, the newest incarnation of the service is meant: the address in
// the entry need not be the one at which the target receives segments.
func (h *host) named(identity segment.Identity) *Target {
	var newest *Target
	for _, t := range h.targets {
		if !identity.NamesService(t.identity) {
			continue
		}
		if identity.Port == t.identity.Port {
			return t
		}
		if newest == nil || t.Info.Born > newest.Info.Born {
			newest = t
		}
	}
	return newest
}

// target returns the target that gets the host's segments; nil if none is confirmed.
func (h *host) target() *Target {
	if h == nil {
		return nil
	}
	for _, t := range h.targets {
		if t.Confirmed() {
			return t
		}
	}
	return nil
}

// settle sets the standing of the targets.
func (h *host) settle() {
	identity := h.agent.Load()
	for _, t := range h.targets {
		standing := confirmed
		switch {
		case identity == nil && len(h.targets) > 1:
			standing = unconfirmed
		case identity != nil && h.named(*identity) != t:
			standing = disowned
		}
		t.standing.Store(standing)
	}
}

// TargetOn returns the target that gets the segments for a host; nil if there is none, or
// if entries disagree on it and the agent has not been heard.
func (v *View) TargetOn(address netip.Addr) *Target { return v.hosts[address].target() }

// HasHost reports whether any entry names a host.
func (v *View) HasHost(address netip.Addr) bool { return v.hosts[address] != nil }

// Identify records what the agent on a host says of its target. An identity without a hash or
// a port does not replace a fuller one of the same service. It returns the target, nil if no
// entry describes it, and the targets that the agent disowns from now on.
func (v *View) Identify(address netip.Addr, identity segment.Identity) (t *Target, newlyDisowned []*Target) {
	h := v.hosts[address]
	if h == nil {
		return nil, nil
	}
	switch last := h.agent.Load(); {
	case last != nil && identity.Service == 0 && last.NamesService(identity):
		identity = *last
	case last == nil || *last != identity:
		h.agent.Store(&identity)
	}
	t = h.named(identity)
	for _, other := range h.targets {
		standing := disowned
		if other == t {
			standing = confirmed
		}
		if other.standing.Swap(standing) != standing && standing == disowned {
			newlyDisowned = append(newlyDisowned, other)
		}
	}
	return t, newlyDisowned
}

// Pinged returns one target for each host: the one that gets its segments, or any if there
// is none.
func (v *View) Pinged() []*Target {
	out := make([]*Target, 0, len(v.hosts))
	for _, h := range v.hosts {
		if t := h.target(); t != nil {
			out = append(out, t)
		} else {
			out = append(out, h.targets[0])
		}
	}
	return out
}
