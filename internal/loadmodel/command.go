package loadmodel

import (
	"fmt"

	"github.com/pkg/errors"
	"github.com/spf13/cobra"
)

// defaultSeeds is the number of seeds of each row of the table.
const defaultSeeds = 5

// NewCommand returns the command that prints what the mechanisms of admission are worth
// under a pattern of load.
func NewCommand() *cobra.Command {
	var pattern string
	var seeds int
	var lateWorth float64
	command := &cobra.Command{
		Use:   "loadmodel",
		Short: "Simulate patterns of load and switch off the mechanisms of admission one by one",
		Args:  cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			if seeds < 1 {
				return errors.Errorf("seeds %d: must be at least 1", seeds)
			}
			if !(lateWorth >= 0 && lateWorth <= 1) {
				return errors.Errorf("late-worth %v: must be from 0 to 1", lateWorth)
			}
			patterns := Patterns()
			if pattern != "" {
				p, ok := Named(pattern)
				if !ok {
					return errors.Errorf("unknown pattern %q, must be one of %v", pattern, names(patterns))
				}
				patterns = []Pattern{p}
			}
			for _, p := range patterns {
				if err := WriteAblation(c.OutOrStdout(), p, seeds, func(c *Config) { c.setLateWorth(lateWorth) }); err != nil {
					return err
				}
				fmt.Fprintln(c.OutOrStdout())
			}
			return nil
		},
	}
	command.Flags().StringVar(&pattern, "pattern", "", "name of the pattern; all if empty")
	command.Flags().Float64Var(&lateWorth, "late-worth", defaultLateWorth, "what an answer after its objective is worth, from 0 to 1")
	command.Flags().IntVar(&seeds, "seeds", defaultSeeds, "number of seeds of each row, from 1 on")
	return command
}

func names(patterns []Pattern) []string {
	var out []string
	for _, p := range patterns {
		out = append(out, p.Name)
	}
	return out
}
