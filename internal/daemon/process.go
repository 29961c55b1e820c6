// Package daemon builds the processes of the system from their settings: it
// joins the sockets, the control plane, the operator's interface, metrics and
// traces, and carries out the stages of a process. The demo uses it as the
// commands do.
package daemon

import (
	"context"
	"encoding/hex"
	"io"
	"maps"
	"net"
	"net/http"
	"net/netip"
	"slices"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/peridotstall/peridotstall/internal/config"
	"github.com/peridotstall/peridotstall/internal/confsync"
	"github.com/peridotstall/peridotstall/internal/control"
	"github.com/peridotstall/peridotstall/internal/lifecycle"
	"github.com/peridotstall/peridotstall/internal/membership"
	"github.com/peridotstall/peridotstall/internal/platform"
	"github.com/peridotstall/peridotstall/internal/rpcapi"
	"github.com/peridotstall/peridotstall/internal/schema"
	"github.com/peridotstall/peridotstall/internal/telemetry"
	"github.com/peridotstall/peridotstall/internal/tunnel"
)

const (
	// storeWindow is the time for which earlier configurations are kept as the
	// base of deltas for processes that are behind.
	storeWindow = time.Minute
	// maxHostEvents bounds the log lines for one change of the view.
	maxHostEvents = 20
	// traceFlush bounds the time for writing the last spans at a stop.
	traceFlush = 2 * time.Second
)

// process is what all roles have in common.
type process struct {
	role     schema.Role
	settings *schema.CommonSettings
	logger   *telemetry.Logger
	metrics  *telemetry.Metrics
	tracer   *telemetry.Tracer
	client   *platform.Client
	peers    []netip.AddrPort
	store    *config.Store
	control  *control.Control
	stage    *lifecycle.Machine
	rpc      netip.AddrPort
	// interfaces are the listeners of the interfaces for operators.
	interfaces []io.Closer

	mu       sync.Mutex
	accepted time.Time
	inForce  uint64 // revision that was accepted last
	doubted  bool
	failed   map[string]uint64 // failed hosts of the last view
	// lastReason and lastLimit are those of the stop that began last.
	lastReason string
	lastLimit  time.Duration
}

// newProcess checks everything that needs no socket, so that an agent with wrong
// settings ends before it takes flows over.
func newProcess(role schema.Role, s *schema.CommonSettings, logger *telemetry.Logger) (*process, error) {
	p := &process{
		role:     role,
		settings: s,
		logger:   logger.With("role", role.String(), "host", s.GetHost()),
		metrics:  telemetry.NewMetrics(role, s.GetHost()),
		store:    config.NewStore(storeWindow),
	}
	var err error
	if p.client, err = platform.NewClient(s.GetConfigUrl()); err != nil {
		return nil, err
	}
	if p.peers, err = addresses(s.GetPeers()); err != nil {
		return nil, err
	}
	if p.tracer, err = telemetry.NewTracer(s.GetTrace(), p.metrics.Name()); err != nil {
		return nil, err
	}
	p.stage = lifecycle.New(func(_, to lifecycle.State) { p.onStage(to) })
	return p, nil
}

// hooks are what a role does with news of the control plane.
type hooks struct {
	config    func(*config.Snapshot)
	view      func(*membership.View)
	confirmed func()
	doubt     func()
}

// connect builds the control plane over the frame socket of the role.
func (p *process) connect(socket *tunnel.Socket, target uint32, incarnation uint64, h hooks) error {
	var err error
	p.control, err = control.New(control.Settings{
		Host:        p.settings.GetHost(),
		Target:      target,
		Incarnation: incarnation,
		Peers:       p.peers,
		Store:       p.store,
		Platform:    p.watch(p.client),
		Send:        func(to netip.AddrPort, f *schema.Frame) { p.send(socket, to, f) },
		OnConfig:    func(s *config.Snapshot) { p.onConfig(s, h.config) },
		OnView:      func(v *membership.View) { p.onView(v); h.view(v) },
		OnConfirmed: func(ok bool) { p.onConfirmed(ok, h.confirmed) },
		OnRejected:  p.onRejected,
		OnLinkDoubt: func(d membership.LinkDoubt) { p.onLinkDoubt(d, h.doubt) },
	})
	return err
}

