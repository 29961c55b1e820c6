package scenario

import (
	"github.com/peridotstall/peridotstall/internal/errkind"
	"github.com/peridotstall/peridotstall/internal/schema"
)

// figures returns the figures that the command expect compares.
func (sim *simulation) figures() map[string]float64 {
	figures := map[string]float64{}
	sim.measureFlows(figures)
	sim.measureRequests(figures)
	sim.measureSessions(figures)
	for _, a := range sim.fleet.agents {
		figures["new_while_draining"] += float64(a.openedDraining)
		stats := a.flows.Stats()
		figures["asks"] += float64(stats.Queries)
		figures["ask_timeouts"] += float64(stats.QueryTimeouts)
		figures["conflicts"] += float64(stats.Conflicts)
		figures["held"] += float64(stats.Buffered)
		figures["owned"] += float64(stats.Flows)
		figures["directory"] += float64(stats.Registered)
	}
	return figures
}

// measureFlows counts flows. A flow moved if a second target delivered its packets,
// and is unanswered if its last packet was not answered. Either breaks it.
func (sim *simulation) measureFlows(figures map[string]float64) {
	for _, key := range []string{"flows", "moved", "unanswered", "broken", "opened_twice"} {
		figures[key] = 0
	}
	for _, f := range sim.callers.flows {
		figures["flows"]++
		moved := len(f.owners) > 1
		unanswered := f.answered < f.sent
		figures["moved"] += count(moved)
		figures["unanswered"] += count(unanswered)
		figures["broken"] += count(moved || unanswered)
		figures["opened_twice"] += count(f.opens > 1)
	}
}

// measureRequests counts requests. A refusal is untrue if its kind states that the
// request did not run, but the request ran.
func (sim *simulation) measureRequests(figures map[string]float64) {
	for _, key := range []string{"requests", "answered", "whole", "refused", "unknown", "unfinished", "untrue", "most_runs"} {
		figures[key] = 0
	}
	for _, r := range sim.callers.calls {
		figures["requests"]++
		figures["answered"] += count(r.answered)
		figures["whole"] += count(r.correct)
		figures["unfinished"] += count(!r.finished)
		figures["most_runs"] = max(figures["most_runs"], float64(r.runs))
		figures["answered_"+r.class] += count(r.answered)
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

// measureSessions counts sessions. Silent ones were ended by the liveness check,
// lost ones by a target that does not hold them.
func (sim *simulation) measureSessions(figures map[string]float64) {
	for _, key := range []string{"sessions", "sessions_open", "silent", "lost", "echoes_missing"} {
		figures[key] = 0
	}
	for _, s := range sim.callers.sessions {
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
