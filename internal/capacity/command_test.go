package capacity

import (
	"bytes"
	"encoding/json"
	"os"
	"path/filepath"
	"testing"

	qt "github.com/frankban/quicktest"
)

func sizeFile(t *testing.T, text string) string {
	path := filepath.Join(t.TempDir(), "size.toml")
	qt.Assert(t, os.WriteFile(path, []byte(text), 0o600), qt.IsNil)
	return path
}

// Guards against an invalid size file that is accepted, or an error that does not
// name the file and the key.
func TestInvalidSizeIsRejected(t *testing.T) {
	for _, test := range []struct{ text, want string }{
		{"target = 3", `.*size\.toml: target: unknown key, must be one of nodes, targets, .*`},
		{"[day]\nchanges = 3", `.*size\.toml: day: unknown key(.|\n)*`},
		{"nodes = 0", `.*size\.toml: nodes: 0, must be an integer from 1 to 6000000(.|\n)*`},
		{"changes_per_day = -1", `.*size\.toml: changes_per_day: -1, must be .*`},
		{"targets = 51000001", `.*size\.toml: targets: 51000001, must be .*`},
		{"targets = \"many\"", `.*size\.toml: .*targets.*`},
		{"nodes = 2", `.*size\.toml: zones: 15, must be at most the number of nodes, 2`},
		{"regions = 20", `.*size\.toml: regions: 20, must be at most the number of zones, 15`},
		{"nodes = 1\nnodes = 1", `.*size\.toml: .*nodes.*`},
	} {
		_, err := Load(sizeFile(t, test.text))
		qt.Check(t, err, qt.ErrorMatches, test.want)
	}
	_, err := Load("no-such-file")
	qt.Check(t, err, qt.ErrorMatches, "read size: .*")
}

// Guards against a command that ignores its settings file or prints invalid JSON.
func TestCommandReadsFileAndPrintsJSON(t *testing.T) {
	c := qt.New(t)
	run := func(args ...string) (string, error) {
		var out bytes.Buffer
		command := NewCommand()
		command.SetArgs(args)
		command.SetOut(&out)
		command.SetErr(&out)
		err := command.Execute()
		return out.String(), err
	}
	text, err := run("--settings", sizeFile(t, "targets = 1200\nnodes = 40"))
	c.Assert(err, qt.IsNil)
	c.Check(text, qt.Contains, "| targets | 1,200 |")
	c.Check(text, qt.Contains, "| services | 3,300 |")
	text, err = run("--json")
	c.Assert(err, qt.IsNil)
	var r Report
	c.Assert(json.Unmarshal([]byte(text), &r), qt.IsNil)
	c.Check(r.Size, qt.Equals, TargetSize())
	c.Check(len(r.Lines) > 0, qt.IsTrue)
	_, err = run("--settings", sizeFile(t, "hosts = 1"))
	c.Check(err, qt.ErrorMatches, `.*hosts: unknown key.*`)
}
