package config

import (
	"fmt"
	"maps"
	"net/netip"
	"slices"

	"github.com/peridotstall/peridotstall/internal/schema"
)

const (
	// HashKeySize is the size in bytes of the flow hash key, which SipHash-2-4
	// requires.
	HashKeySize = 16

	// maxNameLength (in bytes) and maxLabels bound the size of one item, so that it
	// always fits into a part.
	maxNameLength = 128
	maxLabels     = 64
	// maxSelectorValues bounds the values of one selector requirement.
	maxSelectorValues = 256

	maxWeight      = 10_000
	maxSlots       = 65_535
	maxConnections = 1_000_000
	// maxCapacity allows hosts 100 times as fast as an ordinary one.
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

func (f *faults) checkName(p itemPath, field, value string) {
	if value == "" || !validText(value) {
		f.addAt(p, field, value, allowedName)
	}
}

func validText(s string) bool {
	if len(s) > maxNameLength {
		return false
	}
	for i := range len(s) {
		c := s[i]
		alphanumeric := c >= 'a' && c <= 'z' || c >= 'A' && c <= 'Z' || c >= '0' && c <= '9'
		if !alphanumeric && c != '.' && c != '_' && c != '-' && c != '/' {
			return false
		}
	}
	return true
}

// parseAddress accepts only addresses in the form in which packets are matched.
// An IPv4-mapped IPv6 address, for example, would never equal a packet address.
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

func (f *faults) checkAddress(p itemPath, field, value string) {
	if _, ok := parseAddress(value); !ok {
		f.addAt(p, field, value, allowedAddress)
	}
}

func (f *faults) checkLabels(p itemPath, labels map[string]string) {
	if len(labels) > maxLabels {
		f.addAt(p, "labels", unquotedf("%d labels", len(labels)), fmt.Sprintf("at most %d labels", maxLabels))
	}
	for _, key := range slices.Sorted(maps.Keys(labels)) {
		value := labels[key]
		if key == "" || !validText(key) {
			f.addAt(p, "labels", key, "keyed by "+allowedName)
		}
		if !validText(value) {
			f.addAt(p, fmt.Sprintf("labels[%s]", key), value, allowedValue)
		}
	}
}

func (f *faults) checkSelector(p itemPath, field string, sel *schema.Selector) {
	for i, r := range sel.GetRequirements() {
		path := fmt.Sprintf("%s.requirements[%d]", field, i)
		if r.GetKey() == "" || !validText(r.GetKey()) {
			f.addAt(p, path+".key", r.GetKey(), allowedName)
		}
		f.checkValues(p, path+".values", r)
	}
}

func (f *faults) checkValues(p itemPath, path string, r *schema.Requirement) {
	count := len(r.GetValues())
	switch r.GetOperator() {
	case schema.Requirement_IN, schema.Requirement_NOT_IN:
		if count == 0 || count > maxSelectorValues {
			f.addAt(p, path, unquotedf("%d values", count), fmt.Sprintf("1 to %d values with operator %s", maxSelectorValues, r.GetOperator()))
		}
	case schema.Requirement_EXISTS, schema.Requirement_NOT_EXISTS:
		if count != 0 {
			f.addAt(p, path, unquotedf("%d values", count), "empty with operator "+r.GetOperator().String())
		}
	default:
		f.addAt(p, path+".operator", r.GetOperator(), "IN, NOT_IN, EXISTS or NOT_EXISTS")
	}
	for i, v := range r.GetValues() {
		if !validText(v) {
			f.addAt(p, fmt.Sprintf("%s[%d]", path, i), v, allowedValue)
		}
	}
}

func checkMember(f *faults, p itemPath, m *schema.Member) {
	f.checkName(p, "name", m.GetName())
	f.checkRange(p, "weight", m.GetWeight(), 1, maxWeight)
}

func checkService(f *faults, p itemPath, s *schema.Service) {
	f.checkID(p, s.GetId())
	f.checkName(p, "name", s.GetName())
	if _, known := schema.Mode_name[int32(s.GetMode())]; !known || s.GetMode() == schema.Mode_MODE_UNSPECIFIED {
		f.addAt(p, "mode", s.GetMode(), "DATAGRAM, REQUEST or TCP")
	}
	f.checkAddress(p, "address", s.GetAddress())
	f.checkLabels(p, s.GetLabels())
	// A selector without requirements would send the packets of the service to the
	// targets of all members.
	if len(s.GetTargets().GetRequirements()) == 0 {
		f.addAt(p, "targets.requirements", unquoted("[]"), "at least one requirement")
	}
	f.checkSelector(p, "targets", s.GetTargets())
}

func checkTarget(f *faults, p itemPath, t *schema.Target) {
	f.checkID(p, t.GetId())
	f.checkName(p, "host", t.GetHost())
	f.checkName(p, "zone", t.GetZone())
	f.checkAddress(p, "agent_address", t.GetAgentAddress())
	f.checkLabels(p, t.GetLabels())
	f.checkRange(p, "slots", t.GetSlots(), 1, maxSlots)
	f.checkRange(p, "connections", t.GetConnections(), 1, maxConnections)
	f.checkRange(p, "capacity", t.GetCapacity(), 1, maxCapacity)
}

func (f *faults) checkID(p itemPath, id uint32) {
	if id == 0 {
		f.addAt(p, "id", id, "a number from 1 to 4294967295")
	}
}

func checkPolicy(f *faults, p itemPath, policy *schema.Policy) {
	f.checkName(p, "name", policy.GetName())
	f.checkSelector(p, "services", policy.GetServices())
	checkClasses(f, p, policy.GetClasses())
	switch policy.GetTimeoutAction() {
	case schema.TimeoutAction_OPEN_ON_TIMEOUT, schema.TimeoutAction_ANSWER_UNKNOWN_OUTCOME:
	default:
		f.addAt(p, "timeout_action", policy.GetTimeoutAction(), "OPEN_ON_TIMEOUT or ANSWER_UNKNOWN_OUTCOME")
	}
	f.checkRange(p, "idle_timeout_ms", policy.GetIdleTimeoutMs(), minIdleTimeoutMs, maxDurationMs)
	f.checkRange(p, "drain_limit_ms", policy.GetDrainLimitMs(), 0, maxDurationMs)
}

func checkClasses(f *faults, p itemPath, classes []*schema.Class) {
	if len(classes) == 0 {
		f.addAt(p, "classes", unquoted("[]"), "at least one class")
	}
	var names []string
	var floors uint64
	for i, c := range classes {
		path := fmt.Sprintf("classes[%d]", i)
		f.checkName(p, path+".name", c.GetName())
		if slices.Contains(names, c.GetName()) {
			f.addAt(p, path+".name", c.GetName(), "a name that no other class of the policy has")
		}
		names = append(names, c.GetName())
		floors += uint64(c.GetFloorPercent())
		f.checkRange(p, path+".floor_percent", c.GetFloorPercent(), 0, 100)
		f.checkRange(p, path+".weight", c.GetWeight(), 1, maxWeight)
		f.checkRange(p, path+".queue_limit", c.GetQueueLimit(), 1, maxQueueLimit)
	}
	if floors > 100 {
		f.addAt(p, "classes", unquotedf("a floor sum of %d percent", floors), "a sum of floor_percent of at most 100")
	}
}
