package telemetry

import (
	"encoding/json"
	"expvar"
	"fmt"
	"os"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// Guards against figures that the page does not explain, and against a page that
// names figures which are not published.
func TestMetricsPageIsCurrent(t *testing.T) {
	c := qt.New(t)
	page, err := os.ReadFile("../../docs/metrics.md")
	c.Assert(err, qt.IsNil)
	var want, got []string
	for _, f := range SegmentFigures() {
		want = append(want, fmt.Sprintf("| `%s` | %s | %s | %s |", f.Name, f.Kind, f.Unit, f.Meaning))
	}
	for _, line := range strings.Split(string(page), "\n") {
		if strings.HasPrefix(line, "| `") {
			got = append(got, line)
		}
	}
	c.Check(got, qt.DeepEquals, want)
}

// Guards against a figure of the catalogue that is not served, or one that is
// served under another name, and against histograms that lose what was recorded.
func TestFiguresArePublished(t *testing.T) {
	c := qt.New(t)
	m := NewSegmentMetrics("test/figures", "known", "opened")
	defer m.Close()
	m.Reason(1).Inc()
	m.Age.Set(250)
	m.Search.Record(30 * time.Millisecond)
	var served map[string]json.RawMessage
	c.Assert(json.Unmarshal([]byte(root.Get(m.name).(*expvar.Map).String()), &served), qt.IsNil)
	for _, f := range SegmentFigures() {
		_, found := served[f.Name]
		c.Check(found, qt.IsTrue, qt.Commentf("%s", f.Name))
		delete(served, f.Name)
	}
	c.Check(served, qt.HasLen, 0)
	var figures struct {
		Age       int `json:"beliefs_age_ms"`
		Decisions map[string]int
		Search    struct {
			N       int `json:"count"`
			Highest int `json:"max_us"`
		}
	}
	c.Assert(json.Unmarshal([]byte(root.Get(m.name).(*expvar.Map).String()), &figures), qt.IsNil)
	c.Check(figures.Age, qt.Equals, 250)
	c.Check(figures.Decisions, qt.DeepEquals, map[string]int{"known": 0, "opened": 1})
	c.Check(figures.Search.N, qt.Equals, 1)
	c.Check(figures.Search.Highest >= 29_000 && figures.Search.Highest <= 31_000, qt.IsTrue)
}
