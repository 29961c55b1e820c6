package confsync

import (
	"time"

	"github.com/peridotstall/peridotstall/internal/config"
	"github.com/peridotstall/peridotstall/internal/schema"
)

// Store decides which configuration is accepted; config.Store implements it.
type Store interface {
	Offer(now time.Time, c *schema.Config) (config.Decision, error)
	OfferDelta(now time.Time, d *schema.ConfigDelta) (config.Decision, error)
	// Current returns the configuration in force, nil before the first acceptance.
	Current() *config.Snapshot
	// Delta returns the delta from a revision to the current one, if the store has
	// it.
	Delta(from uint64) (*schema.ConfigDelta, bool)
}
