package telemetry

import (
	"expvar"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	// histogramMax is the longest time that a histogram tells apart.
	histogramMax = time.Minute
	// histogramDigits is the number of significant digits of a histogram.
	histogramDigits = 2
	// maxReasons bounds the counters of decisions.
	maxReasons = 32
)

// Histogram counts durations. It is safe for concurrent use.
type Histogram struct {
	mu     sync.Mutex
	counts *hdrhistogram.Histogram
}

func newHistogram() *Histogram {
	return &Histogram{counts: hdrhistogram.New(1, histogramMax.Microseconds(), histogramDigits)}
}

// Record adds a duration; one above a minute counts as a minute.
func (h *Histogram) Record(d time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	// The value is within the range, so that recording cannot fail.
	_ = h.counts.RecordValue(min(max(d, 0), histogramMax).Microseconds())
}

// summary returns count and quantiles in microseconds.
func (h *Histogram) summary() any {
	h.mu.Lock()
	defer h.mu.Unlock()
	return map[string]int64{
		"count": h.counts.TotalCount(), "p50_us": h.counts.ValueAtQuantile(50),
		"p90_us": h.counts.ValueAtQuantile(90), "p99_us": h.counts.ValueAtQuantile(99), "max_us": h.counts.Max(),
	}
}

// SegmentMetrics are the figures of a process of the segment mode. The catalogue
// tells what each of them means.
type SegmentMetrics struct {
	Requests, Forwarded, Answered, Returned, Refused Counter
	Failed, Resets, Malformed, SendErrors, Overruns  Counter
	StoreCalls, StoreErrors, PullErrors              Counter
	Flows, Pending, Version, Targets, Age            Gauge
	Wait, Opening, StoreCall, Search                 *Histogram

	reasons     [maxReasons]Counter
	reasonNames []string
	vars        *expvar.Map
	name        string
}

// Figure describes a published figure of the segment mode.
type Figure struct {
	Name string
	// Kind is counter, gauge, histogram or counters.
	Kind string
	// Unit is what a value counts.
	Unit string
	// Meaning says who publishes it and what it tells.
	Meaning string

	value func(*SegmentMetrics) expvar.Var
}

// counterFigure describes a counter.
func counterFigure(name, unit, meaning string, of func(*SegmentMetrics) *Counter) Figure {
	return Figure{name, "counter", unit, meaning, func(m *SegmentMetrics) expvar.Var { return &of(m).value }}
}

// gaugeFigure describes a present value.
func gaugeFigure(name, unit, meaning string, of func(*SegmentMetrics) *Gauge) Figure {
	return Figure{name, "gauge", unit, meaning, func(m *SegmentMetrics) expvar.Var { return &of(m).value }}
}

// histogramFigure describes a histogram of times.
func histogramFigure(name, meaning string, of func(*SegmentMetrics) *Histogram) Figure {
	return Figure{name, "histogram", "microseconds", meaning, func(m *SegmentMetrics) expvar.Var { return expvar.Func(of(m).summary) }}
}

