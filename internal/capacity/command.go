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
		Short: "Compute the cost of a fleet of a given size",
		Long: `Computes messages, bytes, processor time and memory of each role for a fleet of
the given size, the reserve against the control budget of a node, the events of
one day, and the limits that the fleet exceeds. Without a file the size is the
design size, whose values also apply to keys that the file lacks:

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
