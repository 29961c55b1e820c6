package telemetry

import (
	"expvar"
	"fmt"
	"maps"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	// histogramMax is the largest value of a histogram.
	histogramMax = time.Minute
	// histogramDigits is the number of significant digits of a histogram.
	histogramDigits = 2
	// maxReasons is the limit on decision counters.
	maxReasons = 32
)

// Histogram records durations. It is safe for concurrent use.
type Histogram struct {
	mu     sync.Mutex
	counts *hdrhistogram.Histogram
}

func newHistogram() *Histogram {
	return &Histogram{counts: hdrhistogram.New(1, histogramMax.Microseconds(), histogramDigits)}
}

// Record adds a duration. A negative one counts as 0, one above a minute as a
// minute.
func (h *Histogram) Record(d time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	// RecordValue fails only for values out of range.
	_ = h.counts.RecordValue(min(max(d, 0), histogramMax).Microseconds())
}

// summary returns the count, and quantiles and the maximum in microseconds.
func (h *Histogram) summary() any {
	h.mu.Lock()
	defer h.mu.Unlock()
	return map[string]int64{
		"count": h.counts.TotalCount(), "p50_us": h.counts.ValueAtQuantile(50),
		"p90_us": h.counts.ValueAtQuantile(90), "p99_us": h.counts.ValueAtQuantile(99), "max_us": h.counts.Max(),
	}
}

// EvacuatedZones holds the figures of evacuated zones. It is safe for concurrent use.
type EvacuatedZones struct {
	mu    sync.Mutex
	zones map[string]evacuatedZone
}

// evacuatedZone holds the figures of an evacuated zone.
type evacuatedZone struct {
	// Since is the position of the store as of which the process learned the evacuation.
	Since string `json:"since"`
	// Targets is the number of targets there; the agents of Confirmed of them take no
	// openings, and Flows flows are open there.
	Targets   int `json:"targets"`
	Confirmed int `json:"confirmed"`
	Flows     int `json:"flows"`
}

// Set adds a zone that is evacuated since a position, or removes it.
func (z *EvacuatedZones) Set(zone string, since fmt.Stringer, evacuated bool) {
	z.mu.Lock()
	defer z.mu.Unlock()
	if !evacuated {
		delete(z.zones, zone)
		return
	}
	if z.zones == nil {
		z.zones = make(map[string]evacuatedZone)
	}
	z.zones[zone] = evacuatedZone{Since: since.String()}
}

// Count sets the numbers of targets in a zone, of those whose agents take no openings and of
// the flows that are open there. It has no effect unless the zone is evacuated.
func (z *EvacuatedZones) Count(zone string, targets, confirmed, flows int) {
	z.mu.Lock()
	defer z.mu.Unlock()
	if figures, ok := z.zones[zone]; ok {
		figures.Targets, figures.Confirmed, figures.Flows = targets, confirmed, flows
		z.zones[zone] = figures
	}
}

// figures returns the figures of all zones.
func (z *EvacuatedZones) figures() any {
	z.mu.Lock()
	defer z.mu.Unlock()
	figures := make(map[string]evacuatedZone, len(z.zones))
	maps.Copy(figures, z.zones)
	return figures
}

// SegmentMetrics holds the metrics of a process in segment mode. SegmentMetricDescs
// describes each of them. It is safe for concurrent use.
type SegmentMetrics struct {
	SegmentsIn, Forwarded, Answered, Returned, Refused         Counter
	AnswersFailed, Resets, Malformed, SendErrors, Overruns     Counter
	StoreCalls, StoreErrors, PullErrors, EntriesUnusable       Counter
	Flows, Pending, Version, Epoch, Revision, Targets, ViewAge Gauge
	RoutesUnusable, Waiting, Arriving                          Gauge
	EvacuatedZones                                             EvacuatedZones
	WarmupCredit, WarmupOpenings, WarmupPeak                   Gauge
	AnswerWait, OpeningToAnswer, StoreCall, Search             *Histogram
	ExpectedWait, WaitError, OpeningWait, RequestArrival       *Histogram

	reasons     [maxReasons]Counter
	reasonNames []string
	vars        *expvar.Map
	name        string
}

// MetricDesc describes a published metric of the segment mode.
type MetricDesc struct {
	Name string
	// Kind is counter, gauge, histogram, counters or zones.
	Kind string
	// Unit is the unit of the value.
	Unit string
	// Meaning names the roles that publish the metric, if not both, and what it
	// measures.
	Meaning string

	value func(*SegmentMetrics) expvar.Var
}

