package checkcmd

import (
	"bytes"
	"encoding/json"
	"os"
	"path/filepath"
	"testing"

	qt "github.com/frankban/quicktest"
)

const (
	commonLines  = "[common]\nhost = \"h\"\nzone = \"z\"\ncontrol_address = \"127.0.0.1:1\"\nconfig_url = \"http://127.0.0.1:2\"\n"
	configHeader = `"hashKey": "MDEyMzQ1Njc4OWFiY2RlZg==", "members": [{"name": "m", "weight": 1}]`
	service      = `{"id": 1, "name": "front", "member": "m", "mode": "TCP", "address": "192.0.2.1:80",
		"targets": {"requirements": [{"key": "k", "operator": "EXISTS"}]}}`
	renamedService = `{"id": 1, "name": "other", "member": "m", "mode": "TCP", "address": "192.0.2.1:80",
		"targets": {"requirements": [{"key": "k", "operator": "EXISTS"}]}}`
)

// files maps the names of the input files to their content.
var files = map[string]string{
	"balancer.toml":    commonLines,
	"agent.toml":       "target = 1\n" + commonLines,
	"bad-agent.toml":   "target = 0\n" + commonLines,
	"old.json":         `{"revision": "1", ` + configHeader + `}`,
	"new.json":         `{"revision": "2", ` + configHeader + `, "services": [` + service + `]}`,
	"changed.json":     `{"revision": "1", ` + configHeader + `, "services": [` + service + `]}`,
	"reused.json":      `{"revision": "3", ` + configHeader + `, "services": [` + renamedService + `]}`,
	"bad.json":         `{"revision": "2", "members": [{"name": "m"}]}`,
	"unknown.json":     `{"revison": "2"}`,
	"no-extension.cfg": ` {"revision": "1", ` + configHeader + `}`,
}

func execute(t *testing.T, args ...string) (string, error) {
	t.Chdir(t.TempDir())
	for name, text := range files {
		qt.Assert(t, os.WriteFile(filepath.Join(".", name), []byte(text), 0o600), qt.IsNil)
	}
	cmd := NewCommand()
	var out bytes.Buffer
	cmd.SetOut(&out)
	cmd.SetErr(&bytes.Buffer{})
	cmd.SetArgs(args)
	err := cmd.Execute()
	return out.String(), err
}

// Guards against invalid files that pass with exit status zero, files that are
// checked as another kind, and changes that a running process would reject.
func TestCheck(t *testing.T) {
	for _, test := range []struct {
		about string
		args  []string
		want  string
		err   string
	}{
		{"valid files", []string{"balancer.toml", "agent.toml", "old.json", "no-extension.cfg"},
			"balancer.toml: valid balancer settings\nagent.toml: valid agent settings\n" +
				"old.json: valid configuration\nno-extension.cfg: valid configuration\n", ""},
		{"invalid settings", []string{"old.json", "bad-agent.toml"},
			"old.json: valid configuration\nbad-agent.toml: invalid agent settings, 1 fault(s)\n" +
				"bad-agent.toml:1: target: 0, must be an integer from 1 to 4294967295\n",
			"1 of 2 files are invalid"},
		{"invalid configuration", []string{"bad.json"},
			"bad.json: invalid configuration, 2 fault(s)\n" +
				"bad.json: members[name=m].weight: 0, must be a number from 1 to 10000\n" +
				"bad.json: hash_key: 0 bytes, must be 16 bytes\n",
			"1 of 1 files are invalid"},
		{"impact", []string{"--against", "old.json", "new.json"},
			"new.json: valid configuration\nrevision 1 -> 2\nservices added (1): 1/front\n", ""},
		{"lower revision", []string{"--against", "new.json", "old.json"},
			"old.json: invalid configuration, 1 fault(s)\n" +
				"old.json: revision: 1, must be above 2, the revision of the earlier configuration\n" +
				"revision 2 -> 1\nservices removed (1): 1/front\n",
			"1 of 1 files are invalid"},
		{"same revision, other content", []string{"--against", "old.json", "changed.json"},
			"changed.json: invalid configuration, 1 fault(s)\n" +
				"changed.json: revision: 1, must be above 1, the revision of the earlier configuration\n" +
				"revision 1 -> 1\nservices added (1): 1/front\n",
			"1 of 1 files are invalid"},
		{"same revision, invalid content", []string{"--against", "new.json", "bad.json"},
			"bad.json: invalid configuration, 3 fault(s)\n" +
				"bad.json: revision: 2, must be above 2, the revision of the earlier configuration\n" +
				"bad.json: members[name=m].weight: 0, must be a number from 1 to 10000\n" +
				"bad.json: hash_key: 0 bytes, must be 16 bytes\n",
			"1 of 1 files are invalid"},
		{"ID reused", []string{"--against", "new.json", "reused.json"},
			"reused.json: invalid configuration, 1 fault(s)\n" +
				"reused.json: services[id=1].id: 1, must be an ID that was not used before: " +
				"an accepted revision used it for \"front\", this one for \"other\"\n" +
				"revision 2 -> 3\nservices changed (1): 1/other\n",
			"1 of 1 files are invalid"},
		{"missing file", []string{"none.toml"}, "", "check: open none.toml: .*"},
		{"missing earlier file", []string{"--against", "none.json", "old.json"}, "", "earlier configuration: open none.json: .*"},
		{"invalid earlier file", []string{"--against", "bad.json", "old.json"}, "", "(?s)earlier configuration bad.json: invalid configuration, .*"},
		{"no file", nil, "", "requires at least 1 arg.*"},
	} {
		t.Run(test.about, func(t *testing.T) {
			out, err := execute(t, test.args...)
			qt.Check(t, out, qt.Equals, test.want)
			if test.err == "" {
				qt.Check(t, err, qt.IsNil)
				return
			}
			qt.Check(t, err, qt.ErrorMatches, test.err)
		})
	}
}

// Guards against JSON output that does not decode into the results, or that lacks
// the impact or the faults.
func TestJSON(t *testing.T) {
	c := qt.New(t)
	out, err := execute(t, "--json", "--against", "old.json", "new.json", "unknown.json")
	c.Check(err, qt.ErrorMatches, "1 of 2 files are invalid")
	var results []result
	c.Assert(json.Unmarshal([]byte(out), &results), qt.IsNil)
	c.Assert(len(results), qt.Equals, 2)
	c.Check(results[0].Valid, qt.IsTrue)
	c.Check(results[0].Impact.Services.Added[0].Name, qt.Equals, "front")
	c.Check(results[1].Valid, qt.IsFalse)
	c.Check(results[1].Faults[0].Value, qt.Matches, `parse configuration: .*revison.*`)
}
