package main

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Bounds of the small deployments.
const (
	heartbeat      = 1200 * time.Millisecond
	contact        = 4 * time.Second
	configApply    = 3 * time.Second
	drainTimeout   = 3 * time.Second
	recovery       = 12 * time.Second
	historyAge     = 20 * time.Second
	valueBytes     = 1 << 20
	graceS         = 6
	requestTimeout = 5 * time.Second
)

type ports struct{ packets, control, ready, outbound, app, link, store uint16 }

// process is a process of the system.
type process struct {
	name     string
	balancer bool
	settings string
	log      string
	cmd      *exec.Cmd
	exited   chan struct{}
}

// fleet is a small deployment on loopback addresses.
type fleet struct {
	root, dir string
	rec       *record
	net       int
	ports     ports
	zones     []string
	store     *store
	router    *router

	mu sync.Mutex
	// ended is set when no more process may start.
	ended      bool
	processes  map[string]*process
	targets    []*target
	requesters map[string]*requester
	ids        int
}

type route struct {
	name, service string
	at            end
}

func newFleet(root, dir string, rec *record, zones []string) (*fleet, error) {
	f := &fleet{root: root, dir: dir, rec: rec, zones: zones, processes: map[string]*process{}, requesters: map[string]*requester{}}
	if err := f.choosePorts(); err != nil {
		return nil, err
	}
	st, err := newStore(fmt.Sprintf("%s:%d", f.ip(200, 7), f.ports.store), historyAge)
	if err != nil {
		return nil, err
	}
	f.store, f.router = st, newRouter(rec, zones)
	return f, nil
}

func (f *fleet) ip(zone, host int) string { return fmt.Sprintf("127.%d.%d.%d", f.net, zone, host) }

// choosePorts draws a loopback network and ports until a probe of them succeeds.
func (f *fleet) choosePorts() error {
	for range 50 {
		f.net = 10 + rand.IntN(200)
		base := uint16(10000 + rand.IntN(20000))
		f.ports = ports{base, base + 1, base + 2, base + 3, base + 4, base + 10, base + 5}
		if f.free() {
			return nil
		}
	}
	return fmt.Errorf("no free loopback network")
}

func (f *fleet) free() bool {
	for _, port := range []uint16{f.ports.packets, f.ports.control, f.ports.ready, f.ports.outbound, f.ports.app, f.ports.link, f.ports.store, 9102} {
		address := fmt.Sprintf("%s:%d", f.ip(1, 1), port)
		l, err := net.Listen("tcp4", address)
		if err != nil {
			return false
		}
		l.Close()
		u, err := net.ListenPacket("udp4", address)
		if err != nil {
			return false
		}
		u.Close()
	}
	return true
}

// edgeIP and sideIP are the addresses of machines, by zone and number from 1.
func (f *fleet) edgeIP(zone, n int) string { return f.ip(1+zone, n) }
func (f *fleet) sideIP(zone, n int) string { return f.ip(31+zone, n) }

// host returns an address of the platform to which requesters send.
func (f *fleet) host(n int, port uint16) end {
	return end{[4]byte{127, byte(f.net), 250, byte(n)}, port}
}

