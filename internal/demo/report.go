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

// addr is short for netip.AddrPort.
type addr = netip.AddrPort

// Report is the result of a run.
type Report struct {
	// Seconds is the duration of the run.
	Seconds float64 `json:"seconds"`
	// Seed is the seed of the random choices of the callers.
	Seed uint64 `json:"seed"`
	// Flows and BrokenFlows count plain flows. A flow is broken when it reached
	// a second backend socket (ChangedFlows) or got no more replies.
	Flows        int `json:"flows"`
	BrokenFlows  int `json:"broken_flows"`
	ChangedFlows int `json:"changed_flows"`
	// Requests counts requests, Correct those whose response is complete and their own.
	Requests int `json:"requests"`
	Correct  int `json:"answers_whole"`
	// Wrong counts responses that are incomplete or belong to another request.
	Wrong int `json:"answers_mixed"`
	// Refused counts requests that were not run, Unknown those that may have run.
	Refused int `json:"refused_not_run"`
	Unknown int `json:"unknown_outcome"`
	// FalseRefusals counts requests that ran although they were refused as not run.
	FalseRefusals int `json:"untrue_refusals"`
	// MaxRuns is the largest number of runs of a non-idempotent request.
	MaxRuns int `json:"most_runs"`
	// Imbalance is, by pool, the largest number of flows of a target relative to its
	// capacity, divided by the mean of the pool.
	Imbalance map[string]float64 `json:"imbalance"`
	// ApplySeconds is the longest time until a change was in force at every process.
	ApplySeconds float64 `json:"apply_seconds"`
	// ConfigCalls is the number of calls to the configuration service.
	ConfigCalls int64 `json:"config_calls"`
	// ControlBytes is the mean number of control bytes sent per process and second.
	ControlBytes float64 `json:"control_bytes_per_second"`
	// BrokenPromises describes the promises that were broken.
	BrokenPromises []string `json:"broken_promises"`
}

func (r *run) report(now time.Time) *Report {
	report := &Report{
		Seconds:   now.Sub(r.begin).Seconds(),
		Seed:      r.options.Seed,
		Imbalance: map[string]float64{},
	}
	r.reportFlows(report, now)
	r.reportRequests(report)
	for _, d := range r.applyTimes {
		report.ApplySeconds = max(report.ApplySeconds, d.Seconds())
	}
	report.ConfigCalls = r.fleet.platform.Calls()
	report.ControlBytes = r.controlBytes(report.Seconds)
	report.checkPromises()
	return report
}

func (r *run) reportFlows(report *Report, now time.Time) {
	for _, p := range r.flows {
		report.Flows++
		if p.changed() {
			report.ChangedFlows++
		}
		if p.changed() || p.silent(now) {
			report.BrokenFlows++
		}
	}
	for _, pool := range []string{"storefront", "bidding"} {
		report.Imbalance[pool+" flows"] = r.imbalance(pool, func(t *target) float64 {
			return float64(t.backend.SourceCount())
		})
	}
}

// imbalance returns the largest use of a target of a pool divided by the mean, both
// relative to capacity. It returns 0 if the pool is unused.
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
		for _, o := range q.results {
			report.addRequest(o, runs[o.id])
		}
	}
}

// allRuns returns the number of runs of each request over all backend servers.
func (r *run) allRuns() map[string]int {
	runs := map[string]int{}
	for _, t := range r.fleet.targets {
		for id, n := range t.backend.Runs() {
			runs[id] += n
		}
	}
	return runs
}

func (report *Report) addRequest(o result, runs int) {
	report.Requests++
	if o.class != "upload" {
		report.MaxRuns = max(report.MaxRuns, runs)
	}
	switch {
	case o.err == nil && o.correct:
		report.Correct++
	case o.err == nil:
		report.Wrong++
	case o.err.NotRun():
		report.Refused++
		if runs > 0 {
			report.FalseRefusals++
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

// checkPromises adds the promises that the run broke to the report.
func (report *Report) checkPromises() {
	promise := func(ok bool, format string, args ...any) {
		if !ok {
			report.BrokenPromises = append(report.BrokenPromises, fmt.Sprintf(format, args...))
		}
	}
	promise(report.BrokenFlows == 0, "%d established flows broke", report.BrokenFlows)
	promise(report.Wrong == 0, "%d responses were incomplete or belonged to another request", report.Wrong)
	promise(report.FalseRefusals == 0, "%d requests ran although they were refused as not run", report.FalseRefusals)
	promise(report.MaxRuns <= 1, "a non-idempotent request ran %d times", report.MaxRuns)
	promise(report.Unknown == 0, "%d requests were cut off by planned changes", report.Unknown)
	promise(report.ApplySeconds <= maxApplyTime.Seconds(), "a change was in force at all processes only after %.1f s", report.ApplySeconds)
}

// PromisesKept reports whether no promise was broken.
func (report *Report) PromisesKept() bool {
	return len(report.BrokenPromises) == 0
}

// WriteJSON writes the report as JSON.
func (report *Report) WriteJSON(w io.Writer) error {
	encoder := json.NewEncoder(w)
	encoder.SetIndent("", "  ")
	return errors.Wrap(encoder.Encode(report), "write report")
}

// WriteTable writes the report as a table of names and values.
func (report *Report) WriteTable(w io.Writer) error {
	t := tabwriter.NewWriter(w, 0, 4, 2, ' ', 0)
	row := func(name, format string, args ...any) {
		fmt.Fprintf(t, "%s\t%s\n", name, fmt.Sprintf(format, args...))
	}
	row("flows opened", "%d", report.Flows)
	row("broken flows", "%d", report.BrokenFlows)
	row("requests", "%d", report.Requests)
	row("answers whole", "%d", report.Correct)
	row("refused, not run", "%d (untrue: %d)", report.Refused, report.FalseRefusals)
	row("unknown outcome", "%d", report.Unknown)
	row("non-idempotent runs per request (most)", "%d", report.MaxRuns)
	for _, pool := range []string{"storefront flows", "bidding flows"} {
		row("imbalance, "+pool, "%.2f", report.Imbalance[pool])
	}
	row("change in force everywhere after", "%.2f s", report.ApplySeconds)
	row("calls to the configuration service", "%d", report.ConfigCalls)
	row("control bytes per process and second", "%.0f", report.ControlBytes)
	for _, broken := range report.BrokenPromises {
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
