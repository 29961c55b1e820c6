package config

import (
	"fmt"
	"maps"
	"net/netip"
	"slices"

	"github.com/peridotstall/peridotstall/internal/schema"
)

const (
	// HashKeySize is the size of the key of the flow hash in bytes, as SipHash-2-4 requires.
	HashKeySize = 16

	// maxName and maxLabels bound one item, so that it always fits into a part.
	maxName   = 128
	maxLabels = 64
	// maxValues bounds the values of one selector requirement.
	maxValues = 256

	maxWeight      = 10_000
	maxSlots       = 65_535
	maxConnections = 1_000_000
	// maxCapacity allows 100 times the speed of an ordinary host.
	maxCapacity   = 10_000
	maxQueueLimit = 65_536
	// minIdleTimeoutMs keeps a flow for longer than a round trip between regions.
	minIdleTimeoutMs = 100
	maxDurationMs    = 86_400_000
)

const (
	allowedName    = "1 to 128 letters, digits, '.', '_', '-' or '/'"
	allowedValue   = "at most 128 letters, digits, '.', '_', '-' or '/'"
	allowedAddress = "an IP address and a port, such as 192.0.2.1:443, neither unspecified nor multicast, without zone"
)

func (f *faults) name(p place, field, value string) {
	if value == "" || !validText(value) {
		f.at(p, field, value, allowedName)
	}
}

func validText(s string) bool {
	if len(s) > maxName {
		return false
	}
	for i := range len(s) {
		c := s[i]
		letter := c >= 'a' && c <= 'z' || c >= 'A' && c <= 'Z' || c >= '0' && c <= '9'
		if !letter && c != '.' && c != '_' && c != '-' && c != '/' {
			return false
		}
	}
	return true
}

// parseAddress accepts only the form that callers are matched by: an
// IPv4-mapped IPv6 address would never equal the address of a packet.
func parseAddress(s string) (netip.AddrPort, bool) {
	ap, err := netip.ParseAddrPort(s)
	if err != nil {
		return netip.AddrPort{}, false
	}
	a := ap.Addr()
	if ap.Port() == 0 || a.IsUnspecified() || a.IsMulticast() || a.Is4In6() || a.Zone() != "" {
		return netip.AddrPort{}, false
	}
	return ap, true
}

func (f *faults) address(p place, field, value string) {
	if _, ok := parseAddress(value); !ok {
		f.at(p, field, value, allowedAddress)
	}
}

func (f *faults) labels(p place, labels map[string]string) {
	if len(labels) > maxLabels {
		f.at(p, "labels", figuref("%d labels", len(labels)), fmt.Sprintf("at most %d labels", maxLabels))
	}
	for _, key := range slices.Sorted(maps.Keys(labels)) {
		value := labels[key]
		if key == "" || !validText(key) {
			f.at(p, "labels", key, "keyed by "+allowedName)
		}
		if !validText(value) {
			f.at(p, fmt.Sprintf("labels[%s]", key), value, allowedValue)
		}
	}
}

func (f *faults) selector(p place, field string, sel *schema.Selector) {
	for i, r := range sel.GetRequirements() {
		path := fmt.Sprintf("%s.requirements[%d]", field, i)
		if r.GetKey() == "" || !validText(r.GetKey()) {
			f.at(p, path+".key", r.GetKey(), allowedName)
		}
		f.values(p, path+".values", r)
	}
}

func (f *faults) values(p place, path string, r *schema.Requirement) {
	count := len(r.GetValues())
	switch r.GetOperator() {
	case schema.Requirement_IN, schema.Requirement_NOT_IN:
		if count == 0 || count > maxValues {
			f.at(p, path, figuref("%d values", count), fmt.Sprintf("1 to %d values with operator %s", maxValues, r.GetOperator()))
		}
	case schema.Requirement_EXISTS, schema.Requirement_NOT_EXISTS:
		if count != 0 {
			f.at(p, path, figuref("%d values", count), "empty with operator "+r.GetOperator().String())
		}
	default:
		f.at(p, path+".operator", r.GetOperator(), "IN, NOT_IN, EXISTS or NOT_EXISTS")
	}
	for i, v := range r.GetValues() {
		if !validText(v) {
			f.at(p, fmt.Sprintf("%s[%d]", path, i), v, allowedValue)
		}
	}
}

