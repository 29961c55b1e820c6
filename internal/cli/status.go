package cli

import (
	"context"
	"time"

	"github.com/pkg/errors"
	"github.com/spf13/cobra"

	"github.com/peridotstall/peridotstall/internal/rpcapi"
)

// statusPollInterval is the time between two queries of status --wait.
const statusPollInterval = 50 * time.Millisecond

// condition is the state and the lowest revision that status --wait waits for. The
// zero value is met by any process that replies.
type condition struct {
	state    string
	revision uint64
}

// met reports whether all processes replied and meet the condition.
func (c condition) met(results []result[rpcapi.Status]) bool {
	for _, r := range results {
		reached := c.state == "" || r.Reply.State == c.state
		if r.Error != "" || !reached || r.Reply.Revision < c.revision {
			return false
		}
	}
	return true
}

func queryStatus(ctx context.Context, addresses []string) []result[rpcapi.Status] {
	return queryAll(ctx, addresses, func(ctx context.Context, p *rpcapi.Client) (rpcapi.Status, error) {
		return p.Status(ctx)
	})
}

// waitStatus queries the processes until cond is met or timeout has passed. It
// returns the last results and reports whether cond was met.
func waitStatus(ctx context.Context, addresses []string, cond condition, timeout time.Duration) ([]result[rpcapi.Status], bool) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	ticker := time.NewTicker(statusPollInterval)
	defer ticker.Stop()
	results := queryStatus(ctx, addresses)
	for !cond.met(results) {
		select {
		case <-ctx.Done():
			return results, false
		case <-ticker.C:
		}
		if next := queryStatus(ctx, addresses); ctx.Err() == nil {
			results = next
		}
	}
	return results, true
}

func newStatus() *cobra.Command {
	var asJSON bool
	var cond condition
	var timeout time.Duration
	command := &cobra.Command{
		Use:   "status ADDRESS...",
		Short: "Show the state of processes",
		Long: `Shows the state of processes, given the addresses of their operator interfaces
(rpc_address). With --wait it queries the processes until all of them reply and
have reached --state and --revision, and exits with status 1 if that takes longer.`,
		Example: `  peridotstall status 127.0.0.1:7400 127.0.0.1:7401 --json
  peridotstall status --wait 4s --revision 17 127.0.0.1:7400 127.0.0.1:7401`,
		Args: cobra.MinimumNArgs(1),
		RunE: func(c *cobra.Command, args []string) error {
			if timeout == 0 && cond != (condition{}) {
				return withExitStatus(exitInvalid, errors.New("--state and --revision need --wait"))
			}
			var results []result[rpcapi.Status]
			met := true
			if timeout > 0 {
				results, met = waitStatus(c.Context(), args, cond, timeout)
			} else {
				results = queryStatus(c.Context(), args)
			}
			write := func() error { return writeStatus(c.OutOrStdout(), results) }
			if asJSON {
				write = func() error { return writeJSON(c.OutOrStdout(), results) }
			}
			if err := write(); err != nil {
				return err
			}
			if !met {
				return errors.Errorf("not all processes reached the state within %v", timeout)
			}
			return nil
		},
	}
	command.Flags().BoolVar(&asJSON, "json", false, "print JSON")
	command.Flags().DurationVar(&timeout, "wait", 0, "longest time to wait for all processes to reply and match")
	command.Flags().StringVar(&cond.state, "state", "", "with --wait: state to reach, such as serving")
	command.Flags().Uint64Var(&cond.revision, "revision", 0, "with --wait: revision to reach at least")
	return command
}
