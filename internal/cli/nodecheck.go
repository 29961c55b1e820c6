package cli

import (
	"fmt"
	"io"
	"os"

	"github.com/pkg/errors"
	"github.com/spf13/cobra"

	"github.com/peridotstall/peridotstall/platform"
)

// newNodeCheck returns the command that checks files of the users' platform.
func newNodeCheck() *cobra.Command {
	return &cobra.Command{
		Use:   "check {balancer|agent|routes} FILE...",
		Short: "Check the platform's settings or a configuration as published",
		Long: `Check files of the users' platform without starting anything: its settings of a
balancer or of an agent, or the operators' configuration as it is published.

Exit status: 0 when all files are usable, 2 otherwise.`,
		Args: cobra.MinimumNArgs(2),
		RunE: func(c *cobra.Command, args []string) error {
			check, known := map[string]func(io.Writer, string) error{
				"balancer": checkBalancer, "agent": checkAgent, "routes": checkRoutes,
			}[args[0]]
			if !known {
				return withStatus(exitSettings, errors.Errorf("%q is none of balancer, agent, routes", args[0]))
			}
			wrong := 0
			for _, file := range args[1:] {
				if err := check(c.OutOrStdout(), file); err != nil {
					wrong++
					fmt.Fprintln(c.OutOrStdout(), err)
				}
			}
			if wrong > 0 {
				return withStatus(exitSettings, errors.Errorf("%d of %d files are not usable", wrong, len(args)-1))
			}
			return nil
		},
	}
}

func checkBalancer(out io.Writer, file string) error {
	settings, err := platform.ReadSettings(file, false)
	if err == nil {
		fmt.Fprintf(out, "%s: balancer %s in %s, %d seeds\n", file, settings.Host, settings.Zone, len(settings.Seeds))
	}
	return err
}

func checkAgent(out io.Writer, file string) error {
	settings, err := platform.ReadSettings(file, true)
	if err == nil {
		fmt.Fprintf(out, "%s: agent %s in %s, service %s\n", file, settings.Host, settings.Zone, settings.Service)
	}
	return err
}

func checkRoutes(out io.Writer, file string) error {
	content, err := os.ReadFile(file)
	if err != nil {
		return errors.Wrap(err, "read configuration")
	}
	routes, faults, err := platform.ParseRoutes(content)
	if err != nil {
		return errors.Wrap(err, file)
	}
	for _, fault := range faults {
		fmt.Fprintf(out, "%s: route %s: %v\n", file, fault.Route, fault.Err)
	}
	if len(faults) > 0 {
		return errors.Errorf("%s: %d routes are not usable", file, len(faults))
	}
	fmt.Fprintf(out, "%s: version %d, %d routes\n", file, routes.Version, len(routes.Routes))
	return nil
}
