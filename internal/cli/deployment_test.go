package cli

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/peridotstall/peridotstall/caller"
)

// processTimeout limits a test with processes; the processes are killed with it.
const processTimeout = 90 * time.Second

// deployment is a copy of the examples in a temporary directory, with every address
// replaced by a free one, and the processes started from it.
type deployment struct {
	*qt.C
	ctx       context.Context
	dir       string
	host      netip.Addr
	addresses map[string]string // by address in the examples
}

func newDeployment(t *testing.T) *deployment {
	ctx, cancel := context.WithTimeout(context.Background(), processTimeout)
	t.Cleanup(cancel)
	// On 127.0.0.1, other programs could bind a port between its selection and the
	// start of the process. An address derived from the process ID is not used by
	// them.
	pid := os.Getpid()
	host := netip.AddrFrom4([4]byte{127, byte(64 + pid>>16&63), byte(pid >> 8), byte(pid)})
	d := &deployment{C: qt.New(t), ctx: ctx, dir: t.TempDir(), host: host, addresses: map[string]string{}}
	files, err := filepath.Glob("../../examples/*")
	d.Assert(err, qt.IsNil)
	d.Assert(files, qt.Not(qt.HasLen), 0)
	for _, file := range files {
		data, err := os.ReadFile(file)
		d.Assert(err, qt.IsNil)
		d.write(filepath.Base(file), d.replaceAddresses(string(data)))
	}
	return d
}

var exampleAddress = regexp.MustCompile(`127\.0\.0\.1:\d+`)

// replaceAddresses replaces the addresses of the examples by those of the deployment.
func (d *deployment) replaceAddresses(text string) string {
	return exampleAddress.ReplaceAllStringFunc(text, func(old string) string {
		if d.addresses[old] == "" {
			d.addresses[old] = d.freeAddress()
		}
		return d.addresses[old]
	})
}

// freeAddress returns an address that is free for TCP and UDP and not yet assigned. Its
// sockets are closed at once: with this many ports, the system does not assign one
// twice in a row.
func (d *deployment) freeAddress() string {
	for {
		tcp, err := net.Listen("tcp", netip.AddrPortFrom(d.host, 0).String())
		d.Assert(err, qt.IsNil)
		udp, err := net.ListenPacket("udp", tcp.Addr().String())
		tcp.Close()
		if err != nil {
			continue
		}
		udp.Close()
		if !d.assigned(tcp.Addr().String()) {
			return tcp.Addr().String()
		}
	}
}

func (d *deployment) assigned(address string) bool {
	for _, other := range d.addresses {
		if other == address {
			return true
		}
	}
	return false
}

// write replaces a file atomically, as operators should.
func (d *deployment) write(name, text string) {
	path := filepath.Join(d.dir, name)
	d.Assert(os.WriteFile(path+".new", []byte(text), 0o644), qt.IsNil)
	d.Assert(os.Rename(path+".new", path), qt.IsNil)
}

// edit replaces all occurrences of old in a file, which must contain it.
func (d *deployment) edit(name, old, text string) {
	data, err := os.ReadFile(filepath.Join(d.dir, name))
	d.Assert(err, qt.IsNil)
	d.Assert(strings.Contains(string(data), old), qt.IsTrue, qt.Commentf("%s lacks %q", name, old))
	d.write(name, strings.ReplaceAll(string(data), old, text))
}

// process is a running process of the program.
type process struct {
	d       *deployment
	name    string
	command *exec.Cmd
	ended   chan struct{}

	mu      sync.Mutex
	output  []string
	changed chan struct{}
}

// start runs the program. The process is killed at the end of the test, and by
// the kernel when the test binary dies.
func (d *deployment) start(args ...string) *process {
	p := &process{d: d, name: strings.Join(args, " "), ended: make(chan struct{}), changed: make(chan struct{})}
	p.command = exec.CommandContext(d.ctx, "peridotstall", args...)
	p.command.Dir = d.dir
	p.command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	reader, writer := io.Pipe()
	p.command.Stdout, p.command.Stderr = writer, writer
	d.Assert(p.command.Start(), qt.IsNil)
	go p.read(reader)
	go func() {
		_ = p.command.Wait() // the status is read from ProcessState
		writer.Close()
		close(p.ended)
	}()
	d.Cleanup(func() {
		_ = p.command.Process.Kill()
		<-p.ended
		if d.Failed() {
			d.Logf("output of %s:\n%s", p.name, strings.Join(p.output, "\n"))
		}
	})
	return p
}

func (p *process) read(from io.Reader) {
	lines := bufio.NewScanner(from)
	for lines.Scan() {
		p.mu.Lock()
		p.output = append(p.output, lines.Text())
		close(p.changed)
		p.changed = make(chan struct{})
		p.mu.Unlock()
	}
}

