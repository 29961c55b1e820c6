// Package cli implements the commands of the peridotstall program. Each command
// parses its arguments and calls another package.
package cli

import (
	"errors"
	"fmt"
	"io"
	"runtime/debug"

	"github.com/spf13/cobra"

	"github.com/peridotstall/peridotstall/internal/capacity"
	"github.com/peridotstall/peridotstall/internal/checkcmd"
	"github.com/peridotstall/peridotstall/internal/loadmodel"
)

// Exit statuses of the program.
const (
	exitOK = 0
	// exitFailed reports that the command failed.
	exitFailed = 1
	// exitInvalid reports invalid settings or arguments; nothing was started.
	exitInvalid = 2
	// exitCut reports that a stop cut off flows or requests.
	exitCut = 3
)

// exitError is an error with the exit status of the program.
type exitError struct {
	status int
	err    error
}

func (e *exitError) Error() string { return e.err.Error() }
func (e *exitError) Unwrap() error { return e.err }

func withExitStatus(status int, err error) error {
	if err == nil {
		return nil
	}
	return &exitError{status: status, err: err}
}

// Execute runs the command that args select and returns the exit status. Errors
// are written to errOut.
func Execute(args []string, out, errOut io.Writer) int {
	root := newRoot()
	root.SetArgs(args)
	root.SetOut(out)
	root.SetErr(errOut)
	err := root.Execute()
	if err == nil {
		return exitOK
	}
	fmt.Fprintf(errOut, "peridotstall: %v\n", err)
	var exitErr *exitError
	if errors.As(err, &exitErr) {
		return exitErr.status
	}
	return exitFailed
}

func newRoot() *cobra.Command {
	root := &cobra.Command{
		Use:   "peridotstall",
		Short: "Layer-4 load balancer for operators who share a fleet",
		Long: `peridotstall balances datagrams, requests and TCP connections over backend
servers. Balancers keep no flow state; the agent beside each backend server owns
the flows of that server.`,
		Example: `  peridotstall demo
  peridotstall balancer --settings balancer.toml
  peridotstall agent --settings agent.toml
  peridotstall check balancer.toml configuration.json
  peridotstall status 127.0.0.1:7400 127.0.0.1:7401`,
		Version:       version(),
		SilenceUsage:  true,
		SilenceErrors: true,
	}
	root.SetFlagErrorFunc(func(_ *cobra.Command, err error) error {
		return withExitStatus(exitInvalid, err)
	})
	root.AddCommand(
		newBalancer(),
		newAgent(),
		newNode(),
		newSoak(),
		newDemo(),
		newPlatform(),
		newBackend(),
		newStatus(),
		newExplain(),
		newCompare(),
		checkcmd.NewCommand(),
		capacity.NewCommand(),
		loadmodel.NewCommand(),
	)
	return root
}

// version returns the module version, followed by the commit if the build
// recorded one.
func version() string {
	info, ok := debug.ReadBuildInfo()
	if !ok {
		return "unknown"
	}
	version := info.Main.Version
	if version == "" || version == "(devel)" {
		version = "0.1.0-dev"
	}
	for _, s := range info.Settings {
		if s.Key == "vcs.revision" && len(s.Value) >= 12 {
			version += " (" + s.Value[:12] + ")"
		}
	}
	return version
}
