// Package explainlog finds in the logs of a fleet's processes what happened to
// one request: the segments and decisions of its flows and the state of the
// processes involved at the time.
package explainlog

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"slices"
	"strings"
	"time"

	"github.com/pkg/errors"

	"github.com/peridotstall/peridotstall/internal/telemetry"
)

const (
	maxLineBytes = 1 << 20
	// contextWindow is the time before the first and after the last line of a
	// request in which state changes of the same hosts are reported.
	contextWindow = 5 * time.Second
)

// Line is one event in a log.
type Line struct {
	Time   time.Time
	Host   string
	Event  int
	Fields map[string]any
}

// text returns a field as text. It is empty when the field is missing.
func (l Line) text(field string) string {
	if v, ok := l.Fields[field]; ok {
		return fmt.Sprint(v)
	}
	return ""
}

// Read reads the JSON lines of a log. It ignores text before the object, such
// as the prefix of a log collector, skips lines of other programs and returns
// their number.
func Read(r io.Reader) (lines []Line, skipped int, err error) {
	scanner := bufio.NewScanner(r)
	scanner.Buffer(nil, maxLineBytes)
	for scanner.Scan() {
		line, ok := parse(scanner.Bytes())
		if !ok {
			skipped++
			continue
		}
		lines = append(lines, line)
	}
	return lines, skipped, errors.Wrap(scanner.Err(), "read log")
}

func parse(b []byte) (Line, bool) {
	start := bytes.IndexByte(b, '{')
	if start < 0 {
		return Line{}, false
	}
	fields := make(map[string]any)
	if err := json.Unmarshal(b[start:], &fields); err != nil {
		return Line{}, false
	}
	at, err := time.Parse(time.RFC3339, fmt.Sprint(fields["time"]))
	number, numeric := fields["event"].(float64)
	if err != nil || !numeric {
		return Line{}, false
	}
	l := Line{Time: at, Event: int(number), Fields: fields}
	l.Host = l.text("host")
	return l, true
}

// Report is what the logs contain about one request.
type Report struct {
	Request string
	// Flows are the flows that carried the request.
	Flows []string
	// Lines are the lines of the request and its flows in the order of time.
	Lines []Line
	// StateChanges are the changes of state of the hosts involved, from
	// contextWindow before the first line until contextWindow after the last
	// one.
	StateChanges []Line
	// OtherTargetChanges is the number of changes of targets that no decision
	// names. StateChanges leaves them out.
	OtherTargetChanges int
	// Omitted is the number of lines that these hosts dropped in this time
	// because of their rate limit, as their logs state.
	Omitted int
}

// stateEvents are the events that change the view of a process or its ability
// to work.
var stateEvents = []int{
	telemetry.ProcessStarted.Number, telemetry.StopBegun.Number, telemetry.Stopped.Number, telemetry.RoutesAccepted.Number,
	telemetry.TargetChanged.Number, telemetry.StoreUnreachable.Number, telemetry.StoreReachable.Number,
	telemetry.OwnLinkDoubted.Number, telemetry.OwnLinkTrusted.Number, telemetry.TargetResponds.Number,
	telemetry.TargetFailing.Number, telemetry.ZoneEvacuated.Number, telemetry.TargetEvacuated.Number, telemetry.TargetEmpty.Number,
	telemetry.WarmupBegun.Number, telemetry.WarmupEnded.Number, telemetry.WarmupExceeded.Number,
}

// Explain collects the report on a request, given by its identifier or by a
// flow. It returns an error when no line names it.
func Explain(lines []Line, request string) (*Report, error) {
	if request == "" {
		return nil, errors.New("request identifier or flow is empty")
	}
	r := &Report{Request: request}
	for _, l := range lines {
		if l.text("request") == request && !slices.Contains(r.Flows, l.text("flow")) {
			r.Flows = append(r.Flows, l.text("flow"))
		}
	}
	if strings.Contains(request, ">") {
		r.Flows = []string{request}
	}
	hosts, targets := make(map[string]bool), make(map[string]bool)
	for _, l := range lines {
		if slices.Contains(r.Flows, l.text("flow")) {
			r.Lines = append(r.Lines, l)
			hosts[l.Host] = true
			targets[l.text("target")] = true
		}
	}
	if len(r.Lines) == 0 {
		return nil, errors.Errorf("no line names %q; the logs may not cover its time, or its lines were dropped by the rate limit", request)
	}
	byTime := func(a, b Line) int { return a.Time.Compare(b.Time) }
	slices.SortStableFunc(r.Lines, byTime)
	first, last := r.Lines[0].Time.Add(-contextWindow), r.Lines[len(r.Lines)-1].Time.Add(contextWindow)
	for _, l := range lines {
		if !hosts[l.Host] || l.Time.Before(first) || l.Time.After(last) {
			continue
		}
		if n, ok := l.Fields["omitted"].(float64); ok {
			r.Omitted += int(n)
		}
		switch {
		case l.Event == telemetry.TargetChanged.Number && !targets[l.text("target")]:
			r.OtherTargetChanges++
		case slices.Contains(stateEvents, l.Event):
			r.StateChanges = append(r.StateChanges, l)
		}
	}
	slices.SortStableFunc(r.StateChanges, byTime)
	return r, nil
}

// Write prints the report.
func (r *Report) Write(w io.Writer) error {
	var b strings.Builder
	fmt.Fprintf(&b, "request %s\nflows %s\n\n", r.Request, strings.Join(r.Flows, ", "))
	b.WriteString("decisions\n")
	for _, l := range r.Lines {
		writeLine(&b, l)
	}
	b.WriteString("\nbeliefs of the hosts involved\n")
	for _, l := range r.StateChanges {
		writeLine(&b, l)
	}
	if r.OtherTargetChanges > 0 {
		fmt.Fprintf(&b, "\n%d changes of other targets are not shown\n", r.OtherTargetChanges)
	}
	if r.Omitted > 0 {
		fmt.Fprintf(&b, "\nthese hosts left out %d lines in this time\n", r.Omitted)
	}
	_, err := io.WriteString(w, b.String())
	return errors.Wrap(err, "write report")
}

// writeLine prints a line with its fields in the order of the event catalogue.
func writeLine(b *strings.Builder, l Line) {
	fmt.Fprintf(b, "  %s  %-22s %d %s", l.Time.Format("15:04:05.000"), l.Host, l.Event, l.text("name"))
	for _, event := range telemetry.Events() {
		if event.Number != l.Event {
			continue
		}
		for _, field := range event.Fields {
			if v := l.text(field); v != "" {
				fmt.Fprintf(b, " %s=%s", field, v)
			}
		}
	}
	b.WriteByte('\n')
}