func addresses(list []string) ([]netip.AddrPort, error) {
	var out []netip.AddrPort
	for _, text := range list {
		address, err := netip.ParseAddrPort(text)
		if err != nil {
			return nil, errors.Wrapf(err, "peer address %q", text)
		}
		out = append(out, address)
	}
	return out, nil
}

// send counts a control frame that does not leave the host; the protocols
// repeat what matters.
func (p *process) send(socket *tunnel.Socket, to netip.AddrPort, f *schema.Frame) {
	if err := socket.Send(to, f); err != nil {
		p.metrics.Error(schema.ErrorKind_INTERNAL)
	}
}

// serve starts the control plane and the interfaces for operators.
func (p *process) serve(ctx context.Context, api rpcapi.Process) error {
	p.logger.Log(telemetry.ProcessStarted, "zone", p.settings.GetZone())
	go p.control.Run(ctx)
	if address := p.settings.GetRpcAddress(); address != "" {
		listener, err := rpcapi.Serve(address, api)
		if err != nil {
			return err
		}
		p.rpc = listener.Addr().(*net.TCPAddr).AddrPort()
		p.interfaces = append(p.interfaces, listener)
	}
	if err := p.serveMetrics(); err != nil {
		p.closeInterfaces()
		return err
	}
	context.AfterFunc(ctx, p.closeInterfaces)
	return nil
}

// closeInterfaces frees the addresses of the interfaces for operators before it
// returns, since a successor binds them as soon as it has the reply.
func (p *process) closeInterfaces() {
	for _, listener := range p.interfaces {
		listener.Close()
	}
}

func (p *process) serveMetrics() error {
	address := p.settings.GetMetricsAddress()
	if address == "" {
		return nil
	}
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return errors.Wrapf(err, "bind metrics address %s", address)
	}
	mux := http.NewServeMux()
	mux.Handle("/debug/vars", telemetry.Handler())
	server := &http.Server{Handler: mux, ReadHeaderTimeout: 5 * time.Second}
	// The listener is closed as well, because the server knows it only once
	// Serve has begun.
	p.interfaces = append(p.interfaces, listener, server)
	go server.Serve(listener)
	return nil
}

func (p *process) onStage(to lifecycle.State) {
	switch to {
	case lifecycle.Serving:
		p.logger.Log(telemetry.ProcessReady, "revision", p.revision())
	case lifecycle.Draining:
		p.mu.Lock()
		defer p.mu.Unlock()
		p.logger.Log(telemetry.StopBegun, "reason", p.lastReason, "limit", p.lastLimit)
	}
}

func (p *process) revision() uint64 {
	if s := p.store.Current(); s != nil {
		return s.Revision()
	}
	return 0
}

func (p *process) onConfig(s *config.Snapshot, apply func(*config.Snapshot)) {
	p.mu.Lock()
	p.accepted = time.Now()
	previous := p.inForce
	p.inForce = s.Revision()
	p.mu.Unlock()
	apply(s)
	p.logger.Log(telemetry.ConfigAccepted, "revision", s.Revision(), "previous", previous)
}

// onView logs which hosts failed and which came back since the last view.
func (p *process) onView(v *membership.View) {
	failed := v.Failed()
	p.mu.Lock()
	before := p.failed
	p.failed = failed
	p.mu.Unlock()
	p.logHosts(telemetry.HostDead, failed, before)
	for host := range before {
		if v.State(host) != schema.HostState_LIVE {
			delete(before, host)
		}
	}
	p.logHosts(telemetry.HostBack, before, failed)
}

