// Package explainlog finds in the logs of a fleet's processes what happened to
// one request: its way, the decisions on it and what the processes involved
// believed at the time.
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
	// maxLine bounds a log line in bytes.
	maxLine = 1 << 20
	// around is the time before the first and after the last line of a request
	// in which other lines of the same processes belong to the story.
	around = 5 * time.Second
)

// Line is a line of a log.
type Line struct {
	Time   time.Time
	Host   string
	Event  int
	Fields map[string]any
}

// text returns a field as text, empty when it is absent.
func (l Line) text(field string) string {
	if v, ok := l.Fields[field]; ok {
		return fmt.Sprint(v)
	}
	return ""
}

// Read reads the JSON lines of a log. Text before the object, such as the prefix
// of a log collector, is passed over, as are lines that are none of ours; their
// number is returned.
func Read(r io.Reader) (lines []Line, skipped int, err error) {
	scanner := bufio.NewScanner(r)
	scanner.Buffer(nil, maxLine)
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
	number, isNumber := fields["event"].(float64)
	if err != nil || !isNumber {
		return Line{}, false
	}
	l := Line{Time: at, Event: int(number), Fields: fields}
	l.Host = l.text("host")
	return l, true
}

// Story is what the logs say of a request.
type Story struct {
	Request string
	// Flows are the flows that carried the request.
	Flows []string
	// Lines are those of the request and its flows, in the order of time.
	Lines []Line
	// Beliefs are the changes of belief of the hosts involved, from shortly
	// before to shortly after.
	Beliefs []Line
	// Others is the number of changes of targets that no decision names; they are
	// not among the beliefs.
	Others int
	// Omitted is the number of lines that these hosts left out meanwhile, because
	// of their limit, and said so.
	Omitted int
}

// beliefs are the events that change what a process believes or can do.
var beliefs = []int{
	telemetry.ProcessStarted.Number, telemetry.StopBegun.Number, telemetry.Stopped.Number, telemetry.RoutesAccepted.Number,
	telemetry.TargetChanged.Number, telemetry.StoreUnreachable.Number, telemetry.StoreReachable.Number,
	telemetry.OwnLinkDoubted.Number, telemetry.OwnLinkTrusted.Number, telemetry.TargetResponds.Number,
	telemetry.TargetFailing.Number,
}

// Explain collects the story of a request, or of a flow when that is given in
// place of the identifier. It returns an error when no line names it.
func Explain(lines []Line, request string) (*Story, error) {
	if request == "" {
		return nil, errors.New("no request was named")
	}
	s := &Story{Request: request}
	for _, l := range lines {
		if l.text("request") == request && !slices.Contains(s.Flows, l.text("flow")) {
			s.Flows = append(s.Flows, l.text("flow"))
		}
	}
	if strings.Contains(request, ">") {
		s.Flows = []string{request}
	}
	hosts, targets := make(map[string]bool), make(map[string]bool)
	for _, l := range lines {
		if slices.Contains(s.Flows, l.text("flow")) {
			s.Lines = append(s.Lines, l)
			hosts[l.Host] = true
			targets[l.text("target")] = true
		}
	}
	if len(s.Lines) == 0 {
		return nil, errors.Errorf("no line names %q; the logs may not cover its time, or its lines were left out", request)
	}
	byTime := func(a, b Line) int { return a.Time.Compare(b.Time) }
	slices.SortStableFunc(s.Lines, byTime)
	first, last := s.Lines[0].Time.Add(-around), s.Lines[len(s.Lines)-1].Time.Add(around)
	for _, l := range lines {
		if !hosts[l.Host] || l.Time.Before(first) || l.Time.After(last) {
			continue
		}
		if n, ok := l.Fields["omitted"].(float64); ok {
			s.Omitted += int(n)
		}
		switch {
		case l.Event == telemetry.TargetChanged.Number && !targets[l.text("target")]:
			s.Others++
		case slices.Contains(beliefs, l.Event):
			s.Beliefs = append(s.Beliefs, l)
		}
	}
	slices.SortStableFunc(s.Beliefs, byTime)
	return s, nil
}

// Write prints the story.
func (s *Story) Write(w io.Writer) error {
	var b strings.Builder
	fmt.Fprintf(&b, "request %s\nflows %s\n\n", s.Request, strings.Join(s.Flows, ", "))
	b.WriteString("decisions\n")
	for _, l := range s.Lines {
		writeLine(&b, l)
	}
	b.WriteString("\nbeliefs of the hosts involved\n")
	for _, l := range s.Beliefs {
		writeLine(&b, l)
	}
	if s.Others > 0 {
		fmt.Fprintf(&b, "\n%d changes of other targets are not shown\n", s.Others)
	}
	if s.Omitted > 0 {
		fmt.Fprintf(&b, "\nthese hosts left out %d lines in this time\n", s.Omitted)
	}
	_, err := io.WriteString(w, b.String())
	return errors.Wrap(err, "write")
}

// writeLine prints a line with its fields in the order of the catalogue.
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
