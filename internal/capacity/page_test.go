package capacity

import (
	"flag"
	"os"
	"testing"

	qt "github.com/frankban/quicktest"
)

var update = flag.Bool("update", false, "write docs/CAPACITY.md")

const page = "../../docs/CAPACITY.md"

// Guards against a capacity page whose figures differ from those of the command.
func TestPageMatchesReport(t *testing.T) {
	c := qt.New(t)
	have, err := os.ReadFile(page)
	c.Assert(err, qt.IsNil)
	want, err := Compute(TargetSize()).Page(string(have))
	c.Assert(err, qt.IsNil)
	if *update {
		c.Assert(os.WriteFile(page, []byte(want), 0o644), qt.IsNil)
		return
	}
	c.Check(string(have) == want, qt.IsTrue, qt.Commentf("run go test ./internal/capacity -run Page -update"))
}