// logHosts logs the hosts that are in one set and not in another, at most
// maxHostEvents, since a whole availability zone can fail at once.
func (p *process) logHosts(event telemetry.Event, hosts, without map[string]uint64) {
	count := 0
	for _, host := range slices.Sorted(maps.Keys(hosts)) {
		if _, ok := without[host]; ok {
			continue
		}
		if count++; count > maxHostEvents {
			return
		}
		p.logger.Log(event, "failed_host", host, "incarnation", hosts[host])
	}
}

func (p *process) onConfirmed(confirmed bool, apply func()) {
	if !confirmed {
		p.logger.Log(telemetry.ClockJump)
		return
	}
	if err := p.stage.Ready(); err != nil {
		p.logger.Log(telemetry.StateError, "error", err)
	}
	apply()
}

func (p *process) onLinkDoubt(d membership.LinkDoubt, apply func()) {
	p.mu.Lock()
	p.doubted = d.Doubt
	p.mu.Unlock()
	event := telemetry.OwnLinkTrusted
	if d.Doubt {
		event = telemetry.OwnLinkDoubted
	}
	p.logger.Log(event, "failed", d.Dead, "probed", d.Probed)
	apply()
}

func (p *process) onRejected(r confsync.Rejected) {
	p.metrics.ConfigRejected.Inc()
	events := map[config.Decision]telemetry.Event{
		config.Lower:    telemetry.ConfigLower,
		config.Conflict: telemetry.ConfigConflict,
		config.Invalid:  telemetry.ConfigInvalid,
	}
	event, ok := events[r.Decision]
	if !ok {
		event = telemetry.ConfigInvalid
	}
	pairs := []any{"revision", r.Revision, "source", r.From}
	current := p.store.Current()
	switch {
	case event.Number == telemetry.ConfigInvalid.Number:
		pairs = append(pairs, "faults", r.Err)
	case event.Number == telemetry.ConfigLower.Number:
		pairs = append(pairs, "current", p.revision())
	case current != nil:
		pairs = append(pairs, "current_digest", hex.EncodeToString(current.Digest()))
	}
	p.logger.Log(event, pairs...)
}

// drain begins a stop and says why, and after what time it ends at the latest; 0
// means that the process stays.
func (p *process) drain(reason string, limit time.Duration) {
	p.mu.Lock()
	p.lastReason = reason
	p.lastLimit = limit
	p.mu.Unlock()
	if err := p.stage.Drain(); err != nil {
		return
	}
	p.control.Announce(schema.HostState_LEAVING)
}

// finish logs the end of a stop and writes the last spans.
func (p *process) finish(flows, requests int) {
	if err := p.stage.Stop(); err != nil {
		p.logger.Log(telemetry.StateError, "error", err)
	}
	p.logger.Log(telemetry.Stopped, "cut_flows", flows, "cut_requests", requests)
	ctx, cancel := context.WithTimeout(context.Background(), traceFlush)
	defer cancel()
	if err := p.tracer.Close(ctx); err != nil {
		p.logger.Log(telemetry.StateError, "error", err)
	}
	p.metrics.Close()
}

// complete adds to a status what the role does not know.
func (p *process) complete(s rpcapi.Status) rpcapi.Status {
	p.mu.Lock()
	defer p.mu.Unlock()
	s.State = string(p.stage.State())
	s.LinkDoubted = p.doubted
	if !p.accepted.IsZero() {
		s.ConfigAge = time.Since(p.accepted)
	}
	return s
}

// Ready is closed when the process has a confirmed configuration.
func (p *process) Ready() <-chan struct{} {
	return p.control.Ready()
}

// RPC returns the bound address of the operator's interface.
func (p *process) RPC() netip.AddrPort {
	return p.rpc
}

// Revision returns the revision in force, 0 before the first one.
func (p *process) Revision() uint64 {
	return p.revision()
}

// Metrics returns the figures of the process.
func (p *process) Metrics() *telemetry.Metrics {
	return p.metrics
}

// Control returns the control plane of the process.
func (p *process) Control() *control.Control {
	return p.control
}
