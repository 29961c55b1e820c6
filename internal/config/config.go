// Package config parses, validates and indexes the published configuration, and
// decides in its Store which revision is in force.
package config

import (
	"github.com/pkg/errors"
	"google.golang.org/protobuf/encoding/protojson"

	"github.com/peridotstall/peridotstall/internal/schema"
)

// MaxConfigSize is the largest configuration that Parse accepts, in bytes of
// JSON. 51,000 targets, the design size, take about 15 MB.
const MaxConfigSize = 64 << 20

// Parse decodes the JSON form of a full configuration. Unknown fields are
// errors, because a misspelt field would otherwise be ignored silently. Parse
// does not validate the content; NewSnapshot does.
func Parse(data []byte) (*schema.Config, error) {
	if len(data) > MaxConfigSize {
		return nil, errors.Errorf("configuration of %d bytes is too large: at most %d bytes are allowed", len(data), MaxConfigSize)
	}
	c := &schema.Config{}
	if err := protojson.Unmarshal(data, c); err != nil {
		return nil, errors.Wrap(err, "parse configuration")
	}
	return c, nil
}
