package cli

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"net/netip"
	"os"
	"os/signal"
	"strings"
	"syscall"
	"time"

	"github.com/pkg/errors"
	"github.com/spf13/cobra"

	"github.com/peridotstall/peridotstall/internal/segnode"
	"github.com/peridotstall/peridotstall/internal/telemetry"
	"github.com/peridotstall/peridotstall/platform"
)

const (
	// stopReserve is subtracted from the platform's stop limit, so that the process
	// exits before the platform kills it.
	stopReserve = 800 * time.Millisecond
	// settingsPollInterval is the time between two checks of the settings file,
	// which may change without a signal.
	settingsPollInterval = time.Second
)

func newNode() *cobra.Command {
	command := &cobra.Command{
		Use:   "node",
		Short: "Run a process of the segment mode on the users' platform",
		Long: `Run a process of the segment mode on the users' platform. An environment variable
of the platform holds the path of the settings file.

SIGTERM and SIGINT begin a graceful stop, SIGHUP reloads the settings. Exit
status: 0 after a stop that cut off nothing, 1 after an error, 2 if the settings
are invalid, 3 if the stop cut off requests.`,
	}
	command.AddCommand(
		nodeCommand("balancer", "Run a balancer on an entry host", false),
		nodeCommand("agent", "Run the agent beside a target", true),
		newNodeCheck(),
	)
	return command
}

func nodeCommand(name, short string, agent bool) *cobra.Command {
	var metricsPort uint16
	command := &cobra.Command{
		Use: name, Short: short, Args: cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			path, err := platform.SettingsPath()
			if err != nil {
				return withExitStatus(exitInvalid, err)
			}
			data, err := os.ReadFile(path)
			if err != nil {
				return withExitStatus(exitInvalid, errors.Wrap(err, "read settings"))
			}
			settings, err := platform.ParseSettings(path, data, agent)
			if err != nil {
				return withExitStatus(exitInvalid, err)
			}
			r := &nodeRunner{path: path, role: name, agent: agent, content: data, settings: settings, metricsPort: metricsPort}
			return r.run(c.OutOrStdout())
		},
	}
	command.Flags().Uint16Var(&metricsPort, "metrics-port", 0, "port that serves metrics as JSON; 0 disables it")
	return command
}

// nodeRunner runs a process of the segment mode, its readiness and metrics
// listeners and the watcher of its settings file.
type nodeRunner struct {
	path, role string
	agent      bool
	// content is the content of the settings file that settings were parsed from.
	content     []byte
	settings    platform.Settings
	metricsPort uint16
}

// node is a process of the segment mode.
type node interface {
	Ready() bool
	Ended() <-chan error
	Stop(ctx context.Context) int
}

// startNode starts the agent or the balancer that the settings describe.
func startNode(settings platform.Settings, agent bool, logger *telemetry.DecisionLog) (node, error) {
	common := segnode.Common{
		Host: settings.Host, Zone: settings.Zone, Packets: settings.Packets,
		Codec: platform.Segments{}, Logger: logger,
	}
	if agent {
		common.Link = netip.AddrPortFrom(settings.Packets.Addr(), settings.AgentLinkPort)
		return segnode.StartAgent(segnode.AgentOptions{
			Common: common, Service: settings.Service, Backend: settings.Backend, Outbound: settings.Outbound,
			WarmupTolerance: settings.WarmupTolerance,
		})
	}
	common.Link = settings.Control
	return segnode.StartBalancer(segnode.BalancerOptions{
		Common: common, AgentLinkPort: settings.AgentLinkPort, Seeds: settings.Seeds,
		Source: platform.NewStore(settings.Store), LinkRate: settings.LinkRate, Cores: settings.Cores,
	})
}

// run starts the process and returns when it has stopped or failed.
func (r *nodeRunner) run(out io.Writer) error {
	logger, err := telemetry.NewDecisionLog(out, "host", r.settings.Host)
	if err != nil {
		return err
	}
	defer logger.Close()
	// Handled from here on, because a SIGHUP without a handler ends the process.
	signals := make(chan os.Signal, 4)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
	defer signal.Stop(signals)
	logger.Log(telemetry.ProcessStarted, "role", r.role, "zone", r.settings.Zone)
	process, err := startNode(r.settings, r.agent, logger)
	if err != nil {
		return err
	}
	failed := make(chan error, 2)
	listener, err := platform.ServeReady(r.settings.Ready, process.Ready, failed)
	if err != nil {
		return err
	}
	defer listener.Close()
	if r.metricsPort != 0 {
		metrics, err := serveMetrics(netip.AddrPortFrom(r.settings.Ready.Addr(), r.metricsPort), failed)
		if err != nil {
			return err
		}
		defer metrics.Close()
	}
	return r.supervise(process, logger, signals, failed)
}

