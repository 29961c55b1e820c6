package cli

import (
	"context"
	"fmt"
	"net/netip"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/pkg/errors"
	"github.com/spf13/cobra"

	"github.com/peridotstall/peridotstall/internal/backendtest"
	"github.com/peridotstall/peridotstall/internal/platform/platformtest"
)

// rereadInterval is the interval at which the stand-in looks for changed files,
// far below the 4 s within which a change must be in force.
const rereadInterval = 200 * time.Millisecond

// untilSignal runs a function with a context that ends with SIGTERM or SIGINT.
func untilSignal(ctx context.Context, run func(ctx context.Context) error) error {
	if ctx == nil {
		ctx = context.Background()
	}
	ctx, stop := signal.NotifyContext(ctx, os.Interrupt, syscall.SIGTERM)
	defer stop()
	return run(ctx)
}

// markRequired marks flags that have no default.
func markRequired(command *cobra.Command, names ...string) {
	for _, name := range names {
		if err := command.MarkFlagRequired(name); err != nil {
			panic(err)
		}
	}
}

func newPlatform() *cobra.Command {
	var configPath, hostsPath, listen string
	command := &cobra.Command{
		Use:   "platform --config FILE --hosts FILE --listen ADDRESS",
		Short: "Serve a configuration and a host list from files, for tests and trials",
		Long: `Serves a configuration and a host list from files over the protocol of the
configuration service, and reads the files again when they change. Replace a file
by renaming, so that it is never read half written.

This is a stand-in for tests and trials on one machine, not for production.`,
		Example: "  peridotstall platform --config config.json --hosts hosts.json --listen 127.0.0.1:7200",
		Args:    cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			return untilSignal(c.Context(), func(ctx context.Context) error {
				return servePlatform(ctx, c, configPath, hostsPath, listen)
			})
		},
	}
	command.Flags().StringVar(&configPath, "config", "", "configuration file (JSON)")
	command.Flags().StringVar(&hostsPath, "hosts", "", "host list file (JSON)")
	command.Flags().StringVar(&listen, "listen", "", "address to serve on")
	markRequired(command, "config", "hosts", "listen")
	return command
}

func servePlatform(ctx context.Context, c *cobra.Command, configPath, hostsPath, listen string) error {
	service, err := platformtest.Listen(listen)
	if err != nil {
		return err
	}
	defer service.Close()
	files := platformtest.NewFiles(service, configPath, hostsPath)
	published, err := files.Read()
	if err != nil {
		return withStatus(exitSettings, err)
	}
	fmt.Fprintf(c.OutOrStdout(), "serving on %s\n", service.URL())
	writeLines(c, published)
	ticker := time.NewTicker(rereadInterval)
	defer ticker.Stop()
	last := ""
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
		published, err := files.Read()
		writeLines(c, published)
		text := ""
		if err != nil {
			text = err.Error()
		}
		// A fault is written once, not at every reading.
		if text != "" && text != last {
			fmt.Fprintf(c.ErrOrStderr(), "peridotstall: %s; the earlier content stays\n", text)
		}
		last = text
	}
}

func writeLines(c *cobra.Command, published []string) {
	for _, text := range published {
		fmt.Fprintf(c.OutOrStdout(), "published %s\n", text)
	}
}

func newBackend() *cobra.Command {
	var name, udp, http string
	var service time.Duration
	command := &cobra.Command{
		Use:   "backend --listen-udp ADDRESS --listen-http ADDRESS",
		Short: "Run a backend server that echoes, for tests and trials",
		Long: `Runs a backend server that answers each datagram with its name, the source of the
datagram and the content, and each request with its body after the service time.

This is a stand-in for tests and trials on one machine, not for production.`,
		Example: "  peridotstall backend --name shop1 --listen-udp 127.0.0.1:8010 --listen-http 127.0.0.1:8011",
		Args:    cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			udpAddress, err := parseFlag("--listen-udp", udp)
			if err != nil {
				return err
			}
			httpAddress, err := parseFlag("--listen-http", http)
			if err != nil {
				return err
			}
			return untilSignal(c.Context(), func(ctx context.Context) error {
				server, err := backendtest.Listen(name, service, udpAddress, httpAddress)
				if err != nil {
					return err
				}
				defer server.Close()
				fmt.Fprintf(c.OutOrStdout(), "serving on %s and %s\n", server.UDP(), server.URL())
				<-ctx.Done()
				return nil
			})
		},
	}
	command.Flags().StringVar(&name, "name", "backend", "name in answers to datagrams, without spaces")
	command.Flags().StringVar(&udp, "listen-udp", "", "address for datagrams")
	command.Flags().StringVar(&http, "listen-http", "", "address for requests")
	command.Flags().DurationVar(&service, "service-time", 4*time.Millisecond, "time that a request takes")
	markRequired(command, "listen-udp", "listen-http")
	return command
}

func parseFlag(name, value string) (netip.AddrPort, error) {
	address, err := netip.ParseAddrPort(value)
	return address, withStatus(exitSettings, errors.Wrapf(err, "%s %q", name, value))
}
