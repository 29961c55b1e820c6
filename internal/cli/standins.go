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

// filePollInterval is the time between two checks for changed files, far below the
// 4 s within which a change must be in force.
const filePollInterval = 200 * time.Millisecond

// runUntilSignal calls run with a context that SIGTERM and SIGINT cancel.
func runUntilSignal(ctx context.Context, run func(ctx context.Context) error) error {
	if ctx == nil {
		ctx = context.Background()
	}
	ctx, stop := signal.NotifyContext(ctx, os.Interrupt, syscall.SIGTERM)
	defer stop()
	return run(ctx)
}

// markRequired marks flags as required. It panics if one of them is not defined.
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
		Short: "Serve a configuration and a host list from files, for tests",
		Long: `Serves a configuration and a host list from files over the protocol of the
configuration service, and reads the files again when they change. Replace a file
by renaming, so that it is never read partially written.

This is a stand-in for tests on one host, not for production.`,
		Example: "  peridotstall platform --config config.json --hosts hosts.json --listen 127.0.0.1:7200",
		Args:    cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			return runUntilSignal(c.Context(), func(ctx context.Context) error {
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
		return withExitStatus(exitInvalid, err)
	}
	fmt.Fprintf(c.OutOrStdout(), "serving on %s\n", service.URL())
	writePublished(c, published)
	ticker := time.NewTicker(filePollInterval)
	defer ticker.Stop()
	last := ""
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
		published, err := files.Read()
		writePublished(c, published)
		text := ""
		if err != nil {
			text = err.Error()
		}
		// The same error is written once, not at every reading.
		if text != "" && text != last {
			fmt.Fprintf(c.ErrOrStderr(), "peridotstall: %s; serving the previous content\n", text)
		}
		last = text
	}
}

func writePublished(c *cobra.Command, published []string) {
	for _, text := range published {
		fmt.Fprintf(c.OutOrStdout(), "published %s\n", text)
	}
}

func newBackend() *cobra.Command {
	var name, udp, http string
	var serviceTime time.Duration
	command := &cobra.Command{
		Use:   "backend --listen-udp ADDRESS --listen-http ADDRESS",
		Short: "Run a backend server that echoes, for tests",
		Long: `Runs a backend server that answers each datagram with its name, the source of the
datagram and the content, and each request with its body after the service time.

This is a stand-in for tests on one host, not for production.`,
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
			return runUntilSignal(c.Context(), func(ctx context.Context) error {
				server, err := backendtest.Listen(name, serviceTime, udpAddress, httpAddress)
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
	command.Flags().StringVar(&name, "name", "backend", "name in replies to datagrams, without spaces")
	command.Flags().StringVar(&udp, "listen-udp", "", "address for datagrams")
	command.Flags().StringVar(&http, "listen-http", "", "address for requests")
	command.Flags().DurationVar(&serviceTime, "service-time", 4*time.Millisecond, "service time of a request")
	markRequired(command, "listen-udp", "listen-http")
	return command
}

func parseFlag(name, value string) (netip.AddrPort, error) {
	address, err := netip.ParseAddrPort(value)
	return address, withExitStatus(exitInvalid, errors.Wrapf(err, "%s %q", name, value))
}
