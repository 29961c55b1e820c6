package cli

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/peridotstall/peridotstall/internal/segment"
	"github.com/peridotstall/peridotstall/internal/telemetry"
	"github.com/peridotstall/peridotstall/platform"
	"github.com/peridotstall/peridotstall/platform/standin"
)

// newNodeHost returns an agent's host on free loopback ports, and a free port for metrics.
func newNodeHost(c *qt.C) (host standin.Host, metrics string) {
	var ports [6]uint16
	for i := range ports {
		l, err := net.Listen("tcp4", "127.0.0.1:0")
		c.Assert(err, qt.IsNil)
		ports[i] = uint16(l.Addr().(*net.TCPAddr).Port)
		c.Assert(l.Close(), qt.IsNil)
	}
	return standin.Host{
		Name: "side-a-1", IP: netip.MustParseAddr("127.0.0.1"), Zone: "a", Service: "shop", GraceSeconds: 2,
		Ports: standin.Ports{Link: ports[0], App: ports[1], Packets: ports[2], Outbound: ports[3], Ready: ports[4]},
	}, fmt.Sprint(ports[5])
}

// syncBuffer is a buffer for concurrent writes of a process and reads of a test.
type syncBuffer struct {
	mu sync.Mutex
	b  bytes.Buffer
}

func (s *syncBuffer) Write(p []byte) (int, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.b.Write(p)
}

func (s *syncBuffer) String() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.b.String()
}

// Guards against a process that exits at a reload, ignores changed settings, applies
// invalid ones or does not stop at a signal.
func TestNodeReloadsSettingsAndStops(t *testing.T) {
	c := qt.New(t)
	host, metrics := newNodeHost(c)
	path := filepath.Join(c.TempDir(), "node.toml")
	c.Assert(standin.WriteSettings(path, host), qt.IsNil)
	var out syncBuffer
	process := exec.Command("peridotstall", "node", "agent", "--metrics-port", metrics)
	process.Env = append(os.Environ(), standin.SettingsVariable+"="+path)
	process.Stdout, process.Stderr = &out, &out
	process.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	c.Assert(process.Start(), qt.IsNil)
	c.Cleanup(func() { _ = process.Process.Kill() })
	waitFor := func(what string, condition func() bool) {
		c.Helper()
		deadline := time.Now().Add(processTimeout)
		ticker := time.NewTicker(10 * time.Millisecond)
		defer ticker.Stop()
		for !condition() {
			if time.Now().After(deadline) {
				c.Fatalf("%s did not happen:\n%s", what, out.String())
			}
			<-ticker.C
		}
	}
	get := func(url string) (string, bool) {
		response, err := http.Get(url)
		if err != nil {
			return "", false
		}
		defer response.Body.Close()
		var body bytes.Buffer
		_, err = body.ReadFrom(response.Body)
		return body.String(), err == nil && response.StatusCode == 200
	}
	waitFor("readiness", func() bool { _, ok := get(host.ReadyURL()); return ok })
	body, ok := get("http://127.0.0.1:" + metrics + "/debug/vars")
	c.Assert(ok, qt.IsTrue)
	c.Check(json.Valid([]byte(body)), qt.IsTrue)
	c.Check(body, qt.Contains, "agent/side-a-1")

	host.Service = "other"
	c.Assert(standin.WriteSettings(path, host), qt.IsNil)
	waitFor("a reload without a signal", func() bool { return strings.Contains(out.String(), "settings_reloaded") })
	c.Assert(process.Process.Signal(syscall.SIGHUP), qt.IsNil)
	moved := host
	moved.Zone = "b"
	c.Assert(standin.WriteSettings(path, moved), qt.IsNil)
	waitFor("the note on a setting that needs a restart", func() bool { return strings.Contains(out.String(), `"restart_needed":"zone"`) })
	invalid := host
	invalid.Zone = ""
	c.Assert(standin.WriteSettings(path, invalid), qt.IsNil)
	c.Assert(process.Process.Signal(syscall.SIGHUP), qt.IsNil)
	waitFor("the rejection of invalid settings", func() bool { return strings.Contains(out.String(), "settings_rejected") })
	_, ok = get(host.ReadyURL())
	c.Check(ok, qt.IsTrue)
	c.Assert(process.Process.Signal(syscall.SIGTERM), qt.IsNil)
	c.Check(process.Wait(), qt.IsNil)
	c.Check(out.String(), qt.Contains, `"name":"stopped"`)
}

// Guards against a change of the settings file that is never applied because it comes
// after the process has parsed the file and before its watcher first looks at it.
func TestChangeBeforeFirstPollIsApplied(t *testing.T) {
	c := qt.New(t)
	host, _ := newNodeHost(c)
	path := filepath.Join(c.TempDir(), "node.toml")
	c.Assert(standin.WriteSettings(path, host), qt.IsNil)
	content, err := os.ReadFile(path)
	c.Assert(err, qt.IsNil)
	settings, err := platform.ParseSettings(path, content, true)
	c.Assert(err, qt.IsNil)
	host.Service = "other"
	c.Assert(standin.WriteSettings(path, host), qt.IsNil)
	r := &nodeRunner{path: path, role: "agent", agent: true, content: content, settings: settings}
	var out syncBuffer
	logger, err := telemetry.NewDecisionLog(&out)
	c.Assert(err, qt.IsNil)
	process, err := startNode(settings, true, logger)
	c.Assert(err, qt.IsNil)
	signals := make(chan os.Signal, 2)
	signals <- syscall.SIGHUP
	signals <- syscall.SIGTERM
	c.Assert(r.supervise(process, logger, signals, make(chan error)), qt.IsNil)
	logger.Close()
	c.Check(out.String(), qt.Contains, "settings_reloaded")
}