// serveMetrics serves the metrics of the process over HTTP in a new goroutine,
// which sends an error to failed if the server ends before the listener is closed.
func serveMetrics(address netip.AddrPort, failed chan<- error) (net.Listener, error) {
	listener, err := net.Listen("tcp4", address.String())
	if err != nil {
		return nil, errors.Wrapf(err, "bind TCP address %s", address)
	}
	go func() {
		if err := http.Serve(listener, telemetry.Handler()); err != nil && !errors.Is(err, net.ErrClosed) {
			failed <- errors.Wrap(err, "serve metrics")
		}
	}()
	return listener, nil
}

// supervise returns when the process has ended or a signal has stopped it, and
// applies changed settings to it until then.
func (r *nodeRunner) supervise(process node, logger *telemetry.DecisionLog, signals <-chan os.Signal, failed <-chan error) error {
	watcher := &settingsWatcher{path: r.path, agent: r.agent, logger: logger, last: r.content, settings: r.settings}
	ticker := time.NewTicker(settingsPollInterval)
	defer ticker.Stop()
	for {
		select {
		case err := <-process.Ended():
			return errors.Wrap(err, "process ended")
		case err := <-failed:
			return err
		case <-ticker.C:
			watcher.reload("file changed", process)
		case s := <-signals:
			if s == syscall.SIGHUP {
				watcher.reload("signal", process)
				continue
			}
			limit := max(watcher.settings.StopTimeout-stopReserve, 0)
			logger.Log(telemetry.StopBegun, "reason", s.String(), "limit", limit)
			ctx, cancel := context.WithTimeout(context.Background(), limit)
			cut := process.Stop(ctx)
			cancel()
			logger.Log(telemetry.Stopped, "cut_flows", 0, "cut_requests", cut)
			if cut > 0 {
				return withExitStatus(exitCut, errors.Errorf("the stop cut off %d requests", cut))
			}
			return nil
		}
	}
}

// settingsWatcher applies changes of the settings file to the process.
type settingsWatcher struct {
	path   string
	agent  bool
	logger *telemetry.DecisionLog
	// last is the content that was applied or rejected last.
	last []byte
	// settings are those in force.
	settings platform.Settings
}

// reload reads the settings file if its content changed and applies the settings.
// Invalid settings are logged and the current ones stay in force.
func (w *settingsWatcher) reload(reason string, process node) {
	data, err := os.ReadFile(w.path)
	if err != nil {
		if w.logger.Allow(telemetry.SettingsRejected) {
			w.logger.Log(telemetry.SettingsRejected, "error", err)
		}
		return
	}
	if bytes.Equal(data, w.last) {
		return
	}
	w.last = data
	settings, err := platform.ParseSettings(w.path, data, w.agent)
	if err != nil {
		w.logger.Log(telemetry.SettingsRejected, "error", err)
		return
	}
	switch p := process.(type) {
	case *segnode.Agent:
		p.Reconfigure(settings.Service, settings.Backend)
	case *segnode.Balancer:
		p.Reconfigure(settings.Seeds, settings.Store)
	}
	pending := restartNeeded(w.settings, settings)
	w.settings.Seeds, w.settings.Store, w.settings.StopTimeout = settings.Seeds, settings.Store, settings.StopTimeout
	w.settings.Service, w.settings.Backend = settings.Service, settings.Backend
	fields := []any{"reason", reason}
	if len(pending) > 0 {
		fields = append(fields, "restart_needed", strings.Join(pending, ","))
	}
	w.logger.Log(telemetry.SettingsReloaded, fields...)
}

// restartNeeded returns the settings that changed and are in force only after a restart.
func restartNeeded(current, next platform.Settings) []string {
	var names []string
	for _, setting := range []struct {
		name    string
		changed bool
	}{
		{"host", current.Host != next.Host}, {"zone", current.Zone != next.Zone},
		{"packets", current.Packets != next.Packets}, {"ready", current.Ready != next.Ready},
		{"control", current.Control != next.Control}, {"outbound", current.Outbound != next.Outbound},
		{"agent link port", current.AgentLinkPort != next.AgentLinkPort},
		{"warm-up tolerance", current.WarmupTolerance != next.WarmupTolerance},
		{"link rate", current.LinkRate != next.LinkRate}, {"cores", current.Cores != next.Cores},
	} {
		if setting.changed {
			names = append(names, setting.name)
		}
	}
	return names
}
