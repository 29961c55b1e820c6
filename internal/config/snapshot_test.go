package config

import (
	"net/netip"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/peridotstall/peridotstall/internal/schema"
)

func targetIDs(s *Snapshot, service uint32) []uint32 {
	var ids []uint32
	for _, t := range s.Targets(service) {
		ids = append(ids, t.GetId())
	}
	return ids
}

// Guards against indexes that depend on the order of the items in the file.
func TestSnapshotIndexes(t *testing.T) {
	c := qt.New(t)
	s, err := NewSnapshot(testConfig(7))
	c.Assert(err, qt.IsNil)
	c.Check(s.Revision(), qt.Equals, uint64(7))
	c.Check(s.Services()[0].GetId(), qt.Equals, uint32(1))
	c.Check(targetIDs(s, 1), qt.DeepEquals, []uint32{1, 2})
	c.Check(targetIDs(s, 2), qt.DeepEquals, []uint32{3, 4})
	c.Check(targetIDs(s, 9), qt.HasLen, 0)
	c.Check(s.Policy(1).GetName(), qt.Equals, "all")
	c.Check(s.Policy(2).GetName(), qt.Equals, "uploads")
	c.Check(s.Policy(9).GetName(), qt.Equals, "default")
	found, ok := s.ServiceByAddress(netip.MustParseAddrPort("[::ffff:198.18.0.2]:80"))
	c.Check(ok, qt.IsTrue)
	c.Check(found.GetId(), qt.Equals, uint32(1))
	_, ok = s.ServiceByAddress(netip.MustParseAddrPort("198.18.0.2:81"))
	c.Check(ok, qt.IsFalse)
}

// Guards against a selector operator that is evaluated wrongly, with and without
// the label index.
func TestSelectors(t *testing.T) {
	for _, test := range []struct {
		about string
		op    schema.Requirement_Operator
		key   string
		value []string
		want  []uint32
	}{
		{"one value", schema.Requirement_IN, "serves", []string{"front"}, []uint32{1, 2}},
		{"two values", schema.Requirement_IN, "serves", []string{"front", "images"}, []uint32{1, 2, 3, 4}},
		{"not in, label absent", schema.Requirement_NOT_IN, "other", []string{"x"}, []uint32{1, 2, 3, 4}},
		{"not in", schema.Requirement_NOT_IN, "serves", []string{"front"}, []uint32{3, 4}},
		{"exists", schema.Requirement_EXISTS, "serves", nil, []uint32{1, 2, 3, 4}},
		{"exists, label absent", schema.Requirement_EXISTS, "other", nil, nil},
		{"not exists", schema.Requirement_NOT_EXISTS, "serves", nil, nil},
	} {
		t.Run(test.about, func(t *testing.T) {
			c := qt.New(t)
			sel := &schema.Selector{Requirements: []*schema.Requirement{{Key: test.key, Operator: test.op, Values: test.value}}}
			s, err := NewSnapshot(modified(1, func(c *schema.Config) { c.Services[1].Targets = sel }))
			c.Assert(err, qt.IsNil)
			c.Check(targetIDs(s, 1), qt.DeepEquals, test.want)
			var direct []uint32
			for _, target := range filter(s.Config().GetTargets(), sel) {
				direct = append(direct, target.GetId())
			}
			c.Check(direct, qt.DeepEquals, test.want)
		})
	}
}

