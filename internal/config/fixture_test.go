package config

import (
	"fmt"

	"google.golang.org/protobuf/proto"

	"github.com/peridotstall/peridotstall/internal/schema"
)

func labelIn(key string, values ...string) *schema.Selector {
	return &schema.Selector{Requirements: []*schema.Requirement{
		{Key: key, Operator: schema.Requirement_IN, Values: values},
	}}
}

func testService(id uint32, name string) *schema.Service {
	return &schema.Service{
		Id: id, Name: name, Member: "shop", Mode: schema.Mode_DATAGRAM,
		Address: fmt.Sprintf("198.18.%d.%d:80", id/250, id%250+1),
		Labels:  map[string]string{"tier": name},
		Targets: labelIn("serves", name),
	}
}

func testTarget(id uint32, serves string) *schema.Target {
	return &schema.Target{
		Id: id, Host: fmt.Sprintf("h%d", id), Zone: "z1", Member: "shop",
		AgentAddress: fmt.Sprintf("10.%d.%d.%d:7000", id>>16, id>>8&255, id&255),
		Labels:       map[string]string{"serves": serves, "rack": "r1", "disk": "ssd", "net": "25g"},
		Slots:        3, Connections: 2000, Capacity: 100,
	}
}

func testPolicy(name string, priority uint32, sel *schema.Selector) *schema.Policy {
	return &schema.Policy{
		Name: name, Priority: priority, Services: sel,
		Classes:       []*schema.Class{{Name: "bid", FloorPercent: 40, Weight: 2, QueueLimit: 8}},
		TimeoutAction: schema.TimeoutAction_OPEN_ON_TIMEOUT,
		IdleTimeoutMs: 60_000,
	}
}

// testConfig returns a configuration of two services with two targets each.
func testConfig(revision uint64) *schema.Config {
	return &schema.Config{
		Revision: revision,
		HashKey:  []byte("0123456789abcdef"),
		Members:  []*schema.Member{{Name: "shop", Weight: 1}, {Name: "house", Weight: 2}},
		Services: []*schema.Service{testService(2, "images"), testService(1, "front")},
		Targets:  []*schema.Target{testTarget(4, "images"), testTarget(1, "front"), testTarget(3, "images"), testTarget(2, "front")},
		Policies: []*schema.Policy{testPolicy("all", 1, nil), testPolicy("uploads", 5, labelIn("tier", "images"))},
	}
}

// modified returns the test configuration with a change.
func modified(revision uint64, change func(c *schema.Config)) *schema.Config {
	c := proto.Clone(testConfig(revision)).(*schema.Config)
	change(c)
	return c
}