// Guards against invalid settings whose error does not name the field.
func TestNodeNamesInvalidSetting(t *testing.T) {
	c := qt.New(t)
	host, _ := newNodeHost(c)
	host.Zone = ""
	path := filepath.Join(c.TempDir(), "node.toml")
	c.Assert(standin.WriteSettings(path, host), qt.IsNil)
	c.Setenv(standin.SettingsVariable, path)
	var out, errOut bytes.Buffer
	c.Check(Execute([]string{"node", "agent"}, &out, &errOut), qt.Equals, exitInvalid)
	c.Check(errOut.String(), qt.Contains, "zone")
	c.Setenv(standin.SettingsVariable, "")
	c.Check(Execute([]string{"node", "balancer"}, &out, &errOut), qt.Equals, exitInvalid)
}

// Guards against a process that starts although an address is in use, or whose error
// does not name the address.
func TestNodeNamesAddressInUse(t *testing.T) {
	c := qt.New(t)
	for _, network := range []string{"udp", "tcp"} {
		c.Run(network, func(c *qt.C) {
			host, _ := newNodeHost(c)
			address := netip.AddrPortFrom(host.IP, host.Ports.Packets)
			if network == "udp" {
				socket, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(address))
				c.Assert(err, qt.IsNil)
				defer socket.Close()
			} else {
				address = netip.AddrPortFrom(host.IP, host.Ports.Ready)
				listener, err := net.Listen("tcp4", address.String())
				c.Assert(err, qt.IsNil)
				defer listener.Close()
			}
			path := filepath.Join(c.TempDir(), "node.toml")
			c.Assert(standin.WriteSettings(path, host), qt.IsNil)
			c.Setenv(standin.SettingsVariable, path)
			var out, errOut bytes.Buffer
			c.Check(Execute([]string{"node", "agent"}, &out, &errOut), qt.Equals, 1)
			c.Check(errOut.String(), qt.Contains, address.String())
		})
	}
}

// Guards against a check that accepts files which the processes reject, or that does not
// name the error.
func TestNodeCheck(t *testing.T) {
	c := qt.New(t)
	dir := c.TempDir()
	file := func(name, content string) string {
		path := filepath.Join(dir, name)
		c.Assert(os.WriteFile(path, []byte(content), 0o600), qt.IsNil)
		return path
	}
	host, _ := newNodeHost(c)
	good := filepath.Join(dir, "good.toml")
	c.Assert(standin.WriteSettings(good, host), qt.IsNil)
	host.Zone = ""
	bad := filepath.Join(dir, "bad.toml")
	c.Assert(standin.WriteSettings(bad, host), qt.IsNil)
	address, _ := segment.EndpointFrom(netip.MustParseAddrPort("198.18.0.1:443"))
	routes := string(standin.RoutesDocument(7, map[string]segment.Endpoint{"shop": address}))
	tests := []struct {
		args   []string
		status int
		output string
	}{
		{[]string{"agent", good}, 0, "agent side-a-1 in a, service shop"},
		{[]string{"agent", good, bad}, exitInvalid, "zone"},
		{[]string{"balancer", file("empty.toml", "")}, exitInvalid, "empty.toml"},
		{[]string{"routes", file("routes.json", routes)}, 0, "version 7, 1 routes"},
		{[]string{"routes", file("warmup.json", strings.Replace(routes, `"version":7`, `"version":7,"backends":[{"name":"shop","warmup_s":2,"warmup_per_s":4}]`, 1))}, 0,
			"service shop: targets are cold for 2s and take 4 requests a second then"},
		{[]string{"routes", file("address.json", strings.Replace(routes, "198.18.0.1", "nowhere", 1))}, exitInvalid, "route r-shop"},
		{[]string{"routes", file("broken.json", routes[:20])}, exitInvalid, "cannot be read"},
		{[]string{"routes", filepath.Join(dir, "missing.json")}, exitInvalid, "missing.json"},
		{[]string{"targets", good}, exitInvalid, "targets"},
	}
	for _, test := range tests {
		c.Run(strings.Join(test.args, " "), func(c *qt.C) {
			var out, errOut bytes.Buffer
			c.Check(Execute(append([]string{"node", "check"}, test.args...), &out, &errOut), qt.Equals, test.status)
			c.Check(out.String()+errOut.String(), qt.Contains, test.output)
		})
	}
}

// Guards against an explain --logs command that does not find a request in the logs, or
// that succeeds without one.
func TestExplainLogs(t *testing.T) {
	c := qt.New(t)
	path := filepath.Join(c.TempDir(), "agent.log")
	c.Assert(os.WriteFile(path, []byte(`{"time":"2026-12-04T10:00:01Z","host":"a1","event":614,"name":"request_handed","request":"r1","flow":"f"}`+"\n"), 0o600), qt.IsNil)
	var out, errOut bytes.Buffer
	c.Check(Execute([]string{"explain", "--logs", path, "r1"}, &out, &errOut), qt.Equals, exitOK)
	c.Check(out.String(), qt.Contains, "request_handed")
	c.Check(Execute([]string{"explain", "--logs", path, "r2"}, &out, &errOut), qt.Equals, exitFailed)
	c.Check(Execute([]string{"explain", "--logs", path + "x", "r1"}, &out, &errOut), qt.Equals, exitInvalid)
}
