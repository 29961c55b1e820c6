package cli

import (
	"time"

	"github.com/pkg/errors"
	"github.com/spf13/cobra"

	"github.com/peridotstall/peridotstall/internal/demo"
	"github.com/peridotstall/peridotstall/internal/schema"
	"github.com/peridotstall/peridotstall/internal/telemetry"
)

func newDemo() *cobra.Command {
	options := demo.Options{}
	var asJSON, quiet bool
	var logLevel string
	command := &cobra.Command{
		Use:   "demo",
		Short: "Run the deployments of both members on loopback and check the promises",
		Long: `Starts 21 targets and 6 balancers of two members in one process, with real UDP
sockets and a stand-in for the platform. Callers send every packet to a random
balancer. Meanwhile balancers are replaced, a backend server drains and resumes,
and the configuration changes. Exit status: 1 if a promise was broken.`,
		Example: `  peridotstall demo
  peridotstall demo --duration 20s --flows 500 --seed 7 --json
  peridotstall demo --baseline`,
		Args: cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			logger, err := telemetry.NewLogger(c.ErrOrStderr(), &schema.LogSettings{Level: logLevel, Format: "text"})
			if err != nil {
				return withExitStatus(exitInvalid, err)
			}
			options.Logger = logger
			if !quiet {
				options.Progress = c.ErrOrStderr()
			}
			report, err := demo.Run(c.Context(), options)
			if err != nil {
				return err
			}
			return writeReport(c, report, asJSON)
		},
	}
	flags := command.Flags()
	flags.DurationVar(&options.Duration, "duration", 8*time.Second, "time for which callers send")
	flags.IntVar(&options.Flows, "flows", 200, "number of plain flows of each member")
	flags.Uint64Var(&options.Seed, "seed", 1, "seed of the random choices of the callers")
	flags.BoolVar(&options.Baseline, "baseline", false, "use plain hashing without owners, for comparison")
	flags.BoolVar(&asJSON, "json", false, "print the report as JSON")
	flags.BoolVarP(&quiet, "quiet", "q", false, "print no progress")
	flags.StringVar(&logLevel, "log-level", "error", "log level of the daemons")
	return command
}

func writeReport(c *cobra.Command, report *demo.Report, asJSON bool) error {
	write := report.WriteTable
	if asJSON {
		write = report.WriteJSON
	}
	if err := write(c.OutOrStdout()); err != nil {
		return err
	}
	if !report.PromisesKept() {
		return errors.Errorf("%d promises were broken", len(report.BrokenPromises))
	}
	return nil
}
