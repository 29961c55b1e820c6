package demo

import (
	"encoding/json"
	"fmt"
	"io"
	"net/netip"
	"text/tabwriter"
	"time"

	"github.com/pkg/errors"
)

// addr shortens the signatures of the callers.
type addr = netip.AddrPort

// Report is what a run saw.
type Report struct {
	Seconds float64 `json:"seconds"`
	Seed    uint64  `json:"seed"`
	// Flows and BrokenFlows count plain flows. A flow is broken when it reached
	// a second backend socket (Changed) or went silent.
	Flows       int `json:"flows"`
	BrokenFlows int `json:"broken_flows"`
	Changed     int `json:"changed_flows"`
	// Requests counts requests, Whole those with a whole and own answer.
	Requests int `json:"requests"`
	Whole    int `json:"answers_whole"`
	// Mixed counts answers that were not those of the request.
	Mixed int `json:"answers_mixed"`
	// Refused were not run, Unknown may have run.
	Refused int `json:"refused_not_run"`
	Unknown int `json:"unknown_outcome"`
	// Untrue counts requests refused as "not run" that ran.
	Untrue int `json:"untrue_refusals"`
	// MostRuns is the most runs of one non-idempotent request.
	MostRuns int `json:"most_runs"`
	// Imbalance is the largest use of a target over the mean, by capacity.
	Imbalance map[string]float64 `json:"imbalance"`
	// ApplySeconds is the longest time until a change was in force everywhere.
	ApplySeconds float64 `json:"apply_seconds"`
	// ConfigCalls is the number of calls to the configuration service.
	ConfigCalls int64 `json:"config_calls"`
	// ControlBytes is the mean of control bytes per process and second.
	ControlBytes float64 `json:"control_bytes_per_second"`
	// Broken lists the promises that did not hold.
	Broken []string `json:"broken_promises"`
}

func (r *run) report(now time.Time) *Report {
	report := &Report{
		Seconds:   now.Sub(r.begin).Seconds(),
		Seed:      r.options.Seed,
		Imbalance: map[string]float64{},
	}
	r.reportFlows(report, now)
	r.reportRequests(report)
	for _, d := range r.apply {
		report.ApplySeconds = max(report.ApplySeconds, d.Seconds())
	}
	report.ConfigCalls = r.fleet.platform.Calls()
	report.ControlBytes = r.controlBytes(report.Seconds)
	report.judge()
	return report
}

func (r *run) reportFlows(report *Report, now time.Time) {
	for _, p := range r.flows {
		report.Flows++
		if p.changed() {
			report.Changed++
		}
		if p.changed() || p.silent(now) {
			report.BrokenFlows++
		}
	}
	for _, pool := range []string{"storefront", "bidding"} {
		report.Imbalance[pool+" flows"] = r.imbalance(pool, func(t *target) float64 {
			return float64(t.backend.Peers())
		})
	}
}

// imbalance returns the largest use over the mean, each divided by capacity.
func (r *run) imbalance(pool string, use func(t *target) float64) float64 {
	largest, total, capacity := 0.0, 0.0, 0.0
	for _, t := range r.fleet.targets {
		if t.pool != pool {
			continue
		}
		largest = max(largest, use(t)/float64(t.capacity))
		total += use(t)
		capacity += float64(t.capacity)
	}
	if total == 0 {
		return 0
	}
	return largest / (total / capacity)
}

func (r *run) reportRequests(report *Report) {
	runs := r.allRuns()
	for _, q := range r.requests {
		for _, o := range q.outcomes {
			report.addRequest(o, runs[o.id])
		}
	}
}

// allRuns returns how often each request ran, over all backend servers.
func (r *run) allRuns() map[string]int {
	runs := map[string]int{}
	for _, t := range r.fleet.targets {
		for id, n := range t.backend.Runs() {
			runs[id] += n
		}
	}
	return runs
}

func (report *Report) addRequest(o outcome, runs int) {
	report.Requests++
	if o.class != "upload" {
		report.MostRuns = max(report.MostRuns, runs)
	}
	switch {
	case o.err == nil && o.whole:
		report.Whole++
	case o.err == nil:
		report.Mixed++
	case o.err.NotRun():
		report.Refused++
		if runs > 0 {
			report.Untrue++
		}
	default:
		report.Unknown++
	}
}

func (r *run) controlBytes(seconds float64) float64 {
	var bytes int64
	processes := 0
	for _, t := range r.fleet.targets {
		bytes += t.agent.Metrics().ControlBytesOut.Value()
		processes++
	}
	for _, list := range r.fleet.balancers {
		for _, e := range list {
			bytes += e.balancer.Metrics().ControlBytesOut.Value()
			processes++
		}
	}
	return float64(bytes) / float64(processes) / seconds
}

// judge compares the report with the promises.
func (report *Report) judge() {
	promise := func(ok bool, format string, args ...any) {
		if !ok {
			report.Broken = append(report.Broken, fmt.Sprintf(format, args...))
		}
	}
	promise(report.BrokenFlows == 0, "%d established flows broke", report.BrokenFlows)
	promise(report.Mixed == 0, "%d answers were not whole or not their own", report.Mixed)
	promise(report.Untrue == 0, "%d requests refused as not run did run", report.Untrue)
	promise(report.MostRuns <= 1, "a non-idempotent request ran %d times", report.MostRuns)
	promise(report.Unknown == 0, "%d requests were cut off by planned changes", report.Unknown)
	promise(report.ApplySeconds <= applyLimit.Seconds(), "a change took %.1f s", report.ApplySeconds)
}

// Kept reports whether all promises held.
func (report *Report) Kept() bool {
	return len(report.Broken) == 0
}

// WriteJSON writes the report for programs.
func (report *Report) WriteJSON(w io.Writer) error {
	encoder := json.NewEncoder(w)
	encoder.SetIndent("", "  ")
	return errors.Wrap(encoder.Encode(report), "write report")
}

// WriteTable writes the report for people.
func (report *Report) WriteTable(w io.Writer) error {
	t := tabwriter.NewWriter(w, 0, 4, 2, ' ', 0)
	row := func(name, format string, args ...any) {
		fmt.Fprintf(t, "%s\t%s\n", name, fmt.Sprintf(format, args...))
	}
	row("flows opened", "%d", report.Flows)
	row("broken flows", "%d", report.BrokenFlows)
	row("requests", "%d", report.Requests)
	row("answers whole", "%d", report.Whole)
	row("refused, not run", "%d (untrue: %d)", report.Refused, report.Untrue)
	row("unknown outcome", "%d", report.Unknown)
	row("non-idempotent runs per request (most)", "%d", report.MostRuns)
	for _, pool := range []string{"storefront flows", "bidding flows"} {
		row("imbalance, "+pool, "%.2f", report.Imbalance[pool])
	}
	row("change in force everywhere after", "%.2f s", report.ApplySeconds)
	row("calls to the configuration service", "%d", report.ConfigCalls)
	row("control bytes per process and second", "%.0f", report.ControlBytes)
	for _, broken := range report.Broken {
		row("PROMISE BROKEN", "%s", broken)
	}
	return errors.Wrap(t.Flush(), "write report")
}

func (r *run) progress(format string, args ...any) {
	if r.options.Progress == nil {
		return
	}
	fmt.Fprintf(r.options.Progress, "%5.1fs  %s\n", time.Since(r.begin).Seconds(), fmt.Sprintf(format, args...))
}