// Guards against an invalid field that is accepted, or that is reported without
// its path, its value and the allowed values.
func TestValidation(t *testing.T) {
	for _, test := range []struct {
		change func(c *schema.Config)
		field  string
		value  string
	}{
		{func(c *schema.Config) { c.Revision = 0 }, "revision", "0"},
		{func(c *schema.Config) { c.HashKey = nil }, "hash_key", "0 bytes"},
		{func(c *schema.Config) { c.Digest = make([]byte, 16) }, "digest", "00000000000000000000000000000000"},
		{func(c *schema.Config) { c.Members[1].Weight = 0 }, "members[name=house].weight", "0"},
		{func(c *schema.Config) { c.Members[1].Name = "shop" }, "members[1].name", `"shop"`},
		{func(c *schema.Config) { c.Services[0].Id = 1 }, "services[1].id", "1"},
		{func(c *schema.Config) { c.Services[0].Id = 0 }, "services[0].id", "0"},
		{func(c *schema.Config) { c.Services[0].Name = "front" }, "services[id=2].name", `"front"`},
		{func(c *schema.Config) { c.Services[0].Name = "a b" }, "services[id=2].name", `"a b"`},
		{func(c *schema.Config) { c.Services[0].Address = "198.18.0.2:80" }, "services[id=2].address", `"198.18.0.2:80"`},
		{func(c *schema.Config) { c.Services[0].Address = "host:80" }, "services[id=2].address", `"host:80"`},
		{func(c *schema.Config) { c.Services[0].Address = "10.0.0.1:0" }, "services[id=2].address", `"10.0.0.1:0"`},
		{func(c *schema.Config) { c.Services[0].Address = "[::ffff:10.0.0.1]:80" }, "services[id=2].address", `"[::ffff:10.0.0.1]:80"`},
		{func(c *schema.Config) { c.Services[0].Address = "224.0.0.1:80" }, "services[id=2].address", `"224.0.0.1:80"`},
		{func(c *schema.Config) { c.Services[0].Mode = 9 }, "services[id=2].mode", "9"},
		{func(c *schema.Config) { c.Services[0].Member = "none" }, "services[id=2].member", `"none"`},
		{func(c *schema.Config) { c.Services[0].Targets = nil }, "services[id=2].targets.requirements", "[]"},
		{func(c *schema.Config) { c.Services[0].Targets.Requirements[0].Values = nil }, "services[id=2].targets.requirements[0].values", "0 values"},
		{func(c *schema.Config) { c.Targets[0].Id = 1 }, "targets[1].id", "1"},
		{func(c *schema.Config) { c.Targets[0].Member = "none" }, "targets[id=4].member", `"none"`},
		{func(c *schema.Config) { c.Targets[0].AgentAddress = c.Targets[1].AgentAddress }, "targets[id=4].agent_address", `"10.0.0.1:7000"`},
		{func(c *schema.Config) { c.Targets[0].Capacity = 0 }, "targets[id=4].capacity", "0"},
		{func(c *schema.Config) { c.Targets[0].Slots = 0 }, "targets[id=4].slots", "0"},
		{func(c *schema.Config) { c.Targets[0].Labels["a b"] = "" }, "targets[id=4].labels", `"a b"`},
		{func(c *schema.Config) { c.Policies[1].Priority = 1 }, "policies[name=uploads].priority", "1"},
		{func(c *schema.Config) { c.Policies[1].Classes = nil }, "policies[name=uploads].classes", "[]"},
		{func(c *schema.Config) {
			c.Policies[1].Classes = append(c.Policies[1].Classes, &schema.Class{Name: "pay", FloorPercent: 61, Weight: 1, QueueLimit: 1})
		}, "policies[name=uploads].classes", "a floor sum of 101 percent"},
		{func(c *schema.Config) { c.Policies[1].TimeoutAction = 0 }, "policies[name=uploads].timeout_action", "TIMEOUT_ACTION_UNSPECIFIED"},
		{func(c *schema.Config) { c.Policies[1].IdleTimeoutMs = 0 }, "policies[name=uploads].idle_timeout_ms", "0"},
	} {
		t.Run(test.field+" "+test.value, func(t *testing.T) {
			c := qt.New(t)
			_, err := NewSnapshot(modified(1, test.change))
			list, ok := err.(*ValidationError)
			c.Assert(ok, qt.IsTrue, qt.Commentf("error %v", err))
			c.Assert(list.Faults, qt.HasLen, 1, qt.Commentf("%v", err))
			c.Check(list.Faults[0].Field, qt.Equals, test.field)
			c.Check(list.Faults[0].Value, qt.Equals, test.value)
			c.Check(list.Faults[0].Allowed, qt.Not(qt.Equals), "")
		})
	}
}

// Guards against validation that stops at the first fault.
func TestEveryFaultIsListed(t *testing.T) {
	c := qt.New(t)
	_, err := NewSnapshot(modified(0, func(c *schema.Config) {
		c.Services[0].Address = "x"
		c.Targets[2].Zone = ""
		c.Policies[0].IdleTimeoutMs = 1
	}))
	c.Assert(err, qt.ErrorMatches, `(?s)invalid configuration, 4 fault\(s\)\n.*`)
}
