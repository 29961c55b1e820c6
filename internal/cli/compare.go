package cli

import (
	"cmp"
	"context"
	"fmt"
	"io"
	"slices"
	"strings"
	"time"

	"github.com/pkg/errors"
	"github.com/spf13/cobra"

	"github.com/peridotstall/peridotstall/internal/rpcapi"
)

// comparison is the treatment of the work of one member in one class, summed over
// the queried agents and the window.
type comparison struct {
	Member    string            `json:"member"`
	Class     string            `json:"class"`
	Offered   uint64            `json:"offered"`
	Admitted  uint64            `json:"admitted"`
	Completed uint64            `json:"completed"`
	Refused   map[string]uint64 `json:"refused"`
	Flows     int               `json:"flows"`
	// Share is the member's fraction of the slot time, Policy its fraction by weight.
	Share  float64 `json:"share"`
	Policy float64 `json:"policy_share"`
	// Each quantile is the maximum over all targets, since quantiles of different
	// targets cannot be combined.
	WaitP50  time.Duration `json:"wait_p50_ns"`
	WaitP99  time.Duration `json:"wait_p99_ns"`
	RunP50   time.Duration `json:"run_p50_ns"`
	RunP99   time.Duration `json:"run_p99_ns"`
	slotTime time.Duration
	weight   uint32
}

type comparisonKey struct{ member, class string }

func newCompare() *cobra.Command {
	var asJSON bool
	var window time.Duration
	command := &cobra.Command{
		Use:   "compare AGENT...",
		Short: "Compare how the work of the members is treated",
		Long: `Compares how the given agents treat the work of each member: work offered,
admitted and refused, waiting and run times, and the share of the slot time next
to the share by policy. With --window, counts cover the window; quantiles always
cover the time since the start of the agents. Callers are not shown.`,
		Example: "  peridotstall compare --window 10s 127.0.0.1:7401 127.0.0.1:7402",
		Args:    cobra.MinimumNArgs(1),
		RunE: func(c *cobra.Command, args []string) error {
			rows, failed, err := compare(c.Context(), args, window)
			if err != nil {
				return err
			}
			if asJSON {
				return writeJSON(c.OutOrStdout(), struct {
					Rows   []*comparison `json:"rows"`
					Errors []string      `json:"errors"`
				}{rows, failed})
			}
			return writeComparison(c.OutOrStdout(), rows, failed)
		},
	}
	command.Flags().BoolVar(&asJSON, "json", false, "print JSON")
	command.Flags().DurationVar(&window, "window", 0, "time to compare over; 0 means since the start")
	return command
}

func queryTreatment(ctx context.Context, addresses []string) []result[[]rpcapi.Treatment] {
	return queryAll(ctx, addresses, func(ctx context.Context, p *rpcapi.Client) ([]rpcapi.Treatment, error) {
		return p.Treatment(ctx)
	})
}

// compare reads the counts of the agents and, if window is positive, subtracts
// those at the beginning of the window. It returns the rows and the errors of the
// agents that failed.
func compare(ctx context.Context, addresses []string, window time.Duration) ([]*comparison, []string, error) {
	before := map[string][]rpcapi.Treatment{}
	if window > 0 {
		for _, a := range queryTreatment(ctx, addresses) {
			before[a.Address] = a.Reply
		}
		timer := time.NewTimer(window)
		defer timer.Stop()
		select {
		case <-ctx.Done():
			return nil, nil, ctx.Err()
		case <-timer.C:
		}
	}
	var failed []string
	var list []rpcapi.Treatment
	for _, a := range queryTreatment(ctx, addresses) {
		if a.Error != "" {
			failed = append(failed, a.Error)
			continue
		}
		list = append(list, subtract(a.Reply, before[a.Address])...)
	}
	return aggregate(list), failed, nil
}

