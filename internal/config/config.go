// Package config holds the published configuration: parsing, validation,
// selectors, policy resolution, digests, deltas, and the store that decides
// which revision is in force.
package config

import (
	"github.com/pkg/errors"
	"google.golang.org/protobuf/encoding/protojson"

	"github.com/peridotstall/peridotstall/internal/schema"
)

// MaxParse is the largest configuration file that Parse reads, in bytes. The
// target size of 51,000 targets takes about 15 MB of JSON.
const MaxParse = 64 << 20

// Parse reads the JSON form of one whole configuration. Unknown fields are
// errors, because a misspelt field would otherwise silently have no effect.
// Parse does not validate the content; NewSnapshot does.
func Parse(data []byte) (*schema.Config, error) {
	if len(data) > MaxParse {
		return nil, errors.Errorf("configuration of %d bytes is too large: at most %d bytes are allowed", len(data), MaxParse)
	}
	c := &schema.Config{}
	if err := protojson.Unmarshal(data, c); err != nil {
		return nil, errors.Wrap(err, "parse configuration")
	}
	return c, nil
}
