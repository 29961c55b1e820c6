package admission

import (
	"maps"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/peridotstall/peridotstall/internal/schema"
)

const (
	// histogramUnit is the resolution of recorded times.
	histogramUnit = 100 * time.Microsecond
	// histogramMost is the longest recorded time; longer ones count as this.
	histogramMost = 10 * time.Minute
	// histogramDigits gives quantiles to one percent at 18 KB per histogram.
	histogramDigits = 2
)

// Quantiles summarize recorded times.
type Quantiles struct {
	Count              int64
	P50, P90, P99, Max time.Duration
}

// ClassStats tells how the work of one member in one class was treated, so that
// members can compare.
type ClassStats struct {
	Member, Class string
	// Offered counts the requests for which room was asked; Admitted those that got it.
	Offered, Admitted uint64
	// Refused counts refusals by kind.
	Refused map[schema.ErrorKind]uint64
	// Expired counts queued requests whose deadline passed; Released those given up.
	Expired, Released uint64
	// Completed counts requests that ended well; Shed and Failed the others.
	Completed, Shed, Failed uint64
	// Reserved, Queued, Running and Flows are the present counts.
	Reserved, Queued, Running, Flows int
	// SlotTime is the sum of the service times.
	SlotTime time.Duration
	// Wait is the time in the queue, Service the time at the backend server.
	Wait, Service Quantiles
}

// counters accumulate the statistics of one queue.
type counters struct {
	offered, admitted, released, expiredCount uint64
	completed, shed, failed                   uint64
	refused                                   map[schema.ErrorKind]uint64
	slotTime                                  time.Duration
	wait, service                             histogram
}

func newCounters() counters {
	return counters{
		refused: map[schema.ErrorKind]uint64{},
		wait:    newHistogram(),
		service: newHistogram(),
	}
}

// finished counts the result of a request.
func (s *counters) finished(r Result) {
	s.slotTime += r.ServiceTime
	switch {
	case r.Shed:
		s.shed++
	case r.Failed:
		s.failed++
	default:
		s.completed++
		s.service.record(r.ServiceTime)
	}
}

// histogram records durations.
type histogram struct {
	h *hdrhistogram.Histogram
}

func newHistogram() histogram {
	return histogram{hdrhistogram.New(1, int64(histogramMost/histogramUnit), histogramDigits)}
}

func (h histogram) record(d time.Duration) {
	d = min(max(d, 0), histogramMost)
	// The value is within the range of the histogram, so there is no error.
	_ = h.h.RecordValue(int64(d / histogramUnit))
}

func (h histogram) quantiles() Quantiles {
	at := func(percent float64) time.Duration {
		return time.Duration(h.h.ValueAtQuantile(percent)) * histogramUnit
	}
	return Quantiles{
		Count: h.h.TotalCount(),
		P50:   at(50),
		P90:   at(90),
		P99:   at(99),
		Max:   time.Duration(h.h.Max()) * histogramUnit,
	}
}

// Stats returns the statistics of every member and class that had work,
// most urgent class first.
func (c *Controller) Stats() []ClassStats {
	var out []ClassStats
	for _, cl := range c.classes {
		for _, q := range cl.queues {
			if q.offered > 0 || q.flows > 0 {
				out = append(out, q.stats())
			}
		}
	}
	return out
}

func (q *queue) stats() ClassStats {
	return ClassStats{
		Member: q.member, Class: q.class.name,
		Offered: q.offered, Admitted: q.admitted,
		Refused: maps.Clone(q.refused),
		Expired: q.expiredCount, Released: q.released,
		Completed: q.completed, Shed: q.shed, Failed: q.failed,
		Reserved: q.reserved, Queued: len(q.items), Running: q.running, Flows: q.flows,
		SlotTime: q.slotTime,
		Wait:     q.wait.quantiles(), Service: q.service.quantiles(),
	}
}