func checkMember(f *faults, p place, m *schema.Member) {
	f.name(p, "name", m.GetName())
	f.number(p, "weight", m.GetWeight(), 1, maxWeight)
}

func checkService(f *faults, p place, s *schema.Service) {
	f.id(p, s.GetId())
	f.name(p, "name", s.GetName())
	if _, known := schema.Mode_name[int32(s.GetMode())]; !known || s.GetMode() == schema.Mode_MODE_UNSPECIFIED {
		f.at(p, "mode", s.GetMode(), "DATAGRAM, REQUEST or TCP")
	}
	f.address(p, "address", s.GetAddress())
	f.labels(p, s.GetLabels())
	// A service without requirements would send its packets to the targets of all members.
	if len(s.GetTargets().GetRequirements()) == 0 {
		f.at(p, "targets.requirements", figure("[]"), "at least one requirement")
	}
	f.selector(p, "targets", s.GetTargets())
}

func checkTarget(f *faults, p place, t *schema.Target) {
	f.id(p, t.GetId())
	f.name(p, "host", t.GetHost())
	f.name(p, "zone", t.GetZone())
	f.address(p, "agent_address", t.GetAgentAddress())
	f.labels(p, t.GetLabels())
	f.number(p, "slots", t.GetSlots(), 1, maxSlots)
	f.number(p, "connections", t.GetConnections(), 1, maxConnections)
	f.number(p, "capacity", t.GetCapacity(), 1, maxCapacity)
}

func (f *faults) id(p place, id uint32) {
	if id == 0 {
		f.at(p, "id", id, "a number from 1 to 4294967295")
	}
}

func checkPolicy(f *faults, p place, policy *schema.Policy) {
	f.name(p, "name", policy.GetName())
	f.selector(p, "services", policy.GetServices())
	checkClasses(f, p, policy.GetClasses())
	switch policy.GetTimeoutAction() {
	case schema.TimeoutAction_OPEN_ON_TIMEOUT, schema.TimeoutAction_ANSWER_UNKNOWN_OUTCOME:
	default:
		f.at(p, "timeout_action", policy.GetTimeoutAction(), "OPEN_ON_TIMEOUT or ANSWER_UNKNOWN_OUTCOME")
	}
	f.number(p, "idle_timeout_ms", policy.GetIdleTimeoutMs(), minIdleTimeoutMs, maxDurationMs)
	f.number(p, "drain_limit_ms", policy.GetDrainLimitMs(), 0, maxDurationMs)
}

func checkClasses(f *faults, p place, classes []*schema.Class) {
	if len(classes) == 0 {
		f.at(p, "classes", figure("[]"), "at least one class")
	}
	var names []string
	var floors uint64
	for i, c := range classes {
		path := fmt.Sprintf("classes[%d]", i)
		f.name(p, path+".name", c.GetName())
		if slices.Contains(names, c.GetName()) {
			f.at(p, path+".name", c.GetName(), "a name that no other class of the policy has")
		}
		names = append(names, c.GetName())
		floors += uint64(c.GetFloorPercent())
		f.number(p, path+".floor_percent", c.GetFloorPercent(), 0, 100)
		f.number(p, path+".weight", c.GetWeight(), 1, maxWeight)
		f.number(p, path+".queue_limit", c.GetQueueLimit(), 1, maxQueueLimit)
	}
	if floors > 100 {
		f.at(p, "classes", figuref("a floor sum of %d percent", floors), "a sum of floor_percent of at most 100")
	}
}