func counterDesc(name, unit, meaning string, of func(*SegmentMetrics) *Counter) MetricDesc {
	return MetricDesc{name, "counter", unit, meaning, func(m *SegmentMetrics) expvar.Var { return &of(m).value }}
}

func gaugeDesc(name, unit, meaning string, of func(*SegmentMetrics) *Gauge) MetricDesc {
	return MetricDesc{name, "gauge", unit, meaning, func(m *SegmentMetrics) expvar.Var { return &of(m).value }}
}

// histogramDesc describes a histogram of durations.
func histogramDesc(name, meaning string, of func(*SegmentMetrics) *Histogram) MetricDesc {
	return MetricDesc{name, "histogram", "microseconds", meaning, func(m *SegmentMetrics) expvar.Var { return expvar.Func(of(m).summary) }}
}

// SegmentMetricDescs returns the catalogue of metrics. The counters of decisions
// are named after the reasons of package steering.
func SegmentMetricDescs() []MetricDesc {
	return []MetricDesc{
		counterDesc("segments_in", "segments", "balancer: segments received from callers; agent: requests dispatched to the target",
			func(m *SegmentMetrics) *Counter { return &m.SegmentsIn }),
		counterDesc("segments_forwarded", "segments", "segments forwarded towards the target",
			func(m *SegmentMetrics) *Counter { return &m.Forwarded }),
		counterDesc("segments_answered", "segments", "agent: segments of the target forwarded to callers",
			func(m *SegmentMetrics) *Counter { return &m.Answered }),
		counterDesc("segments_returned", "segments", "segments returned because the target does not hold the flow or cannot open it",
			func(m *SegmentMetrics) *Counter { return &m.Returned }),
		counterDesc("segments_refused", "segments", "agent: segments refused and returned to the balancer, which retries openings on the next target",
			func(m *SegmentMetrics) *Counter { return &m.Refused }),
		counterDesc("answers_failed", "answers", "agent: answers of the target whose status is not a success",
			func(m *SegmentMetrics) *Counter { return &m.AnswersFailed }),
		counterDesc("resets", "segments", "balancer: resets sent to callers whose flow is lost or cannot open",
			func(m *SegmentMetrics) *Counter { return &m.Resets }),
		counterDesc("malformed", "datagrams", "datagrams that are neither a segment nor a control message",
			func(m *SegmentMetrics) *Counter { return &m.Malformed }),
		counterDesc("send_errors", "datagrams", "datagrams that the operating system did not accept for sending",
			func(m *SegmentMetrics) *Counter { return &m.SendErrors }),
		counterDesc("overruns", "messages", "balancer: held segments or reports of agents dropped because a buffer was full",
			func(m *SegmentMetrics) *Counter { return &m.Overruns }),
		counterDesc("store_calls", "calls", "balancer: calls to the store",
			func(m *SegmentMetrics) *Counter { return &m.StoreCalls }),
		counterDesc("store_errors", "calls", "balancer: calls to the store that failed",
			func(m *SegmentMetrics) *Counter { return &m.StoreErrors }),
		counterDesc("pull_errors", "calls", "balancer: failed pulls of routes or targets from a peer",
			func(m *SegmentMetrics) *Counter { return &m.PullErrors }),
		counterDesc("entries_unusable", "entries", "balancer: entries of the store, routes and fields left out because they cannot be used",
			func(m *SegmentMetrics) *Counter { return &m.EntriesUnusable }),
		gaugeDesc("routes_unusable", "boolean",
			"balancer: 1 if a published configuration could not be read and no later one is in force; set by the balancer that reads the store",
			func(m *SegmentMetrics) *Gauge { return &m.RoutesUnusable }),
		gaugeDesc("flows", "flows", "balancer: flows with a known target; agent: flows that are open at the target, as far as the agent has seen them",
			func(m *SegmentMetrics) *Gauge { return &m.Flows }),
		gaugeDesc("pending", "requests", "agent: requests running or queued at the target",
			func(m *SegmentMetrics) *Gauge { return &m.Pending }),
		gaugeDesc("openings_waiting", "openings", "agent: openings that wait until the target has room",
			func(m *SegmentMetrics) *Gauge { return &m.Waiting }),
		gaugeDesc("arriving", "requests", "agent: requests of several segments of which a part has arrived",
			func(m *SegmentMetrics) *Gauge { return &m.Arriving }),
		gaugeDesc("warmup_credit", "openings", "agent: openings that the cold target may take now; -1 if it is warm or its service names no rate",
			func(m *SegmentMetrics) *Gauge { return &m.WarmupCredit }),
		gaugeDesc("warmup_openings", "openings", "agent: openings that the target took in its running or last warm-up",
			func(m *SegmentMetrics) *Gauge { return &m.WarmupOpenings }),
		gaugeDesc("warmup_peak", "requests", "agent: most requests counted in one second of the running or last warm-up, at most one above the tolerance",
			func(m *SegmentMetrics) *Gauge { return &m.WarmupPeak }),
		gaugeDesc("routes_version", "version", "balancer: version of the routes in force",
			func(m *SegmentMetrics) *Gauge { return &m.Version }),
		gaugeDesc("store_epoch", "restores", "balancer: epoch of the store that the table in force is from; 0 if unknown",
			func(m *SegmentMetrics) *Gauge { return &m.Epoch }),
		gaugeDesc("targets_revision", "revision", "balancer: revision of the store that the table in force is from",
			func(m *SegmentMetrics) *Gauge { return &m.Revision }),
		gaugeDesc("targets", "targets", "balancer: targets in the current table",
			func(m *SegmentMetrics) *Gauge { return &m.Targets }),
		{"zones_evacuated", "zones", "targets and flows", "evacuated zones, of an agent its own one",
			func(m *SegmentMetrics) expvar.Var { return expvar.Func(m.EvacuatedZones.figures) }},
		gaugeDesc("beliefs_age_ms", "milliseconds",
			"balancer: age of the latest response of the store to this process or to a peer; -1 if there is none",
			func(m *SegmentMetrics) *Gauge { return &m.ViewAge }),
		histogramDesc("answer_wait", "agent: time from the last new byte of a request to the first data of its answer; from its first data if its size is unknown, or from its last if the target is not known to hold the flow either",
			func(m *SegmentMetrics) *Histogram { return m.AnswerWait }),
		histogramDesc("expected_wait", "agent: expected value of answer_wait when the request arrived, for requests with an estimate",
			func(m *SegmentMetrics) *Histogram { return m.ExpectedWait }),
		histogramDesc("wait_error", "agent: difference between answer_wait and expected_wait",
			func(m *SegmentMetrics) *Histogram { return m.WaitError }),
		histogramDesc("opening_wait", "agent: time for which an opening waited until the target had room",
			func(m *SegmentMetrics) *Histogram { return m.OpeningWait }),
		histogramDesc("request_arrival", "agent: time from the first data of a request of several segments to its last new byte, for requests of known size",
			func(m *SegmentMetrics) *Histogram { return m.RequestArrival }),
		histogramDesc("opening_to_answer", "agent: time from the opening of a flow to the first data of its first answer",
			func(m *SegmentMetrics) *Histogram { return m.OpeningToAnswer }),
		histogramDesc("store_call", "balancer: duration of a call to the store; a watch without changes lasts until its timeout",
			func(m *SegmentMetrics) *Histogram { return m.StoreCall }),
		histogramDesc("search", "balancer: time from the first segment of an unknown flow to the reply of its owner's agent",
			func(m *SegmentMetrics) *Histogram { return m.Search }),
		{"decisions", "counters", "segments", "balancer: decisions by reason; agent: admissions by result, of which accepted ones are not counted", func(m *SegmentMetrics) expvar.Var { return m.decisions() }},
	}
}

