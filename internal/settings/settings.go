// Package settings reads the TOML settings files of the daemons into messages of
// the schema. Parsing is strict: unknown keys, wrong types, values out of range
// and missing required keys are all reported. The message descriptors and the
// rule option of their fields define the valid keys and values.
package settings

import (
	"os"

	"github.com/BurntSushi/toml"
	"github.com/pkg/errors"
	"google.golang.org/protobuf/proto"

	"github.com/peridotstall/peridotstall/internal/schema"
)

// MaxFileSize is the largest size of a settings file in bytes. Ordinary files
// have a few kilobytes.
const MaxFileSize = 1 << 20

// LoadBalancer reads and validates the settings file of a balancer. The error is
// an *Error unless the file cannot be read.
func LoadBalancer(path string) (*schema.BalancerSettings, error) {
	s := &schema.BalancerSettings{}
	if err := load(path, s); err != nil {
		return nil, err
	}
	return s, nil
}

// LoadAgent reads and validates the settings file of an agent. The error is an
// *Error unless the file cannot be read.
func LoadAgent(path string) (*schema.AgentSettings, error) {
	s := &schema.AgentSettings{}
	if err := load(path, s); err != nil {
		return nil, err
	}
	return s, nil
}

// Detect returns the role that a settings file is for, based on its top-level
// keys. It returns Role_BALANCER when as many keys match either role, none match,
// or the file is not valid TOML.
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
	if len(data) > MaxFileSize {
		d.addFault("", 0, textf("%d bytes", len(data)), textf("at most %d bytes", MaxFileSize))
		return d.err()
	}
	var top map[string]toml.Primitive
	meta, err := toml.Decode(string(data), &top)
	if err != nil {
		d.addSyntaxError(err)
		return d.err()
	}
	d.meta = &meta
	d.decodeTable(table{keys: top, lineKnown: true}, m.ProtoReflect())
	return d.err()
}
