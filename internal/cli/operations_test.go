package cli

import (
	"bytes"
	"encoding/json"
	"errors"
	"net"
	"net/http"
	"net/netip"
	"os"
	"os/exec"
	"regexp"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/peridotstall/peridotstall/caller"
	"github.com/peridotstall/peridotstall/internal/config"
	"github.com/peridotstall/peridotstall/internal/placement"
)

var shellBlock = regexp.MustCompile("(?s)```sh\n(.*?)```")

// openWithFirstCandidate opens the socket of a plain flow whose first candidate is
// target.
func (d *deployment) openWithFirstCandidate(target uint32) *plainFlow {
	data, err := os.ReadFile(d.dir + "/config.json")
	d.Assert(err, qt.IsNil)
	parsed, err := config.Parse(data)
	d.Assert(err, qt.IsNil)
	snapshot, err := config.NewSnapshot(parsed)
	d.Assert(err, qt.IsNil)
	table := placement.FromSnapshot(snapshot)
	for {
		f := d.openPlain()
		key := placement.Key{Service: 1, Caller: f.conn.LocalAddr().(*net.UDPAddr).AddrPort()}
		if first, _ := table.First(1, table.Hash(key)); first == target {
			return f
		}
	}
}

// exchangeUntil exchanges packets on a flow, through both balancers alternately, until
// done is closed. It returns the number of replies by backend server and source port.
func (f *plainFlow) exchangeUntil(done <-chan struct{}) map[string]int {
	seen := map[string]int{}
	ticker := time.NewTicker(20 * time.Millisecond)
	defer ticker.Stop()
	buf := make([]byte, 2048)
	to := []netip.AddrPort{
		netip.MustParseAddrPort(f.d.addresses["127.0.0.1:7010"]),
		netip.MustParseAddrPort(f.d.addresses["127.0.0.1:7020"]),
	}
	for n := 0; ; n++ {
		_, _ = f.conn.WriteToUDPAddrPort([]byte("x"), to[n%len(to)])
		_ = f.conn.SetReadDeadline(time.Now().Add(100 * time.Millisecond))
		if n, _, err := f.conn.ReadFromUDPAddrPort(buf); err == nil {
			seen[strings.TrimSuffix(string(buf[:n]), " x")]++
		}
		select {
		case <-done:
			return seen
		case <-ticker.C:
		}
	}
}

// sendRequests sends requests until done is closed, and returns the number of answered
// requests and the errors of the others.
func (d *deployment) sendRequests(client *caller.Client, done <-chan struct{}) (answered int, failed []error) {
	for {
		_, err := client.Do(d.ctx, caller.Request{Body: []byte("payment")})
		if err == nil {
			answered++
		} else {
			failed = append(failed, err)
		}
		select {
		case <-done:
			return answered, failed
		default:
		}
	}
}

// Guards against commands of the operations page that fail, and against steps that break
// a flow, lose a request or report a wrong outcome.
func TestOperationsPage(t *testing.T) {
	d := newDeployment(t)
	page, err := os.ReadFile("../../docs/OPERATIONS.md")
	d.Assert(err, qt.IsNil)
	// The kernel sends SIGTERM to the shell when the test binary dies.
	script := "trap 'kill -KILL 0' TERM\nset -ex\n"
	for _, block := range shellBlock.FindAllStringSubmatch(string(page), -1) {
		script += d.replaceAddresses(block[1])
	}
	var output bytes.Buffer
	shell := exec.CommandContext(d.ctx, "sh", "-c", script)
	shell.Dir = d.dir
	shell.Stdout, shell.Stderr = &output, &output
	// The processes are in the process group of the shell and are killed with it.
	shell.SysProcAttr = &syscall.SysProcAttr{Setpgid: true, Pdeathsig: syscall.SIGTERM}
	shell.Cancel = func() error { return syscall.Kill(-shell.Process.Pid, syscall.SIGKILL) }
	d.Assert(shell.Start(), qt.IsNil)
	d.Cleanup(func() { _ = syscall.Kill(-shell.Process.Pid, syscall.SIGKILL) })

	flow := d.openWithFirstCandidate(2)
	client, err := caller.Dial(caller.Settings{
		Balancers: []netip.AddrPort{
			netip.MustParseAddrPort(d.addresses["127.0.0.1:7011"]),
			netip.MustParseAddrPort(d.addresses["127.0.0.1:7021"]),
		},
		Local: netip.AddrPortFrom(d.host, 0), Class: "payment", Seed: 1, Deadline: processTimeout,
	})
	d.Assert(err, qt.IsNil)
	defer client.Close()
	var seen map[string]int
	var answered int
	var failed []error
	var callers sync.WaitGroup
	done := make(chan struct{})
	callers.Go(func() { seen = flow.exchangeUntil(done) })
	callers.Go(func() { answered, failed = d.sendRequests(client, done) })
	err = shell.Wait()
	close(done)
	callers.Wait()

	d.Assert(err, qt.IsNil, qt.Commentf("%s", output.String()))
	d.Check(seen, qt.HasLen, 1)
	d.Check(answered > 0, qt.IsTrue)
	for _, err := range failed {
		var kind *caller.Error
		d.Check(errors.As(err, &kind) && kind.NotRun(), qt.IsTrue, qt.Commentf("%v", err))
	}
	t.Logf("plain flow: %v; requests: %d answered, %d failed %v", seen, answered, len(failed), failed)
	d.Check(d.metrics("127.0.0.1:7512")["agent/storefront2"]["flows_cut"], qt.Equals, 0.0)
}

// metrics reads the metrics of a process as the operations page describes.
func (d *deployment) metrics(address string) map[string]map[string]any {
	response, err := http.Get("http://" + d.addresses[address] + "/debug/vars")
	d.Assert(err, qt.IsNil)
	defer response.Body.Close()
	var vars struct {
		Peridotstall map[string]map[string]any `json:"peridotstall"`
	}
	d.Assert(json.NewDecoder(response.Body).Decode(&vars), qt.IsNil)
	return vars.Peridotstall
}
