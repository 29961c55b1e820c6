// Package settings reads the TOML settings of the daemons into the messages of
// the schema. It is strict: an unknown key, a wrong type, a value out of range
// or a missing key is an error, and all of them are listed. The descriptors of
// the messages and their rule option decide what is allowed.
package settings

import (
	"os"

	"github.com/BurntSushi/toml"
	"github.com/pkg/errors"
	"google.golang.org/protobuf/proto"

	"github.com/peridotstall/peridotstall/internal/schema"
)

// MaxFile is the largest settings file in bytes. Real ones have a few kilobytes.
const MaxFile = 1 << 20

// LoadBalancer reads the settings of a balancer. The error is an *Error unless
// the file cannot be read.
func LoadBalancer(path string) (*schema.BalancerSettings, error) {
	s := &schema.BalancerSettings{}
	if err := load(path, s); err != nil {
		return nil, err
	}
	return s, nil
}

// LoadAgent reads the settings of an agent. The error is an *Error unless the
// file cannot be read.
func LoadAgent(path string) (*schema.AgentSettings, error) {
	s := &schema.AgentSettings{}
	if err := load(path, s); err != nil {
		return nil, err
	}
	return s, nil
}

// Detect returns the role whose settings the file holds, judged by its
// top-level keys. Keys of both roles, or none, count as a balancer's.
func Detect(data []byte) schema.Role {
	var top map[string]toml.Primitive
	if _, err := toml.Decode(string(data), &top); err != nil {
		return schema.Role_BALANCER
	}
	balancer := (&schema.BalancerSettings{}).ProtoReflect().Descriptor().Fields()
	agent := (&schema.AgentSettings{}).ProtoReflect().Descriptor().Fields()
	score := 0
	for key := range top {
		if fieldByKey(agent, key) != nil {
			score++
		}
		if fieldByKey(balancer, key) != nil {
			score--
		}
	}
	if score > 0 {
		return schema.Role_AGENT
	}
	return schema.Role_BALANCER
}

func load(path string, m proto.Message) error {
	data, err := os.ReadFile(path)
	if err != nil {
		return errors.Wrap(err, "read settings")
	}
	return parse(path, data, m)
}

// parse reads data into m. The file name is used in errors only.
func parse(file string, data []byte, m proto.Message) error {
	d := &decoder{file: file}
	if len(data) > MaxFile {
		d.fault("", 0, figuref("%d bytes", len(data)), figuref("at most %d bytes", MaxFile))
		return d.err()
	}
	var top map[string]toml.Primitive
	meta, err := toml.Decode(string(data), &top)
	if err != nil {
		d.syntax(err)
		return d.err()
	}
	d.meta = &meta
	d.table(table{keys: top, exact: true}, m.ProtoReflect())
	return d.err()
}
