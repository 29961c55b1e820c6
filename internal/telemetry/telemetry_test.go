package telemetry

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http/httptest"
	"os"
	"path/filepath"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/peridotstall/peridotstall/internal/schema"
)

// Guards against a page of events that differs from the catalogue, and against a
// number that is used twice.
func TestEventPageMatchesCatalogue(t *testing.T) {
	c := qt.New(t)
	page, err := os.ReadFile("../../docs/events.md")
	c.Assert(err, qt.IsNil)
	var rows [][]string
	for _, line := range strings.Split(string(page), "\n") {
		cells := strings.Split(line, "|")
		if len(cells) != 8 {
			continue
		}
		for i := range cells {
			cells[i] = strings.TrimSpace(cells[i])
		}
		if _, err := strconv.Atoi(cells[1]); err == nil {
			rows = append(rows, cells)
		}
	}
	events := Events()
	c.Assert(rows, qt.HasLen, len(events))
	last := 0
	for i, event := range events {
		c.Check(event.Number > last, qt.IsTrue, qt.Commentf("event %d", event.Number))
		last = event.Number
		want := []string{strconv.Itoa(event.Number), event.Level.String(), event.Name, strings.Join(event.Fields, ", ")}
		c.Check(rows[i][1:5], qt.DeepEquals, want)
		c.Check(rows[i][5] != "" && rows[i][6] != "", qt.IsTrue, qt.Commentf("event %d lacks a text", event.Number))
	}
}

// Guards against a misspelled level or format that silently becomes the default.
func TestLoggerSettings(t *testing.T) {
	c := qt.New(t)
	_, err := NewLogger(&bytes.Buffer{}, &schema.LogSettings{Level: "verbose"})
	c.Check(err, qt.ErrorMatches, `log level "verbose" .*`)
	_, err = NewLogger(&bytes.Buffer{}, &schema.LogSettings{Format: "xml"})
	c.Check(err, qt.ErrorMatches, `log format "xml" .*`)
	var out bytes.Buffer
	logger, err := NewLogger(&out, &schema.LogSettings{Level: "warn", Format: "json"})
	c.Assert(err, qt.IsNil)
	logger.Log(ProcessReady, "role", "agent")
	c.Check(out.Len(), qt.Equals, 0)
	logger.With("host", "a1").Log(HostDead, "probers", 2)
	line := map[string]any{}
	c.Assert(json.Unmarshal(out.Bytes(), &line), qt.IsNil)
	delete(line, "time")
	want := map[string]any{"level": "warn", "msg": HostDead.Message, "event": 300.0, "name": "host_dead", "host": "a1", "probers": 2.0}
	c.Check(line, qt.DeepEquals, want)
}

// Guards against a flood of packets that becomes a flood of log lines, and against
// occurrences that are neither logged nor counted.
func TestLogLimited(t *testing.T) {
	c := qt.New(t)
	var out bytes.Buffer
	logger, err := NewLogger(&out, nil)
	c.Assert(err, qt.IsNil)
	now := time.Unix(1000, 0)
	for range 5 {
		logger.LogLimited(now, PacketDropped, 7, schema.ErrorKind_TOO_OLD)
	}
	logger.LogLimited(now, PacketDropped, 7, schema.ErrorKind_MALFORMED)
	logger.LogLimited(now.Add(LimitInterval), PacketDropped, 7, schema.ErrorKind_TOO_OLD)
	c.Check(strings.Count(out.String(), "\n"), qt.Equals, 3)
	c.Check(out.String(), qt.Contains, "kind=TOO_OLD count=5")
}

// Guards against a panic in expvar, and against shared counters, when several
// roles run in one process.
func TestMetricsOfSeveralInstances(t *testing.T) {
	c := qt.New(t)
	first := NewMetrics(schema.Role_AGENT, "a1")
	second := NewMetrics(schema.Role_AGENT, "a1")
	defer second.Close()
	first.Error(schema.ErrorKind_TOO_OLD)
	first.Error(schema.ErrorKind(99))
	second.Flows.Add(3)
	recorder := httptest.NewRecorder()
	Handler().ServeHTTP(recorder, httptest.NewRequest("GET", "/debug/vars", nil))
	var vars struct {
		Peridotstall map[string]struct {
			Flows  int
			Errors map[string]int
		}
	}
	c.Assert(json.Unmarshal(recorder.Body.Bytes(), &vars), qt.IsNil)
	c.Check(vars.Peridotstall["agent/a1"].Errors["TOO_OLD"], qt.Equals, 1)
	c.Check(vars.Peridotstall["agent/a1"].Errors["INTERNAL"], qt.Equals, 1)
	c.Check(vars.Peridotstall["agent/a1#2"].Flows, qt.Equals, 3)
	first.Close()
	c.Check(root.Get("agent/a1"), qt.IsNil)
}

// Guards against a trace that is not continued by the next hop, and against spans
// that are lost at shutdown.
func TestTraceAcrossHops(t *testing.T) {
	c := qt.New(t)
	file := filepath.Join(c.TempDir(), "spans")
	tracer, err := NewTracer(&schema.TraceSettings{Ratio: 1, File: file}, "balancer/b1")
	c.Assert(err, qt.IsNil)
	root := tracer.Root("balancer")
	hop := tracer.Hop("agent", root.TraceParent())
	hop.Error(schema.ErrorKind_WRONG_SERVICE)
	hop.End()
	root.End()
	c.Check(strings.Split(hop.TraceParent(), "-")[1], qt.Equals, strings.Split(root.TraceParent(), "-")[1])
	c.Check(tracer.Hop("agent", "").TraceParent(), qt.Equals, "")
	c.Check(tracer.Hop("agent", "junk").TraceParent(), qt.Equals, "")
	c.Assert(tracer.Close(context.Background()), qt.IsNil)
	spans, err := os.ReadFile(file)
	c.Assert(err, qt.IsNil)
	c.Check(bytes.Count(spans, []byte(`"SpanContext"`)), qt.Equals, 2)
}

// Guards against allocations per packet while traces are off, and for packets
// that are not logged because of the rate limit.
func TestNoAllocationWhenOff(t *testing.T) {
	c := qt.New(t)
	tracer, err := NewTracer(nil, "agent/a1")
	c.Assert(err, qt.IsNil)
	logger := Discard()
	now := time.Unix(1000, 0)
	logger.LogLimited(now, PacketDropped, 1, schema.ErrorKind_TOO_OLD)
	allocations := testing.AllocsPerRun(100, func() {
		span := tracer.Root("balancer")
		next := tracer.Hop("agent", span.TraceParent())
		next.Service(1)
		next.End()
		span.End()
		tracer.Request("balancer", 7).End()
		logger.LogLimited(now, PacketDropped, 1, schema.ErrorKind_TOO_OLD)
	})
	c.Check(allocations, qt.Equals, 0.0)
}

// Guards against an event that the catalogue lacks, whose first line ends the process with a nil
// budget (a merge lost two events; agents of an evacuated zone ended in the soak, seeds 1 to 4).
func TestCatalogueHoldsAllEvents(t *testing.T) {
	c := qt.New(t)
	source, err := os.ReadFile("event.go")
	c.Assert(err, qt.IsNil)
	var declared, listed []string
	for _, match := range regexp.MustCompile(`Event\{Number: (\d+),`).FindAllStringSubmatch(string(source), -1) {
		declared = append(declared, match[1])
	}
	for _, event := range Events() {
		listed = append(listed, strconv.Itoa(event.Number))
	}
	slices.Sort(declared)
	c.Check(listed, qt.DeepEquals, declared)
}
