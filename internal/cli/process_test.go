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

// processLimit ends a test of processes and everything that it started.
const processLimit = 90 * time.Second

// trial is a copy of the examples in which every address is replaced by one that
// the system chose, and the processes started from it.
type trial struct {
	*qt.C
	ctx     context.Context
	dir     string
	host    netip.Addr
	address map[string]string // by address in the examples
}

func newTrial(t *testing.T) *trial {
	ctx, cancel := context.WithTimeout(context.Background(), processLimit)
	t.Cleanup(cancel)
	// Other programs bind 127.0.0.1 while the ports are free between their choice
	// and the start of a process; an address made from the process ID is not used
	// by them.
	pid := os.Getpid()
	host := netip.AddrFrom4([4]byte{127, byte(64 + pid>>16&63), byte(pid >> 8), byte(pid)})
	x := &trial{C: qt.New(t), ctx: ctx, dir: t.TempDir(), host: host, address: map[string]string{}}
	files, err := filepath.Glob("../../examples/*")
	x.Assert(err, qt.IsNil)
	x.Assert(files, qt.Not(qt.HasLen), 0)
	for _, file := range files {
		data, err := os.ReadFile(file)
		x.Assert(err, qt.IsNil)
		x.write(filepath.Base(file), x.replace(string(data)))
	}
	return x
}

var exampleAddress = regexp.MustCompile(`127\.0\.0\.1:\d+`)

// replace puts chosen addresses in the place of those of the examples.
func (x *trial) replace(text string) string {
	return exampleAddress.ReplaceAllStringFunc(text, func(old string) string {
		if x.address[old] == "" {
			x.address[old] = x.choose()
		}
		return x.address[old]
	})
}

// choose returns an address that is free for TCP and UDP. The TCP socket is held
// until all are chosen only by the number of ports: the system does not hand out
// one twice in a row.
func (x *trial) choose() string {
	for {
		tcp, err := net.Listen("tcp", netip.AddrPortFrom(x.host, 0).String())
		x.Assert(err, qt.IsNil)
		udp, err := net.ListenPacket("udp", tcp.Addr().String())
		tcp.Close()
		if err != nil {
			continue
		}
		udp.Close()
		if !x.chosen(tcp.Addr().String()) {
			return tcp.Addr().String()
		}
	}
}

func (x *trial) chosen(address string) bool {
	for _, other := range x.address {
		if other == address {
			return true
		}
	}
	return false
}

// write replaces a file in one step, as an operator should.
func (x *trial) write(name, text string) {
	path := filepath.Join(x.dir, name)
	x.Assert(os.WriteFile(path+".new", []byte(text), 0o644), qt.IsNil)
	x.Assert(os.Rename(path+".new", path), qt.IsNil)
}

// edit replaces text in a file.
func (x *trial) edit(name, old, text string) {
	data, err := os.ReadFile(filepath.Join(x.dir, name))
	x.Assert(err, qt.IsNil)
	x.Assert(strings.Contains(string(data), old), qt.IsTrue, qt.Commentf("%s lacks %q", name, old))
	x.write(name, strings.ReplaceAll(string(data), old, text))
}

// child is a running process of the program.
type child struct {
	x       *trial
	name    string
	command *exec.Cmd
	ended   chan struct{}

	mu      sync.Mutex
	output  []string
	changed chan struct{}
}

// start runs the program. The process is killed at the end of the test, and by
// the kernel when the test binary dies.
func (x *trial) start(args ...string) *child {
	p := &child{x: x, name: strings.Join(args, " "), ended: make(chan struct{}), changed: make(chan struct{})}
	p.command = exec.CommandContext(x.ctx, "peridotstall", args...)
	p.command.Dir = x.dir
	p.command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	reader, writer := io.Pipe()
	p.command.Stdout, p.command.Stderr = writer, writer
	x.Assert(p.command.Start(), qt.IsNil)
	go p.read(reader)
	go func() {
		_ = p.command.Wait() // the status is read from ProcessState
		writer.Close()
		close(p.ended)
	}()
	x.Cleanup(func() {
		_ = p.command.Process.Kill()
		<-p.ended
		if x.Failed() {
			x.Logf("output of %s:\n%s", p.name, strings.Join(p.output, "\n"))
		}
	})
	return p
}

func (p *child) read(from io.Reader) {
	lines := bufio.NewScanner(from)
	for lines.Scan() {
		p.mu.Lock()
		p.output = append(p.output, lines.Text())
		close(p.changed)
		p.changed = make(chan struct{})
		p.mu.Unlock()
	}
}

