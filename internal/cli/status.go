package cli

import (
	"context"
	"time"

	"github.com/pkg/errors"
	"github.com/spf13/cobra"

	"github.com/peridotstall/peridotstall/internal/rpcapi"
)

// waitInterval is the interval at which status asks again while it waits.
const waitInterval = 50 * time.Millisecond

// condition is what status waits for; the zero value holds at once.
type condition struct {
	state    string
	revision uint64
}

// holds reports whether all processes answered and meet the condition.
func (c condition) holds(answers []answer[rpcapi.Status]) bool {
	for _, a := range answers {
		reached := c.state == "" || a.Reply.State == c.state
		if a.Error != "" || !reached || a.Reply.Revision < c.revision {
			return false
		}
	}
	return true
}

func statuses(ctx context.Context, addresses []string) []answer[rpcapi.Status] {
	return ask(ctx, addresses, func(ctx context.Context, p *rpcapi.Client) (rpcapi.Status, error) {
		return p.Status(ctx)
	})
}

// waitStatus asks until the condition holds or the limit is over, and returns
// the last answers and whether it held.
func waitStatus(ctx context.Context, addresses []string, until condition, limit time.Duration) ([]answer[rpcapi.Status], bool) {
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	ticker := time.NewTicker(waitInterval)
	defer ticker.Stop()
	answers := statuses(ctx, addresses)
	for !until.holds(answers) {
		select {
		case <-ctx.Done():
			return answers, false
		case <-ticker.C:
		}
		if next := statuses(ctx, addresses); ctx.Err() == nil {
			answers = next
		}
	}
	return answers, true
}

func newStatus() *cobra.Command {
	var asJSON bool
	var until condition
	var limit time.Duration
	command := &cobra.Command{
		Use:   "status ADDRESS...",
		Short: "Show the state of processes",
		Long: `Shows the state of processes, by the addresses of their operator's interfaces
(rpc_address). With --wait it asks until all of them answer and have reached the
--state and the --revision, and exits with status 1 when they have not in that time.`,
		Example: `  peridotstall status 127.0.0.1:7400 127.0.0.1:7401 --json
  peridotstall status --wait 4s --revision 17 127.0.0.1:7400 127.0.0.1:7401`,
		Args: cobra.MinimumNArgs(1),
		RunE: func(c *cobra.Command, args []string) error {
			if limit == 0 && until != (condition{}) {
				return withStatus(exitSettings, errors.New("--state and --revision need --wait"))
			}
			var answers []answer[rpcapi.Status]
			held := true
			if limit > 0 {
				answers, held = waitStatus(c.Context(), args, until, limit)
			} else {
				answers = statuses(c.Context(), args)
			}
			write := func() error { return writeStatus(c.OutOrStdout(), answers) }
			if asJSON {
				write = func() error { return writeJSON(c.OutOrStdout(), answers) }
			}
			if err := write(); err != nil {
				return err
			}
			if !held {
				return errors.Errorf("not all processes reached the state within %v", limit)
			}
			return nil
		},
	}
	command.Flags().BoolVar(&asJSON, "json", false, "print JSON")
	command.Flags().DurationVar(&limit, "wait", 0, "time for which to wait until all processes answer and match")
	command.Flags().StringVar(&until.state, "state", "", "with --wait: state to reach, such as serving")
	command.Flags().Uint64Var(&until.revision, "revision", 0, "with --wait: lowest revision to reach")
	return command
}
