package cli

import (
	"fmt"
	"os"
	"time"

	"github.com/pkg/errors"
	"github.com/spf13/cobra"

	"github.com/peridotstall/peridotstall/internal/soak"
)

func newSoak() *cobra.Command {
	options := soak.Options{}
	var seeds int
	command := &cobra.Command{
		Use:   "soak",
		Short: "Run the segment mode on loopback, inject faults and check its promises",
		Long: `Run the segment mode on loopback as separate processes, inject faults from
outside and check what callers and targets receive. Exit status: 1 if a promise
was broken. The logs of the processes are kept in the directory.`,
		Example: "  peridotstall soak --seed 7 --duration 30s --dir /tmp/soak",
		Args:    cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			options.Out = c.OutOrStdout()
			broken := 0
			first := options.Seed
			base := options.Dir
			for i := range uint64(max(seeds, 1)) {
				options.Seed = first + i
				options.Dir = fmt.Sprintf("%s/seed-%d", base, options.Seed)
				if err := os.MkdirAll(options.Dir, 0o700); err != nil {
					return withExitStatus(exitInvalid, errors.Wrap(err, "--dir"))
				}
				violations, err := soak.Run(c.Context(), options)
				if err != nil {
					return err
				}
				broken += len(violations)
			}
			if broken > 0 {
				return errors.Errorf("%d promises were broken", broken)
			}
			return nil
		},
	}
	flags := command.Flags()
	flags.Uint64Var(&options.Seed, "seed", 1, "first seed of the injected faults")
	flags.IntVar(&seeds, "seeds", 1, "number of consecutive seeds, run one after the other")
	flags.DurationVar(&options.Duration, "duration", 20*time.Second, "time with faults for each seed")
	flags.IntVar(&options.Balancers, "balancers", 3, "number of balancers")
	flags.IntVar(&options.Targets, "targets", 4, "number of targets of each of the two services")
	flags.IntVar(&options.Callers, "callers", 20, "number of concurrent callers")
	flags.StringVar(&options.Dir, "dir", "soak", "directory for settings and logs")
	return command
}
