package registry

import "time"

// Warmup is the published limit of the targets of a service that have just started.
type Warmup struct {
	// Duration is the time after its start for which a target is cold.
	Duration time.Duration
	// Rate is the number of openings per second that a cold target takes; 0 for no limit.
	Rate float64
}
