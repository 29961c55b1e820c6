// Command peridotstall runs the roles of the load balancer and the operator's tools.
package main

import (
	"os"

	"github.com/spf13/cobra"
)

func main() {
	if err := newRootCommand().Execute(); err != nil {
		os.Exit(1)
	}
}

func newRootCommand() *cobra.Command {
	return &cobra.Command{
		Use:          "peridotstall",
		Short:        "Layer-4 load balancer for operators who share a fleet",
		SilenceUsage: true,
	}
}
