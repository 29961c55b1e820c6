package settings

import (
	"flag"
	"os"
	"path/filepath"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/reflect/protoreflect"

	"github.com/peridotstall/peridotstall/internal/schema"
)

var update = flag.Bool("update", false, "write docs/settings.md")

const commonSettings = `[common]
host = "h1"
zone = "z1"
control_address = "127.0.0.1:7000"
config_url = "http://127.0.0.1:9000"
`

func writeFile(t *testing.T, text string) string {
	path := filepath.Join(t.TempDir(), "file.toml")
	qt.Assert(t, os.WriteFile(path, []byte(text), 0o600), qt.IsNil)
	return path
}

// Guards against a valid file that is rejected, and against defaults that are
// not applied.
func TestLoad(t *testing.T) {
	c := qt.New(t)
	b, err := LoadBalancer(writeFile(t, "stop_grace_ms = 0\n"+commonSettings+"trace.ratio = 1\n[[listeners]]\nservice = \"198.18.0.1:80\"\nbind = \"127.0.0.1:8080\"\n"))
	c.Assert(err, qt.IsNil)
	c.Check(b.GetStopGraceMs(), qt.Equals, uint32(0))
	c.Check(b.GetCommon().GetTrace().GetRatio(), qt.Equals, 1.0)
	c.Check(b.GetCommon().GetLog().GetLevel(), qt.Equals, "info")
	c.Check(b.GetListeners()[0].GetBind(), qt.Equals, "127.0.0.1:8080")
	a, err := LoadAgent(writeFile(t, "target = 4\n"+commonSettings+"peers = [\"127.0.0.1:1\", \"127.0.0.1:2\"]\n"))
	c.Assert(err, qt.IsNil)
	c.Check(a.GetDrainLimitMs(), qt.Equals, uint32(60_000))
	c.Check(a.GetCommon().GetPeers(), qt.HasLen, 2)
	_, err = LoadAgent("no-such-file")
	c.Check(err, qt.ErrorMatches, "read settings: .*")
}

// Guards against invalid settings that are accepted, or reported without their
// key, line and value, and against the line of another value.
func TestFaults(t *testing.T) {
	for _, test := range []struct {
		about string
		text  string
		want  []string
	}{
		{"unknown keys", "stop_grace = 1\n" + commonSettings + "a = 1\n", []string{
			`:7: common.a: unknown key with value 1, must be one of the keys host, zone, `,
			`:1: stop_grace: unknown key with value 1, must be one of the keys common, `}},
		{"wrong types", "stop_grace_ms = \"5\"\nlisteners = 3\ncommon = 2", []string{
			`:3: common: 2, must be a table`,
			`:2: listeners: 3, must be an array of tables`,
			`:1: stop_grace_ms: "5", must be an integer from 0 to 600000 ms`}},
		{"out of range", "stop_grace_ms = 600001\n" + commonSettings + "[common.trace]\nratio = 1.5", []string{
			`:8: common.trace.ratio: 1.5, must be a number from 0 to 1`,
			`:1: stop_grace_ms: 600001, must be `}},
		{"not a number", commonSettings + "trace.ratio = nan", []string{`:6: common.trace.ratio: NaN, must be `}},
		{"negative", "stop_grace_ms = -1\n" + commonSettings, []string{`:1: stop_grace_ms: -1, must be `}},
		{"missing", "[common]\nhost = \"\"\ncontrol_address = \"h:1\"", []string{
			`:2: common.host: "", must be a string that is not empty`,
			`: common.zone: missing, must be present, a string`,
			`:3: common.control_address: "h:1", must be an IP address and a port`,
			`: common.config_url: missing`}},
		{"missing table", "", []string{`: common: missing`, `: common.host: missing`, `: common.zone: missing`,
			`: common.control_address: missing`, `: common.config_url: missing`}},
		{"word", commonSettings + "log.level = \"loud\"", []string{`:6: common.log.level: "loud", must be one of debug, `}},
		{"second listener", commonSettings + "[[listeners]]\nservice = \"10.0.0.1:1\"\nbind = \"10.0.0.1:1\"\n[[listeners]]\nbind = 1\n", []string{
			`: listeners[1].service: missing`, `: listeners[1].bind: 1, must be `}},
		{"element", commonSettings + "peers = [\"a\", 1]", []string{`: common.peers[1]: 1, must be an array, each element a string`}},
		{"syntax", "a = \n", []string{`:1: a: `}},
		{"twice", "a = 1\na = 2\n", []string{`:2: a: `}},
		{"too long", strings.Repeat("#", MaxFileSize+1), []string{`: 1048577 bytes, must be `}},
	} {
		t.Run(test.about, func(t *testing.T) {
			c := qt.New(t)
			_, err := LoadBalancer(writeFile(t, test.text))
			list, ok := err.(*Error)
			c.Assert(ok, qt.IsTrue, qt.Commentf("error %v", err))
			c.Assert(list.Faults, qt.HasLen, len(test.want), qt.Commentf("%v", err))
			for i, want := range test.want {
				line := list.Faults[i].String()
				_, rest, _ := strings.Cut(line, "file.toml")
				c.Check(strings.HasPrefix(rest, want), qt.IsTrue, qt.Commentf("%s\nwant %s", line, want))
			}
		})
	}
}

