package scenario

import (
	"github.com/peridotstall/peridotstall/internal/errkind"
	"github.com/peridotstall/peridotstall/internal/schema"
)

// measure returns the figures that scripts compare.
func (w *world) measure() map[string]float64 {
	figures := map[string]float64{}
	w.measureFlows(figures)
	w.measureRequests(figures)
	w.measureSessions(figures)
	for _, a := range w.fleet.agents {
		figures["new_while_draining"] += float64(a.openedDraining)
		stats := a.flows.Stats()
		figures["asks"] += float64(stats.Asks)
		figures["ask_timeouts"] += float64(stats.AskTimeouts)
		figures["conflicts"] += float64(stats.Conflicts)
		figures["held"] += float64(stats.Held)
		figures["owned"] += float64(stats.Flows)
		figures["directory"] += float64(stats.Registered)
	}
	return figures
}

// measureFlows counts flows. A flow is broken when its packets reached a second
// target, and unanswered when its last packet was not answered.
func (w *world) measureFlows(figures map[string]float64) {
	for _, key := range []string{"flows", "moved", "unanswered", "broken", "opened_twice"} {
		figures[key] = 0
	}
	for _, f := range w.callers.flows {
		figures["flows"]++
		moved := len(f.owners) > 1
		unanswered := f.answered < f.sent
		figures["moved"] += count(moved)
		figures["unanswered"] += count(unanswered)
		figures["broken"] += count(moved || unanswered)
		figures["opened_twice"] += count(f.opens > 1)
	}
}

// measureRequests counts requests. An untrue refusal says "not run" about a
// request that ran.
func (w *world) measureRequests(figures map[string]float64) {
	for _, key := range []string{"requests", "answered", "whole", "refused", "unknown", "unfinished", "untrue", "most_runs"} {
		figures[key] = 0
	}
	for _, r := range w.callers.calls {
		figures["requests"]++
		figures["answered"] += count(r.ok)
		figures["whole"] += count(r.whole)
		figures["unfinished"] += count(!r.finished)
		figures["most_runs"] = max(figures["most_runs"], float64(r.runs))
		figures["answered_"+r.class] += count(r.ok)
		if r.err == nil {
			continue
		}
		notRun := errkind.Lookup(r.err.Kind).Ran == errkind.RanNo
		figures[r.err.Kind.String()]++
		figures["refused"] += count(notRun)
		figures["unknown"] += count(!notRun)
		figures["untrue"] += count(notRun && r.runs > 0)
	}
}

// measureSessions counts sessions; silent ones were given up by the liveness
// check, lost ones because a target said that it does not know them.
func (w *world) measureSessions(figures map[string]float64) {
	for _, key := range []string{"sessions", "sessions_open", "silent", "lost", "echoes_missing"} {
		figures[key] = 0
	}
	for _, s := range w.callers.sessions {
		figures["sessions"]++
		open := s.opened && s.ended == nil
		figures["sessions_open"] += count(open)
		if open {
			figures["echoes_missing"] += float64(s.sent - s.received)
		}
		if s.ended != nil {
			figures["silent"] += count(s.ended.Kind == schema.ErrorKind_FLOW_SILENT)
			figures["lost"] += count(s.ended.Kind == schema.ErrorKind_UNKNOWN_FLOW)
		}
	}
}

func count(b bool) float64 {
	if b {
		return 1
	}
	return 0
}
