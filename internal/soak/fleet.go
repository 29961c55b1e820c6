package soak

import (
	"fmt"
	"net/http"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"github.com/pkg/errors"

	"github.com/peridotstall/peridotstall/platform/standin"
)

// restartDelay is the time from the end of a process to its restart.
const restartDelay = 300 * time.Millisecond

// graceSeconds is the time from SIGTERM to SIGKILL, in seconds.
const graceSeconds = 6

// process is an operating system process of a balancer or agent, with the proxy
// through which it reaches the store.
type process struct {
	host  standin.Host
	role  string
	dir   string
	proxy *proxy

	mu      sync.Mutex
	command *exec.Cmd
	// wanted is set while the process should run, endRequested after the soak test
	// sent it a signal that ends it.
	wanted, endRequested bool
	// lastDisturbed is the time of the last start, signal or proxy fault.
	lastDisturbed time.Time
	starts        int
	// onExit is called when the process exits without an end request or does not start.
	onExit func(*process, error)
}

// start starts the process, which is restarted after each exit until stop.
func (p *process) start() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.wanted = true
	return p.launch()
}

// launch starts the process. The caller must hold p.mu.
func (p *process) launch() error {
	log, err := os.OpenFile(filepath.Join(p.dir, p.host.Name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return errors.Wrap(err, "open log")
	}
	defer log.Close()
	settings := filepath.Join(p.dir, p.host.Name+".toml")
	if err := standin.WriteSettings(settings, p.host); err != nil {
		return err
	}
	program, err := os.Executable()
	if err != nil {
		return errors.Wrap(err, "find executable")
	}
	command := exec.Command(program, "node", p.role)
	command.Env = append(os.Environ(), standin.SettingsVariable+"="+settings)
	command.Stdout, command.Stderr = log, log
	command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := command.Start(); err != nil {
		return errors.Wrapf(err, "start %s", p.host.Name)
	}
	p.command, p.endRequested = command, false
	p.starts++
	p.lastDisturbed = time.Now()
	go p.superviseExit(command)
	return nil
}

// superviseExit waits for the exit of the process and restarts it unless it was
// stopped.
func (p *process) superviseExit(command *exec.Cmd) {
	err := command.Wait()
	p.mu.Lock()
	requested := p.endRequested
	p.mu.Unlock()
	if !requested {
		p.onExit(p, err)
	}
	time.Sleep(restartDelay)
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.wanted || p.command != command {
		return
	}
	if err := p.launch(); err != nil {
		p.onExit(p, err)
	}
}

// signal sends a signal to the process. SIGKILL and SIGTERM count as end requests.
func (p *process) signal(s syscall.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.command == nil {
		return
	}
	if s == syscall.SIGKILL || s == syscall.SIGTERM {
		p.endRequested = true
	}
	p.lastDisturbed = time.Now()
	// The error of a process that has just ended is ignored: it restarts anyway.
	_ = p.command.Process.Signal(s)
}

// markDisturbed records a fault that is not a signal, such as one of the proxy.
func (p *process) markDisturbed() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.lastDisturbed = time.Now()
}

// disturbedAt returns the time of the last fault that affected the process.
func (p *process) disturbedAt() time.Time {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.lastDisturbed
}

// stop kills the process without a restart and closes its proxy.
func (p *process) stop() {
	p.mu.Lock()
	p.wanted, p.endRequested = false, true
	command := p.command
	p.mu.Unlock()
	if command != nil {
		_ = command.Process.Signal(syscall.SIGCONT)
		_ = command.Process.Kill()
	}
	p.proxy.close()
}

// pid returns the process ID, or 0 before the first start.
func (p *process) pid() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.command == nil {
		return 0
	}
	return p.command.Process.Pid
}

// fleet holds the processes under test and the stand-ins for the platform.
type fleet struct {
	loopbackNet byte
	ports       standin.Ports
	store       *standin.Store
	router      *standin.Router
	balancers   []*process
	agents      []*process
}

// address returns loopback address i of a kind: 1 for callers, 2 for balancers,
// 3 for targets and 4 for proxies.
func (f *fleet) address(kind, i int) netip.Addr {
	return netip.AddrFrom4([4]byte{127, f.loopbackNet, byte(kind), byte(i + 1)})
}

// newProcess returns a process that is not started yet, with a running proxy to
// the store. The service is empty for a balancer.
func (f *fleet) newProcess(dir, role, service string, i int, onExit func(*process, error)) (*process, error) {
	kind, proxyIndex := 2, i
	if service != "" {
		kind, proxyIndex = 3, 100+i
	}
	proxyAddress := netip.AddrPortFrom(f.address(4, proxyIndex), f.ports.Ready)
	proxy, err := startProxy(proxyAddress, f.store.Address())
	if err != nil {
		return nil, err
	}
	seeds := []netip.AddrPort{
		netip.AddrPortFrom(f.address(2, 0), f.ports.Control), netip.AddrPortFrom(f.address(2, 1), f.ports.Control),
	}
	return &process{
		role: role, dir: dir, proxy: proxy, onExit: onExit,
		host: standin.Host{
			Name: fmt.Sprintf("%s-%d", role, i), IP: f.address(kind, i), Zone: fmt.Sprintf("zone-%d", i%3), Ports: f.ports,
			Seeds: seeds, Store: proxyAddress, Service: service, GraceSeconds: graceSeconds,
			WarmupOvershoot: warmupOvershoot, WarmupSlack: warmupSlack,
		},
	}, nil
}

// updateRouter queries the readiness of all balancers and sets the ready ones in
// the router, unless there is none. It returns their number.
func (f *fleet) updateRouter(client *http.Client) int {
	var ready []netip.AddrPort
	for _, b := range f.balancers {
		response, err := client.Get(b.host.ReadyURL())
		if err != nil {
			continue
		}
		response.Body.Close()
		if response.StatusCode == http.StatusOK {
			ready = append(ready, netip.AddrPortFrom(b.host.IP, f.ports.Packets))
		}
	}
	if len(ready) > 0 {
		f.router.SetBalancers(ready)
	}
	return len(ready)
}
