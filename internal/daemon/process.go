// Package daemon builds the agent and balancer processes from their settings. It
// connects sockets, control plane, operator interface, metrics and traces, and
// implements the lifecycle of a process. The commands and the demo use it.
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
	// deltaBaseTTL is the time for which earlier configurations are kept as bases of
	// deltas for processes with an older revision.
	deltaBaseTTL = time.Minute
	// maxHostEvents limits the log lines of one kind for one change of the view.
	maxHostEvents = 20
	// traceFlushTimeout limits the time for exporting the last spans at a stop.
	traceFlushTimeout = 2 * time.Second
)

// process is the part of a process that both roles share.
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
	// interfaces holds the listeners and servers of the operator and metrics
	// interfaces.
	interfaces []io.Closer

	mu               sync.Mutex
	acceptedAt       time.Time
	acceptedRevision uint64
	linkDoubted      bool
	failedHosts      map[string]uint64 // host to incarnation, from the last view
	// drainReason and drainLimit are the arguments of the last beginDrain.
	drainReason string
	drainLimit  time.Duration
}

// newProcess validates all settings that need no socket, so that an agent with
// invalid settings fails before it takes over flows.
func newProcess(role schema.Role, s *schema.CommonSettings, logger *telemetry.Logger) (*process, error) {
	p := &process{
		role:     role,
		settings: s,
		logger:   logger.With("role", role.String(), "host", s.GetHost()),
		metrics:  telemetry.NewMetrics(role, s.GetHost()),
		store:    config.NewStore(deltaBaseTTL),
	}
	var err error
	if p.client, err = platform.NewClient(s.GetConfigUrl()); err != nil {
		return nil, err
	}
	if p.peers, err = parseAddresses(s.GetPeers()); err != nil {
		return nil, err
	}
	if p.tracer, err = telemetry.NewTracer(s.GetTrace(), p.metrics.Name()); err != nil {
		return nil, err
	}
	p.stage = lifecycle.New(func(_, to lifecycle.State) { p.onStage(to) })
	return p, nil
}

// hooks are the callbacks of a role for events of the control plane.
type hooks struct {
	config    func(*config.Snapshot)
	view      func(*membership.View)
	confirmed func()
	linkDoubt func()
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
		Platform:    p.monitorPlatform(p.client),
		Send:        func(to netip.AddrPort, f *schema.Frame) { p.send(socket, to, f) },
		OnConfig:    func(s *config.Snapshot) { p.onConfig(s, h.config) },
		OnView:      func(v *membership.View) { p.onView(v); h.view(v) },
		OnConfirmed: func(ok bool) { p.onConfirmed(ok, h.confirmed) },
		OnRejected:  p.onRejected,
		OnLinkDoubt: func(d membership.LinkDoubt) { p.onLinkDoubt(d, h.linkDoubt) },
	})
	return err
}

func parseAddresses(list []string) ([]netip.AddrPort, error) {
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

// send sends a control frame. It only counts errors, because the protocols repeat
// lost messages where necessary.
func (p *process) send(socket *tunnel.Socket, to netip.AddrPort, f *schema.Frame) {
	if err := socket.Send(to, f); err != nil {
		p.metrics.Error(schema.ErrorKind_INTERNAL)
	}
}

// serve starts the control plane, the operator interface and the metrics interface.
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

// closeInterfaces closes the operator and metrics interfaces. Their addresses are
// free when it returns, because a successor binds them once it has the reply to its
// takeover request.
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
	// Closing the server does not close the listener before Serve has registered it,
	// so that the listener is closed separately.
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
		p.logger.Log(telemetry.StopBegun, "reason", p.drainReason, "limit", p.drainLimit)
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
	p.acceptedAt = time.Now()
	previous := p.acceptedRevision
	p.acceptedRevision = s.Revision()
	p.mu.Unlock()
	apply(s)
	p.logger.Log(telemetry.ConfigAccepted, "revision", s.Revision(), "previous", previous)
}

// onView logs the hosts that failed and those that recovered since the last view.
func (p *process) onView(v *membership.View) {
	failed := v.Failed()
	p.mu.Lock()
	previous := p.failedHosts
	p.failedHosts = failed
	p.mu.Unlock()
	p.logHosts(telemetry.HostDead, failed, previous)
	for host := range previous {
		if v.State(host) != schema.HostState_LIVE {
			delete(previous, host)
		}
	}
	p.logHosts(telemetry.HostBack, previous, failed)
}

// logHosts logs the hosts that are not in except. It logs at most maxHostEvents
// lines, because a whole availability zone can fail at once.
func (p *process) logHosts(event telemetry.Event, hosts, except map[string]uint64) {
	count := 0
	for _, host := range slices.Sorted(maps.Keys(hosts)) {
		if _, ok := except[host]; ok {
			continue
		}
		if count++; count > maxHostEvents {
			return
		}
		p.logger.Log(event, "failed_host", host, "incarnation", hosts[host])
	}
}

// onConfirmed handles a confirmation of the revision, or the loss of the
// confirmation after a pause of the process.
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
	p.linkDoubted = d.Doubt
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

// beginDrain enters the draining stage and announces that the host leaves. The
// reason and the limit are logged; the limit is the maximum duration of the drain,
// 0 if there is none.
func (p *process) beginDrain(reason string, limit time.Duration) {
	p.mu.Lock()
	p.drainReason = reason
	p.drainLimit = limit
	p.mu.Unlock()
	if err := p.stage.Drain(); err != nil {
		return
	}
	p.control.Announce(schema.HostState_LEAVING)
}

// finishStop enters the stopped stage, logs it and exports the last spans.
func (p *process) finishStop(flows, requests int) {
	if err := p.stage.Stop(); err != nil {
		p.logger.Log(telemetry.StateError, "error", err)
	}
	p.logger.Log(telemetry.Stopped, "cut_flows", flows, "cut_requests", requests)
	ctx, cancel := context.WithTimeout(context.Background(), traceFlushTimeout)
	defer cancel()
	if err := p.tracer.Close(ctx); err != nil {
		p.logger.Log(telemetry.StateError, "error", err)
	}
	p.metrics.Close()
}

// addProcessStatus adds the fields that all roles share to the status of a role.
func (p *process) addProcessStatus(s rpcapi.Status) rpcapi.Status {
	p.mu.Lock()
	defer p.mu.Unlock()
	s.State = string(p.stage.State())
	s.LinkDoubted = p.linkDoubted
	if !p.acceptedAt.IsZero() {
		s.ConfigAge = time.Since(p.acceptedAt)
	}
	return s
}

// Ready returns a channel that is closed when the process has a confirmed
// configuration.
func (p *process) Ready() <-chan struct{} {
	return p.control.Ready()
}

// RPC returns the bound address of the operator interface.
func (p *process) RPC() netip.AddrPort {
	return p.rpc
}

// Revision returns the current configuration revision, 0 before the first
// configuration.
func (p *process) Revision() uint64 {
	return p.revision()
}

// Metrics returns the metrics of the process.
func (p *process) Metrics() *telemetry.Metrics {
	return p.metrics
}

// Control returns the control plane of the process.
func (p *process) Control() *control.Control {
	return p.control
}
