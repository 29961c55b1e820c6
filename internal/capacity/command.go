package capacity

import (
	"encoding/json"
	"fmt"

	"github.com/pkg/errors"
	"github.com/spf13/cobra"
)

// NewCommand returns the command "peridotstall capacity".
func NewCommand() *cobra.Command {
	var file string
	var asJSON bool
	command := &cobra.Command{
		Use:   "capacity",
		Short: "Compute what a fleet of a given size costs",
		Long: `Computes messages, bytes, processor time and memory of each role for a size of
the fleet, the reserve against the control budget of a node, one day at that
size, and what does not reach it. Without a file the size is the target size of
the design. Keys of the file that are absent keep the value of the target size:

  nodes, targets, services, open_flows, new_flows_per_second, zones, regions,
  changes_per_day, host_failures_per_day, host_restarts_per_day`,
		Example: `  peridotstall capacity
  peridotstall capacity --settings size.toml --json`,
		Args:         cobra.NoArgs,
		SilenceUsage: true,
		RunE: func(c *cobra.Command, _ []string) error {
			size := TargetSize()
			if file != "" {
				var err error
				if size, err = Load(file); err != nil {
					return err
				}
			}
			report := Compute(size)
			if asJSON {
				encoder := json.NewEncoder(c.OutOrStdout())
				encoder.SetIndent("", "  ")
				return errors.Wrap(encoder.Encode(report), "write JSON")
			}
			_, err := fmt.Fprint(c.OutOrStdout(), report.Text())
			return errors.Wrap(err, "write report")
		},
	}
	command.Flags().StringVar(&file, "settings", "", "TOML file with the size")
	command.Flags().BoolVar(&asJSON, "json", false, "print JSON")
	return command
}