// waitLine waits for an output line that contains text and returns the line.
func (p *process) waitLine(text string) string {
	for {
		p.mu.Lock()
		changed := p.changed
		for _, line := range p.output {
			if strings.Contains(line, text) {
				p.mu.Unlock()
				return line
			}
		}
		p.mu.Unlock()
		select {
		case <-changed:
		case <-p.d.ctx.Done():
			p.d.Fatalf("%s: no line with %q", p.name, text)
		}
	}
}

func (p *process) signal() {
	p.d.Assert(p.command.Process.Signal(syscall.SIGTERM), qt.IsNil)
}

// waitExit waits for the end of the process and returns its exit status.
func (p *process) waitExit() int {
	<-p.ended // the context kills the process at the timeout
	return p.command.ProcessState.ExitCode()
}

// waitState waits until all processes have reached a state and a revision. The
// operator interfaces are given by their addresses in the examples.
func (d *deployment) waitState(state string, revision uint64, interfaces ...string) {
	var list []string
	for _, address := range interfaces {
		list = append(list, d.replaceAddresses(address))
	}
	results, ok := waitStatus(d.ctx, list, condition{state: state, revision: revision}, processTimeout)
	d.Assert(ok, qt.IsTrue, qt.Commentf("%+v", results))
}

// Operator interfaces in the examples.
const (
	balancer1 = "127.0.0.1:7401"
	balancer2 = "127.0.0.1:7402"
	agent1    = "127.0.0.1:7411"
	agent2    = "127.0.0.1:7412"
)

func (d *deployment) startPlatform() *process {
	return d.start("platform", "--config", "config.json", "--hosts", "hosts.json", "--listen", d.replaceAddresses("127.0.0.1:7200"))
}

func (d *deployment) startBackend(n int) *process {
	return d.start("backend", "--name", fmt.Sprintf("shop%d", n),
		"--listen-udp", d.replaceAddresses(fmt.Sprintf("127.0.0.1:80%d0", n)),
		"--listen-http", d.replaceAddresses(fmt.Sprintf("127.0.0.1:80%d1", n)))
}

// startAll starts the platform and two backend servers, agents and balancers, and waits
// until all processes serve.
func (d *deployment) startAll() (agents, balancers []*process) {
	d.startPlatform()
	for n := 1; n <= 2; n++ {
		d.startBackend(n)
		agents = append(agents, d.start("agent", "--settings", fmt.Sprintf("agent%d.toml", n)))
		balancers = append(balancers, d.start("balancer", "--settings", fmt.Sprintf("balancer%d.toml", n)))
	}
	d.waitState("serving", 1, balancer1, balancer2, agent1, agent2)
	return agents, balancers
}

// plainFlow is a plain flow of a caller.
type plainFlow struct {
	d    *deployment
	conn *net.UDPConn
}

func (d *deployment) openPlain() *plainFlow {
	conn, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(netip.AddrPortFrom(d.host, 0)))
	d.Assert(err, qt.IsNil)
	d.Cleanup(func() { conn.Close() })
	return &plainFlow{d: d, conn: conn}
}

// exchange sends packets through a balancer until one is answered, and returns the name
// of the backend server and the source port of the flow there.
func (f *plainFlow) exchange(listener string) string {
	to := netip.MustParseAddrPort(f.d.replaceAddresses(listener))
	buf := make([]byte, 2048)
	for f.d.ctx.Err() == nil {
		_, err := f.conn.WriteToUDPAddrPort([]byte("x"), to)
		f.d.Assert(err, qt.IsNil)
		f.d.Assert(f.conn.SetReadDeadline(time.Now().Add(200*time.Millisecond)), qt.IsNil)
		if n, _, err := f.conn.ReadFromUDPAddrPort(buf); err == nil {
			return strings.TrimSuffix(string(buf[:n]), " x")
		}
	}
	f.d.Fatalf("no answer through %s", listener)
	return ""
}

// openOnBackend opens plain flows until the backend server with the given name gets one.
// It returns the flow and the result of its exchange.
func (d *deployment) openOnBackend(name, listener string) (*plainFlow, string) {
	for {
		f := d.openPlain()
		if at := f.exchange(listener); strings.HasPrefix(at, name+" ") {
			return f, at
		}
	}
}

// sendRequest sends a request through the given listeners and checks the response.
func (d *deployment) sendRequest(listeners ...string) {
	var list []netip.AddrPort
	for _, address := range listeners {
		list = append(list, netip.MustParseAddrPort(d.replaceAddresses(address)))
	}
	client, err := caller.Dial(caller.Settings{
		Balancers: list, Class: "payment", Seed: 1, Deadline: processTimeout,
		Local: netip.AddrPortFrom(d.host, 0),
	})
	d.Assert(err, qt.IsNil)
	defer client.Close()
	response, err := client.Do(d.ctx, caller.Request{Body: []byte("payment 17")})
	d.Assert(err, qt.IsNil)
	d.Check(string(response.Body), qt.Equals, "payment 17")
}