// Guards against integers out of range that are accepted because they wrap
// around when they are converted to 32 bits.
func TestTargetRange(t *testing.T) {
	for _, value := range []string{"0", "4294967297", "-4294967295"} {
		_, err := LoadAgent(writeFile(t, "target = "+value+"\n"+commonSettings))
		qt.Check(t, err, qt.ErrorMatches, "(?s).*:1: target: "+value+", must be an integer from 1 to 4294967295")
	}
}

// Guards against a schema field whose kind or default the decoder does not
// support.
func TestSchemaIsSupported(t *testing.T) {
	c := qt.New(t)
	var visit func(md protoreflect.MessageDescriptor)
	visit = func(md protoreflect.MessageDescriptor) {
		for i := range md.Fields().Len() {
			fd := md.Fields().Get(i)
			if fd.Message() != nil {
				visit(fd.Message())
				continue
			}
			c.Check([]protoreflect.Kind{protoreflect.StringKind, protoreflect.BoolKind, protoreflect.Uint32Kind, protoreflect.DoubleKind}, qt.Contains, fd.Kind())
			if text := fieldRule(fd).GetDefault(); text != "" {
				v := defaultValue(fd)
				c.Check(v.String(), qt.Equals, text)
				c.Check(inRange(v, fd) && validString(v, fd), qt.IsTrue, qt.Commentf("%s", fd.FullName()))
			}
		}
	}
	visit((&schema.BalancerSettings{}).ProtoReflect().Descriptor())
	visit((&schema.AgentSettings{}).ProtoReflect().Descriptor())
}

// Guards against a settings page that was not generated again after a change of
// the schema.
func TestDocumentIsCurrent(t *testing.T) {
	c := qt.New(t)
	const page = "../../docs/settings.md"
	if *update {
		c.Assert(os.WriteFile(page, []byte(Document()), 0o644), qt.IsNil)
	}
	text, err := os.ReadFile(page)
	c.Assert(err, qt.IsNil)
	c.Check(string(text), qt.Equals, Document())
}

// Guards against settings of one role that are validated as those of the other.
func TestDetect(t *testing.T) {
	c := qt.New(t)
	c.Check(Detect([]byte("target = 1\n"+commonSettings)), qt.Equals, schema.Role_AGENT)
	c.Check(Detect([]byte("stop_grace_ms = 1\n"+commonSettings)), qt.Equals, schema.Role_BALANCER)
	c.Check(Detect([]byte(commonSettings)), qt.Equals, schema.Role_BALANCER)
	c.Check(Detect([]byte("=")), qt.Equals, schema.Role_BALANCER)
}

// Guards against files that make the decoder panic, or that give different
// results when they are parsed twice.
func FuzzParse(f *testing.F) {
	f.Add([]byte("target = 1\n" + commonSettings))
	f.Fuzz(func(t *testing.T, data []byte) {
		first, second := &schema.AgentSettings{}, &schema.AgentSettings{}
		err := parse("f", data, first)
		again := parse("f", data, second)
		qt.Assert(t, err == nil, qt.Equals, again == nil)
		if err != nil {
			qt.Assert(t, err.Error(), qt.Equals, again.Error())
			return
		}
		qt.Assert(t, proto.Equal(first, second), qt.IsTrue)
		qt.Assert(t, first.GetTarget() > 0 && first.GetCommon().GetHost() != "", qt.IsTrue)
	})
}