// line waits for an output line that contains a text.
func (p *child) line(text string) string {
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
		case <-p.x.ctx.Done():
			p.x.Fatalf("%s: no line with %q", p.name, text)
		}
	}
}

func (p *child) signal() {
	p.x.Assert(p.command.Process.Signal(syscall.SIGTERM), qt.IsNil)
}

// exit waits for the end and returns the exit status.
func (p *child) exit() int {
	<-p.ended // the context kills the process at the limit
	return p.command.ProcessState.ExitCode()
}

// reach waits for a state and revision at all operator's interfaces, which are
// named as in the examples.
func (x *trial) reach(state string, revision uint64, interfaces ...string) {
	var list []string
	for _, address := range interfaces {
		list = append(list, x.replace(address))
	}
	answers, ok := waitStatus(x.ctx, list, condition{state: state, revision: revision}, processLimit)
	x.Assert(ok, qt.IsTrue, qt.Commentf("%+v", answers))
}

// Operator's interfaces of the examples.
const (
	balancer1 = "127.0.0.1:7401"
	balancer2 = "127.0.0.1:7402"
	agent1    = "127.0.0.1:7411"
	agent2    = "127.0.0.1:7412"
)

func (x *trial) startPlatform() *child {
	return x.start("platform", "--config", "config.json", "--hosts", "hosts.json", "--listen", x.replace("127.0.0.1:7200"))
}

func (x *trial) startBackend(n int) *child {
	return x.start("backend", "--name", fmt.Sprintf("shop%d", n),
		"--listen-udp", x.replace(fmt.Sprintf("127.0.0.1:80%d0", n)),
		"--listen-http", x.replace(fmt.Sprintf("127.0.0.1:80%d1", n)))
}

// startAll starts two of everything and waits until all serve.
func (x *trial) startAll() (agents, balancers []*child) {
	x.startPlatform()
	for n := 1; n <= 2; n++ {
		x.startBackend(n)
		agents = append(agents, x.start("agent", "--settings", fmt.Sprintf("agent%d.toml", n)))
		balancers = append(balancers, x.start("balancer", "--settings", fmt.Sprintf("balancer%d.toml", n)))
	}
	x.reach("serving", 1, balancer1, balancer2, agent1, agent2)
	return agents, balancers
}

// plain is a plain flow of a caller.
type plain struct {
	x    *trial
	conn *net.UDPConn
}

func (x *trial) openPlain() *plain {
	conn, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(netip.AddrPortFrom(x.host, 0)))
	x.Assert(err, qt.IsNil)
	x.Cleanup(func() { conn.Close() })
	return &plain{x: x, conn: conn}
}

// backend sends packets through a balancer until one is answered, and returns
// the name of the backend server and the source port that it saw.
func (f *plain) backend(listener string) string {
	to := netip.MustParseAddrPort(f.x.replace(listener))
	buf := make([]byte, 2048)
	for f.x.ctx.Err() == nil {
		_, err := f.conn.WriteToUDPAddrPort([]byte("x"), to)
		f.x.Assert(err, qt.IsNil)
		f.x.Assert(f.conn.SetReadDeadline(time.Now().Add(200*time.Millisecond)), qt.IsNil)
		if n, _, err := f.conn.ReadFromUDPAddrPort(buf); err == nil {
			return strings.TrimSuffix(string(buf[:n]), " x")
		}
	}
	f.x.Fatalf("no answer through %s", listener)
	return ""
}

// openAt opens plain flows until a backend server got one.
func (x *trial) openAt(name, listener string) (*plain, string) {
	for {
		f := x.openPlain()
		if at := f.backend(listener); strings.HasPrefix(at, name+" ") {
			return f, at
		}
	}
}

// request runs a request through balancers.
func (x *trial) request(listeners ...string) {
	var list []netip.AddrPort
	for _, address := range listeners {
		list = append(list, netip.MustParseAddrPort(x.replace(address)))
	}
	client, err := caller.Dial(caller.Settings{
		Balancers: list, Class: "payment", Seed: 1, Deadline: processLimit,
		Local: netip.AddrPortFrom(x.host, 0),
	})
	x.Assert(err, qt.IsNil)
	defer client.Close()
	response, err := client.Do(x.ctx, caller.Request{Body: []byte("payment 17")})
	x.Assert(err, qt.IsNil)
	x.Check(string(response.Body), qt.Equals, "payment 17")
}