// decisions returns the counters of decisions by reason.
func (m *SegmentMetrics) decisions() expvar.Var {
	decisions := new(expvar.Map)
	for i, reason := range m.reasonNames {
		decisions.Set(reason, &m.reasons[i].value)
	}
	return decisions
}

// NewSegmentMetrics returns the metrics of an instance and publishes them under
// name. The reasons name the counters of decisions; at most 32 are allowed.
func NewSegmentMetrics(name string, reasons ...string) *SegmentMetrics {
	m := &SegmentMetrics{
		AnswerWait: newHistogram(), OpeningToAnswer: newHistogram(), StoreCall: newHistogram(), Search: newHistogram(),
		ExpectedWait: newHistogram(), WaitError: newHistogram(), OpeningWait: newHistogram(), RequestArrival: newHistogram(),
		reasonNames: reasons, vars: new(expvar.Map),
	}
	for _, desc := range SegmentMetricDescs() {
		m.vars.Set(desc.Name, desc.value(m))
	}
	m.name = publish(name, m.vars)
	return m
}

// Reason returns the counter of decisions with reason i of NewSegmentMetrics.
func (m *SegmentMetrics) Reason(i int) *Counter { return &m.reasons[i] }

// Close removes the instance from the published map.
func (m *SegmentMetrics) Close() { unpublish(m.name) }