// writeSettings writes the settings file of a machine.
func (f *fleet) writeSettings(name, class string, zone int, ip, service string) (string, error) {
	serves := `"edge","control"`
	quota, memory, fds := 0.4, 284, 4100
	if class == "side" {
		serves, quota, memory, fds = `"side"`, 0.24, 152, 4096
	}
	var seeds, zones []string
	for z := range min(3, len(f.zones)) {
		seeds = append(seeds, fmt.Sprintf("%q", fmt.Sprintf("%s:%d", f.edgeIP(z, 1), f.ports.control)))
	}
	for _, z := range f.zones {
		zones = append(zones, fmt.Sprintf("%s = \"region-1\"", z))
	}
	var b strings.Builder
	fmt.Fprintf(&b, "node_name = %q\nrole = %q\nmachine_class = %q\nserves = [%s]\nip = %q\nzone = %q\nregion = \"region-1\"\n", name, class, class, serves, ip, f.zones[zone])
	fmt.Fprintf(&b, "internal_port_range = [%d,%d]\nseed_nodes = [%s]\nbootstrap = true\ncounts_as_loss = false\ndiscovery = \"platform\"\nentry_mode = \"anycast\"\n", f.ports.link, f.ports.link+15, strings.Join(seeds, ","))
	fmt.Fprintf(&b, "heartbeat_ms = 1200\ninvariants = [\"base\",\"drain\",\"config\",\"cost\",\"recover\",\"flows\",\"platform\"]\nhash = \"steady\"\ndeploy_mode = \"agent\"\n")
	if class == "side" {
		fmt.Fprintf(&b, "app = \"%s:%d\"\nbackend = %q\n", ip, f.ports.app, service)
	}
	fmt.Fprintf(&b, "[zones]\n%s\n[bind_addresses]\npackets = \"%s:%d\"\nready = \"%s:%d\"\n", strings.Join(zones, "\n"), ip, f.ports.packets, ip, f.ports.ready)
	if class == "side" {
		fmt.Fprintf(&b, "outbound = \"%s:%d\"\n", ip, f.ports.outbound)
	} else {
		fmt.Fprintf(&b, "control_plane = \"%s:%d\"\n", ip, f.ports.control)
	}
	fmt.Fprintf(&b, "[limits]\ncpu_quota = %g\ncpu_cores = 1\nmemory_mb = %d\nmax_fds = %d\nbandwidth_mbps = 1000.0\ndisk_mb = 0\n", quota, memory, fds)
	fmt.Fprintf(&b, "[fault_tolerance]\nmachines = 2\nzones = 0\nregions = 0\n[bounds]\nseed_lag_s = 3\nreuse_delay_s = 2\ncontact_ms = 4000\nack_timeout_ms = 5000\ncatch_up_s = 4\ndrain_timeout_ms = 3000\ngrace_s = %d\nloss_slack_ms = 200\nconfig_apply_ms = 3000\ndowngrade_slack_ms = 250\nmax_skew_ms = 12000\nrecovery_s = 12\nmisroute_window_ms = 2000\nmax_flow_s = 60\n", graceS)
	fmt.Fprintf(&b, "[platform]\naddress = \"%s\"\ndeploy_mode = \"read\"\nwrites_per_s = 400\nreads_per_s = 2000\nhistory_s = 20\nvalue_bytes = 1048576\nmin_ttl_ms = 1000\n", f.store.listener.Addr())
	path := filepath.Join(f.dir, name+".toml")
	return path, os.WriteFile(path, []byte(b.String()), 0o600)
}

// start starts a process with the command of the deploy file.
func (f *fleet) start(p *process) error {
	role := "agent"
	if p.balancer {
		role = "balancer"
	}
	out, err := os.OpenFile(p.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer out.Close()
	cmd := exec.Command("target/peridotstall", "node", role, "--metrics-port", "9102")
	cmd.Dir = f.root
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "LANG=C", "PERIDOTSTALL_CONFIG=" + p.settings}
	cmd.Stdout, cmd.Stderr = out, out
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.ended {
		return fmt.Errorf("%s is not started, as the run has ended", p.name)
	}
	if err := cmd.Start(); err != nil {
		return err
	}
	exited := make(chan struct{})
	go func() {
		cmd.Wait()
		close(exited)
	}()
	p.cmd, p.exited = cmd, exited
	f.processes[p.name] = p
	f.rec.note("start", "%s, process %d", p.name, cmd.Process.Pid)
	return nil
}

func (f *fleet) startEdge(zone, n int) (*process, error) {
	ip, name := f.edgeIP(zone, n), fmt.Sprintf("edge-%s-%d", f.zones[zone], n)
	settings, err := f.writeSettings(name, "edge", zone, ip, "")
	if err != nil {
		return nil, err
	}
	p := &process{name: name, balancer: true, settings: settings, log: filepath.Join(f.dir, name+".log")}
	if err := f.start(p); err != nil {
		return nil, err
	}
	f.router.add(&node{name: name, zone: f.zones[zone], packets: &net.UDPAddr{IP: net.ParseIP(ip), Port: int(f.ports.packets)},
		ready: fmt.Sprintf("http://%s:%d/v1/ready", ip, f.ports.ready)})
	return p, nil
}

