package telemetry

import (
	"encoding/json"
	"expvar"
	"fmt"
	"io"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// Guards against published metrics that the page lacks, and against metrics on
// the page that are not published.
func TestMetricsPageIsCurrent(t *testing.T) {
	c := qt.New(t)
	page, err := os.ReadFile("../../docs/metrics.md")
	c.Assert(err, qt.IsNil)
	var want, got []string
	for _, desc := range SegmentMetricDescs() {
		want = append(want, fmt.Sprintf("| `%s` | %s | %s | %s |", desc.Name, desc.Kind, desc.Unit, desc.Meaning))
	}
	for _, line := range strings.Split(string(page), "\n") {
		if strings.HasPrefix(line, "| `") {
			got = append(got, line)
		}
	}
	c.Check(got, qt.DeepEquals, want)
}

// Guards against a metric of the catalogue that is not served or is served under
// another name, and against histograms that lose recorded values.
func TestMetricsArePublished(t *testing.T) {
	c := qt.New(t)
	m := NewSegmentMetrics("test/metrics", "known", "opened")
	defer m.Close()
	m.Reason(1).Inc()
	m.ViewAge.Set(250)
	m.Search.Record(30 * time.Millisecond)
	var served map[string]json.RawMessage
	c.Assert(json.Unmarshal([]byte(root.Get(m.name).(*expvar.Map).String()), &served), qt.IsNil)
	for _, desc := range SegmentMetricDescs() {
		_, found := served[desc.Name]
		c.Check(found, qt.IsTrue, qt.Commentf("%s", desc.Name))
		delete(served, desc.Name)
	}
	c.Check(served, qt.HasLen, 0)
	var values struct {
		Age       int `json:"beliefs_age_ms"`
		Decisions map[string]int
		Search    struct {
			N       int `json:"count"`
			Highest int `json:"max_us"`
		}
	}
	c.Assert(json.Unmarshal([]byte(root.Get(m.name).(*expvar.Map).String()), &values), qt.IsNil)
	c.Check(values.Age, qt.Equals, 250)
	c.Check(values.Decisions, qt.DeepEquals, map[string]int{"known": 0, "opened": 1})
	c.Check(values.Search.N, qt.Equals, 1)
	c.Check(values.Search.Highest >= 29_000 && values.Search.Highest <= 31_000, qt.IsTrue)
}

// BenchmarkDecisionLine measures a line that is written, and a call of Allow for
// one that is omitted.
func BenchmarkDecisionLine(b *testing.B) {
	d, err := NewDecisionLog(io.Discard, "host", "edge-a-1")
	if err != nil {
		b.Fatal(err)
	}
	defer d.Close()
	b.Run("written", func(b *testing.B) {
		for b.Loop() {
			d.Log(FlowPlaced, "flow", "100.64.0.1:40000>198.18.0.1:443", "reason", "opened", "copy", 0, "attempt", 0,
				"target", "i-0123456789", "targets", 1, "pending", 2, "report_age", 40*time.Millisecond, "version", 7, "revision", 66)
		}
	})
	b.Run("omitted", func(b *testing.B) {
		for range decisionsPerSecond {
			d.Allow(FlowPlaced)
		}
		for b.Loop() {
			d.Allow(FlowPlaced)
		}
	})
}

// blockedWriter blocks until release is closed.
type blockedWriter struct {
	release chan struct{}
	out     strings.Builder
}

func (w *blockedWriter) Write(b []byte) (int, error) {
	<-w.release
	return w.out.Write(b)
}

// Guards against decisions that block while the log output is blocked, against a
// buffer that grows without limit meanwhile, and against lines that are lost
// without being counted or when the process ends.
func TestBlockedOutputDoesNotBlockCaller(t *testing.T) {
	c := qt.New(t)
	w := &blockedWriter{release: make(chan struct{})}
	d, err := NewDecisionLog(w)
	c.Assert(err, qt.IsNil)
	const lines = 5000
	for range lines {
		d.Log(ProcessReady, "revision", 1)
	}
	c.Check(len(d.out.lines), qt.Equals, bufferedLines)
	close(w.release)
	for !d.out.halfFree() {
		time.Sleep(time.Millisecond)
	}
	d.Log(Stopped)
	d.Close()
	written := strings.Count(w.out.String(), "\n")
	c.Check(written < lines, qt.IsTrue)
	lost := 0
	for _, line := range strings.Split(strings.TrimSpace(w.out.String()), "\n") {
		var fields struct {
			Lost int `json:"lost_lines"`
		}
		c.Assert(json.Unmarshal([]byte(line), &fields), qt.IsNil)
		lost += fields.Lost
	}
	c.Check(lost+written, qt.Equals, lines+1)
	c.Check(w.out.String(), qt.Contains, `"name":"stopped"`)
	d.Close()
}

// Guards against more lines than the limit when a second begins while several goroutines
// ask.
func TestLineLimitAtTheChangeOfASecond(t *testing.T) {
	c := qt.New(t)
	var b lineBudget
	const seconds, askers = 20, 8
	for second := range int64(seconds) {
		var allowed atomic.Int64
		var group sync.WaitGroup
		for range askers {
			group.Go(func() {
				for range decisionsPerSecond {
					if b.allow(second) {
						allowed.Add(1)
					}
				}
			})
		}
		group.Wait()
		c.Check(allowed.Load() <= decisionsPerSecond, qt.IsTrue, qt.Commentf("second %d: %d", second, allowed.Load()))
	}
}