// SegmentFigures returns the catalogue of figures. The counters by decision are
// named after the reasons of package steering.
func SegmentFigures() []Figure {
	return []Figure{
		counterFigure("segments_in", "segments", "balancer: segments of callers; agent: requests handed to the target",
			func(m *SegmentMetrics) *Counter { return &m.Requests }),
		counterFigure("segments_forwarded", "segments", "segments sent on towards the target",
			func(m *SegmentMetrics) *Counter { return &m.Forwarded }),
		counterFigure("segments_answered", "segments", "agent: segments of the target sent to callers",
			func(m *SegmentMetrics) *Counter { return &m.Answered }),
		counterFigure("segments_returned", "segments", "segments that a target does not hold or cannot open",
			func(m *SegmentMetrics) *Counter { return &m.Returned }),
		counterFigure("segments_refused", "segments", "agent: openings that were passed on to another target",
			func(m *SegmentMetrics) *Counter { return &m.Refused }),
		counterFigure("answers_failed", "answers", "agent: answers of the target that are no success",
			func(m *SegmentMetrics) *Counter { return &m.Failed }),
		counterFigure("resets", "segments", "balancer: callers that were told that a flow is lost or cannot open",
			func(m *SegmentMetrics) *Counter { return &m.Resets }),
		counterFigure("malformed", "datagrams", "datagrams that are no segment or control message",
			func(m *SegmentMetrics) *Counter { return &m.Malformed }),
		counterFigure("send_errors", "datagrams", "datagrams that the system did not take",
			func(m *SegmentMetrics) *Counter { return &m.SendErrors }),
		counterFigure("overruns", "messages", "balancer: held segments or words of agents that found no room",
			func(m *SegmentMetrics) *Counter { return &m.Overruns }),
		counterFigure("store_calls", "calls", "balancer: calls to the store",
			func(m *SegmentMetrics) *Counter { return &m.StoreCalls }),
		counterFigure("store_errors", "calls", "balancer: calls to the store that failed",
			func(m *SegmentMetrics) *Counter { return &m.StoreErrors }),
		counterFigure("pull_errors", "calls", "balancer: failed pulls of routes or targets from a peer",
			func(m *SegmentMetrics) *Counter { return &m.PullErrors }),
		gaugeFigure("flows", "flows", "balancer: flows whose target is remembered",
			func(m *SegmentMetrics) *Gauge { return &m.Flows }),
		gaugeFigure("pending", "requests", "agent: requests that run or wait at the target",
			func(m *SegmentMetrics) *Gauge { return &m.Pending }),
		gaugeFigure("routes_version", "version", "balancer: configuration in force",
			func(m *SegmentMetrics) *Gauge { return &m.Version }),
		gaugeFigure("targets", "targets", "balancer: targets in the table in force",
			func(m *SegmentMetrics) *Gauge { return &m.Targets }),
		gaugeFigure("beliefs_age_ms", "milliseconds",
			"balancer: time since the store's newest answer that this process knows of, its own or a peer's; -1 if there was none",
			func(m *SegmentMetrics) *Gauge { return &m.Age }),
		histogramFigure("answer_wait", "agent: from the last data of a request to the first data of its answer",
			func(m *SegmentMetrics) *Histogram { return m.Wait }),
		histogramFigure("opening_to_answer", "agent: from the opening of a flow to the first data of its first answer",
			func(m *SegmentMetrics) *Histogram { return m.Opening }),
		histogramFigure("store_call", "balancer: duration of a call to the store; a watch without news lasts its whole wait",
			func(m *SegmentMetrics) *Histogram { return m.StoreCall }),
		histogramFigure("search", "balancer: from the first segment of an unknown flow to the word of its agent",
			func(m *SegmentMetrics) *Histogram { return m.Search }),
		{"decisions", "counters", "segments", "balancer: decisions by reason", func(m *SegmentMetrics) expvar.Var { return m.decisions() }},
	}
}

// decisions returns the counters by reason.
func (m *SegmentMetrics) decisions() expvar.Var {
	decisions := new(expvar.Map)
	for i, reason := range m.reasonNames {
		decisions.Set(reason, &m.reasons[i].value)
	}
	return decisions
}

// NewSegmentMetrics returns the figures of an instance and publishes them.
func NewSegmentMetrics(name string, reasons ...string) *SegmentMetrics {
	m := &SegmentMetrics{
		Wait: newHistogram(), Opening: newHistogram(), StoreCall: newHistogram(), Search: newHistogram(),
		reasonNames: reasons, vars: new(expvar.Map),
	}
	for _, f := range SegmentFigures() {
		m.vars.Set(f.Name, f.value(m))
	}
	m.name = publish(name, m.vars)
	return m
}

// Reason returns the counter of a decision, by the order of the names.
func (m *SegmentMetrics) Reason(i int) *Counter { return &m.reasons[i] }

// Close removes the instance from the published map.
func (m *SegmentMetrics) Close() { unpublish(m.name) }
