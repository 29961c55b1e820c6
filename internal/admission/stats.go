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
	// histogramMax is the upper bound of recorded times; longer ones are clamped.
	histogramMax = 10 * time.Minute
	// histogramDigits is the number of significant digits: quantiles are exact
	// to one percent, and a histogram takes 18 KB.
	histogramDigits = 2
)

// Quantiles summarize recorded times.
type Quantiles struct {
	Count              int64
	P50, P90, P99, Max time.Duration
}

// ClassStats are the statistics of the work of one member in one class, by which
// members can compare their treatment.
type ClassStats struct {
	Member, Class string
	// Offered counts the requests that asked for admission, Admitted those that
	// were admitted.
	Offered, Admitted uint64
	// Refused counts refusals by kind.
	Refused map[schema.ErrorKind]uint64
	// Expired counts queued requests that could no longer meet their deadline,
	// Released reserved or queued requests that were cancelled.
	Expired, Released uint64
	// Completed counts requests that succeeded; Shed and Failed count the other
	// results.
	Completed, Shed, Failed uint64
	// Reserved, Queued, Running and Flows are current counts.
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

func (s *counters) recordResult(r Result) {
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

type histogram struct {
	h *hdrhistogram.Histogram
}

func newHistogram() histogram {
	return histogram{hdrhistogram.New(1, int64(histogramMax/histogramUnit), histogramDigits)}
}

func (h histogram) record(d time.Duration) {
	d = min(max(d, 0), histogramMax)
	// RecordValue fails only for values outside the range of the histogram.
	_ = h.h.RecordValue(int64(d / histogramUnit))
}

func (h histogram) quantiles() Quantiles {
	quantile := func(percent float64) time.Duration {
		return time.Duration(h.h.ValueAtQuantile(percent)) * histogramUnit
	}
	return Quantiles{
		Count: h.h.TotalCount(),
		P50:   quantile(50),
		P90:   quantile(90),
		P99:   quantile(99),
		Max:   time.Duration(h.h.Max()) * histogramUnit,
	}
}

// Stats returns the statistics of each member and class that has had work, the
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
