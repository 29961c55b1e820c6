package cli

import (
	"context"
	"fmt"
	"io"
	"os"
	"os/signal"
	"syscall"

	"github.com/pkg/errors"
	"github.com/spf13/cobra"

	"github.com/peridotstall/peridotstall"
)

func newBalancer() *cobra.Command {
	return roleCommand("balancer", "Run a balancer on an entry host", peridotstall.StartBalancer)
}

func newAgent() *cobra.Command {
	return roleCommand("agent", "Run the agent beside a backend server", peridotstall.StartAgent)
}

// starter starts a role from a settings file and logs to a writer.
type starter func(settingsFile string, w io.Writer) (peridotstall.Process, error)

func roleCommand(name, short string, start starter) *cobra.Command {
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
			process, err := start(path, os.Stderr)
			var wrong *peridotstall.SettingsError
			if errors.As(err, &wrong) {
				return withStatus(exitSettings, err)
			}
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
func supervise(ctx context.Context, process peridotstall.Process) error {
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
func stop(ctx context.Context, process peridotstall.Process, first os.Signal, signals <-chan os.Signal) error {
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
