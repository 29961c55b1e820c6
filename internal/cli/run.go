package cli

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/pkg/errors"
	"github.com/spf13/cobra"

	"github.com/peridotstall/peridotstall/internal/daemon"
	"github.com/peridotstall/peridotstall/internal/route"
	"github.com/peridotstall/peridotstall/internal/schema"
	"github.com/peridotstall/peridotstall/internal/settings"
	"github.com/peridotstall/peridotstall/internal/telemetry"
)

// daemonProcess is a running role.
type daemonProcess interface {
	Ended() <-chan error
	Stop(ctx context.Context, reason string) (cut int)
}

func newBalancer() *cobra.Command {
	return roleCommand("balancer", "Run a balancer on an entry host",
		func(path string) (daemonProcess, error) {
			s, err := settings.LoadBalancer(path)
			if err != nil {
				return nil, withStatus(exitSettings, err)
			}
			logger, err := newLogger(s.GetCommon())
			if err != nil {
				return nil, err
			}
			return daemon.StartBalancer(s, logger, route.Candidates)
		})
}

func newAgent() *cobra.Command {
	return roleCommand("agent", "Run the agent beside a backend server",
		func(path string) (daemonProcess, error) {
			s, err := settings.LoadAgent(path)
			if err != nil {
				return nil, withStatus(exitSettings, err)
			}
			logger, err := newLogger(s.GetCommon())
			if err != nil {
				return nil, err
			}
			return daemon.StartAgent(s, logger, daemon.AgentOptions{})
		})
}

func newLogger(common *schema.CommonSettings) (*telemetry.Logger, error) {
	logger, err := telemetry.NewLogger(os.Stderr, common.GetLog())
	return logger, withStatus(exitSettings, err)
}

func roleCommand(name, short string, start func(path string) (daemonProcess, error)) *cobra.Command {
	var path string
	command := &cobra.Command{
		Use:   name + " --settings FILE",
		Short: short,
		Long: short + `.

SIGTERM and SIGINT begin a graceful stop; a second one ends the process at once.
Exit status: 0 after a stop that cut nothing, 1 after an error, 2 when the
settings are wrong, 3 when the stop cut off flows or requests.`,
		Example: "  peridotstall " + name + " --settings /etc/peridotstall/" + name + ".toml",
		Args:    cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			process, err := start(path)
			if err != nil {
				return err
			}
			return supervise(c.Context(), process)
		},
	}
	command.Flags().StringVarP(&path, "settings", "s", "", "settings file (TOML)")
	markRequired(command, "settings")
	return command
}

// supervise waits for a signal or the end of the process.
func supervise(ctx context.Context, process daemonProcess) error {
	if ctx == nil {
		ctx = context.Background()
	}
	signals := make(chan os.Signal, 2)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	defer signal.Stop(signals)
	select {
	case err := <-process.Ended():
		return errors.Wrap(err, "process ended")
	case s := <-signals:
		return stop(ctx, process, s, signals)
	}
}

// stop ends the process gracefully; a second signal gives the rest up.
func stop(ctx context.Context, process daemonProcess, first os.Signal, signals <-chan os.Signal) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	go func() {
		select {
		case <-signals:
			cancel()
		case <-ctx.Done():
		}
	}()
	cut := process.Stop(ctx, first.String())
	if cut > 0 {
		return withStatus(exitCut, fmt.Errorf("the stop cut off %d flows and requests", cut))
	}
	return nil
}
