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

// startFunc starts a process from a settings file. The process logs to w.
type startFunc func(settingsFile string, w io.Writer) (peridotstall.Process, error)

func roleCommand(name, short string, start startFunc) *cobra.Command {
	var path string
	command := &cobra.Command{
		Use:   name + " --settings FILE",
		Short: short,
		Long: short + `.

SIGTERM and SIGINT begin a graceful stop; a second signal stops the process
immediately. Exit status: 0 after a stop that cut off nothing, 1 after an error,
2 if the settings are invalid, 3 if the stop cut off flows or requests.`,
		Example: "  peridotstall " + name + " --settings /etc/peridotstall/" + name + ".toml",
		Args:    cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			process, err := start(path, os.Stderr)
			var settingsErr *peridotstall.SettingsError
			if errors.As(err, &settingsErr) {
				return withExitStatus(exitInvalid, err)
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

// supervise waits until the process ends, or stops it on SIGTERM or SIGINT.
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

// stop stops the process gracefully. A second signal cuts off the remaining flows
// and requests.
func stop(ctx context.Context, process peridotstall.Process, sig os.Signal, signals <-chan os.Signal) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	go func() {
		select {
		case <-signals:
			cancel()
		case <-ctx.Done():
		}
	}()
	cut := process.Stop(ctx, sig.String())
	if cut > 0 {
		return withExitStatus(exitCut, fmt.Errorf("the stop cut off %d flows and requests", cut))
	}
	return nil
}