// subtract subtracts the counts at the beginning of the window. An agent that
// restarted within the window counts from its start.
func subtract(after, before []rpcapi.Treatment) []rpcapi.Treatment {
	for i := range after {
		a := &after[i]
		for _, b := range before {
			if b.Member != a.Member || b.Class != a.Class || b.Offered > a.Offered {
				continue
			}
			a.Offered -= b.Offered
			a.Admitted -= b.Admitted
			a.Completed -= b.Completed
			a.SlotTime -= b.SlotTime
			for kind, n := range b.Refused {
				a.Refused[kind] -= n
			}
		}
	}
	return after
}

// aggregate sums the counts of all targets by member and class.
func aggregate(list []rpcapi.Treatment) []*comparison {
	byKey := map[comparisonKey]*comparison{}
	for _, t := range list {
		key := comparisonKey{t.Member, t.Class}
		row := byKey[key]
		if row == nil {
			row = &comparison{Member: t.Member, Class: t.Class, Refused: map[string]uint64{}, weight: t.Weight}
			byKey[key] = row
		}
		row.add(t)
	}
	var rows []*comparison
	for _, row := range byKey {
		if row.Offered > 0 || row.Flows > 0 {
			rows = append(rows, row)
		}
	}
	slices.SortFunc(rows, func(a, b *comparison) int {
		return cmp.Or(cmp.Compare(a.Class, b.Class), cmp.Compare(a.Member, b.Member))
	})
	setShares(rows)
	return rows
}

func (c *comparison) add(t rpcapi.Treatment) {
	c.Offered += t.Offered
	c.Admitted += t.Admitted
	c.Completed += t.Completed
	c.Flows += t.Flows
	c.slotTime += t.SlotTime
	for kind, n := range t.Refused {
		c.Refused[kind] += n
	}
	c.WaitP50 = max(c.WaitP50, t.WaitP50)
	c.WaitP99 = max(c.WaitP99, t.WaitP99)
	c.RunP50 = max(c.RunP50, t.RunP50)
	c.RunP99 = max(c.RunP99, t.RunP99)
}

// setShares sets the fractions of the slot time and of the weights within each class.
func setShares(rows []*comparison) {
	slots := map[string]time.Duration{}
	weights := map[string]uint32{}
	for _, row := range rows {
		slots[row.Class] += row.slotTime
		weights[row.Class] += row.weight
	}
	for _, row := range rows {
		if slots[row.Class] > 0 {
			row.Share = float64(row.slotTime) / float64(slots[row.Class])
		}
		if weights[row.Class] > 0 {
			row.Policy = float64(row.weight) / float64(weights[row.Class])
		}
	}
}

func writeComparison(w io.Writer, rows []*comparison, failed []string) error {
	t := newTable(w)
	fmt.Fprintln(t, "CLASS\tMEMBER\tOFFERED\tADMITTED\tCOMPLETED\tREFUSED\tFLOWS\tSHARE\tPOLICY\tWAIT P50\tWAIT P99\tRUN P50\tRUN P99")
	for _, r := range rows {
		fmt.Fprintf(t, "%s\t%s\t%d\t%d\t%d\t%s\t%d\t%.2f\t%.2f\t%v\t%v\t%v\t%v\n", r.Class, r.Member,
			r.Offered, r.Admitted, r.Completed, formatRefusals(r.Refused), r.Flows, r.Share, r.Policy,
			r.WaitP50, r.WaitP99, r.RunP50, r.RunP99)
	}
	for _, text := range failed {
		fmt.Fprintf(t, "error: %s\n", text)
	}
	return errors.Wrap(t.Flush(), "write table")
}

func formatRefusals(counts map[string]uint64) string {
	var parts []string
	for kind, n := range counts {
		if n > 0 {
			parts = append(parts, fmt.Sprintf("%s=%d", strings.TrimPrefix(kind, "REFUSED_"), n))
		}
	}
	if len(parts) == 0 {
		return "-"
	}
	slices.Sort(parts)
	return strings.Join(parts, ",")
}