// startSide starts an agent and, when it is ready, the target beside it.
func (f *fleet) startSide(zone, n int, service string, slots int) (*process, *target, error) {
	ip, name := f.sideIP(zone, n), fmt.Sprintf("side-%s-%d", f.zones[zone], n)
	settings, err := f.writeSettings(name, "side", zone, ip, service)
	if err != nil {
		return nil, nil, err
	}
	p := &process{name: name, settings: settings, log: filepath.Join(f.dir, name+".log")}
	if err := f.start(p); err != nil {
		return nil, nil, err
	}
	if err := f.waitPort(fmt.Sprintf("%s:%d", ip, f.ports.ready)); err != nil {
		return nil, nil, err
	}
	f.mu.Lock()
	f.ids++
	id := fmt.Sprintf("i-%08x%02d", rand.Uint32(), f.ids)
	f.mu.Unlock()
	t, err := startTarget(f.store, f.rec, id, service, f.zones[zone], ip, f.ports.app, f.ports.outbound, slots, time.Now().UnixMilli())
	if err != nil {
		return nil, nil, err
	}
	f.mu.Lock()
	f.targets = append(f.targets, t)
	f.mu.Unlock()
	f.rec.note("target", "%s of service %s at %s", t.id, service, t.address)
	return p, t, nil
}

func (f *fleet) waitPort(address string) error {
	for range 100 {
		c, err := net.DialTimeout("tcp4", address, 200*time.Millisecond)
		if err == nil {
			c.Close()
			return nil
		}
		time.Sleep(50 * time.Millisecond)
	}
	return fmt.Errorf("no process listens at %s", address)
}

// waitRotation waits until machines are in rotation.
func (f *fleet) waitRotation(names ...string) error {
	deadline := time.Now().Add(15 * time.Second)
	for time.Now().Before(deadline) {
		all := true
		for _, name := range names {
			all = all && f.router.inRotation(name)
		}
		if all {
			return nil
		}
		time.Sleep(50 * time.Millisecond)
	}
	return fmt.Errorf("%v not in rotation", names)
}

func (f *fleet) signal(p *process, s syscall.Signal) {
	f.rec.note("signal", "%s to %s", s, p.name)
	p.cmd.Process.Signal(s)
}

// requester returns the requester of a zone.
func (f *fleet) requester(zone int) (*requester, error) {
	name := f.zones[zone]
	if q := f.requesters[name]; q != nil {
		return q, nil
	}
	q, err := startRequester(f.rec, f.router, name, f.ip(61+zone, 1), f.ports.packets)
	if err == nil {
		f.requesters[name] = q
	}
	return q, err
}

// config returns a configuration; fillers is the number of routes without traffic.
func config(version int, idleMs int, routes []route, services []string, fillers []route) []byte {
	var list, backends []map[string]any
	for _, r := range append(append([]route(nil), routes...), fillers...) {
		list = append(list, map[string]any{
			"name": r.name, "host": r.at.addr().Addr().String(), "prefix": fmt.Sprintf("/%d/", r.at.port), "type": "safe",
			"timeout_ms": 1200, "aim_ms": 120, "priority": 2, "backend": r.service, "max_attempts": 2,
		})
	}
	for _, s := range services {
		backends = append(backends, map[string]any{"name": s, "health_check_path": "/health", "max_connections": 2000, "protocol": "h1", "tls": false})
	}
	b, err := json.Marshal(map[string]any{"version": version, "routes": list, "backends": backends,
		"limits": map[string]int{"max_header_bytes": 16384, "max_body_bytes": 262144, "header_timeout_ms": 3000, "idle_timeout_ms": idleMs}})
	if err != nil {
		panic(err)
	}
	return b
}

func (f *fleet) putConfig(version int, value []byte, what string) time.Duration {
	f.store.put("op/config", value)
	at := f.rec.now()
	f.rec.note("config", "version %d acknowledged, %d bytes: %s", version, len(value), what)
	return at
}

// shutdown ends all processes that the fleet started.
func (f *fleet) shutdown() {
	close(f.router.stop)
	f.mu.Lock()
	defer f.mu.Unlock()
	f.ended = true
	for _, p := range f.processes {
		p.cmd.Process.Signal(syscall.SIGCONT)
		p.cmd.Process.Kill()
	}
	for _, p := range f.processes {
		select {
		case <-p.exited:
		case <-time.After(5 * time.Second):
		}
	}
	f.store.close()
	for _, t := range f.targets {
		t.stop()
	}
	for _, q := range f.requesters {
		q.socket.Close()
	}
}
