package cli

import (
	"fmt"
	"io"
	"maps"
	"os"
	"slices"
	"strconv"

	"github.com/pkg/errors"
	"github.com/spf13/cobra"

	"github.com/peridotstall/peridotstall/platform"
)

func newNodeCheck() *cobra.Command {
	return &cobra.Command{
		Use:   "check {balancer|agent|routes} FILE...",
		Short: "Check settings files or a published configuration",
		Long: `Check files of the users' platform without starting a process: the settings of a
balancer or an agent, or the configuration that operators publish.

Exit status: 0 if all files are usable, 2 otherwise.`,
		Args: cobra.MinimumNArgs(2),
		RunE: func(c *cobra.Command, args []string) error {
			check, ok := map[string]func(io.Writer, string) error{
				"balancer": checkBalancer, "agent": checkAgent, "routes": checkRoutes,
			}[args[0]]
			if !ok {
				return withExitStatus(exitInvalid, errors.Errorf("unknown kind of file %q, must be balancer, agent or routes", args[0]))
			}
			unusable := 0
			for _, file := range args[1:] {
				if err := check(c.OutOrStdout(), file); err != nil {
					unusable++
					fmt.Fprintln(c.OutOrStdout(), err)
				}
			}
			if unusable > 0 {
				return withExitStatus(exitInvalid, errors.Errorf("%d of %d files are not usable", unusable, len(args)-1))
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
		fmt.Fprintf(out, "%s: %v\n", file, fault)
	}
	if len(faults) > 0 {
		return errors.Errorf("%s: %d faults in the configuration", file, len(faults))
	}
	fmt.Fprintf(out, "%s: version %d, %d routes\n", file, routes.Version, len(routes.Routes))
	for _, service := range slices.Sorted(maps.Keys(routes.Warmups)) {
		limit, rate := routes.Warmups[service], "any number of"
		if limit.Rate > 0 {
			rate = strconv.FormatFloat(limit.Rate, 'g', -1, 64)
		}
		fmt.Fprintf(out, "%s: service %s: targets are cold for %v and take %s requests a second then\n", file, service, limit.Duration, rate)
	}
	return nil
}
