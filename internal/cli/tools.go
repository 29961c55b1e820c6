package cli

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/netip"
	"os"
	"sync"
	"text/tabwriter"
	"time"

	"github.com/pkg/errors"
	"github.com/spf13/cobra"

	"github.com/peridotstall/peridotstall/internal/explainlog"
	"github.com/peridotstall/peridotstall/internal/rpcapi"
)

// callTimeout limits the connection to one process and the call.
const callTimeout = 2 * time.Second

// result is the reply of one process or the error of the call.
type result[T any] struct {
	Address string `json:"address"`
	Error   string `json:"error,omitempty"`
	Reply   T      `json:"reply"`
}

// queryAll calls all processes concurrently. The results have the order of
// addresses; the result of a process that does not reply has an error.
func queryAll[T any](ctx context.Context, addresses []string, call func(context.Context, *rpcapi.Client) (T, error)) []result[T] {
	results := make([]result[T], len(addresses))
	var wg sync.WaitGroup
	for i, address := range addresses {
		wg.Go(func() { results[i] = queryOne(ctx, address, call) })
	}
	wg.Wait()
	return results
}

func queryOne[T any](ctx context.Context, address string, call func(context.Context, *rpcapi.Client) (T, error)) result[T] {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	r := result[T]{Address: address}
	client, err := rpcapi.Dial(ctx, address)
	if err != nil {
		r.Error = err.Error()
		return r
	}
	defer client.Close()
	reply, err := call(ctx, client)
	if err != nil {
		r.Error = err.Error()
		return r
	}
	r.Reply = reply
	return r
}

func writeJSON(w io.Writer, v any) error {
	encoder := json.NewEncoder(w)
	encoder.SetIndent("", "  ")
	return errors.Wrap(encoder.Encode(v), "write JSON")
}

func newTable(w io.Writer) *tabwriter.Writer {
	return tabwriter.NewWriter(w, 0, 4, 2, ' ', 0)
}

func writeStatus(w io.Writer, results []result[rpcapi.Status]) error {
	t := newTable(w)
	fmt.Fprintln(t, "ADDRESS\tROLE\tHOST\tZONE\tSTATE\tREVISION\tAGE\tFLOWS\tREQUESTS\tQUEUED\tSLOTS\tDIRECTORY")
	for _, r := range results {
		s := r.Reply
		if r.Error != "" {
			fmt.Fprintf(t, "%s\terror: %s\n", r.Address, r.Error)
			continue
		}
		state := s.State
		if s.LinkDoubted {
			state += " (link doubted)"
		}
		fmt.Fprintf(t, "%s\t%s\t%s\t%s\t%s\t%d\t%v\t%d\t%d\t%d\t%d\t%d\n", r.Address, s.Role, s.Host, s.Zone,
			state, s.Revision, s.ConfigAge.Round(time.Second), s.Flows, s.Requests, s.Queued, s.Slots, s.DirectoryEntries)
	}
	return errors.Wrap(t.Flush(), "write table")
}

func newExplain() *cobra.Command {
	var asJSON bool
	var service, caller string
	var logs []string
	command := &cobra.Command{
		Use:   "explain {--service ADDRESS --caller ADDRESS PROCESS... | --logs FILES REQUEST}",
		Short: "Show where packets of a flow go and why",
		Long: `Show where packets of a flow go and why.

Given addresses of processes, it queries them for the decision that they would
take now. With --logs, it reads log files of processes of the segment mode and
prints the decisions on a request and the views of the processes involved.
REQUEST is the identifier of the request or its flow, "caller>service".`,
		Example: `  peridotstall explain --service 192.0.2.1:7000 --caller 198.51.100.7:40000 127.0.0.1:7400
  peridotstall explain --logs balancer1.log,agent1.log d36080418916bf02`,
		Args: cobra.MinimumNArgs(1),
		RunE: func(c *cobra.Command, args []string) error {
			if len(logs) > 0 {
				return explainLogs(c.OutOrStdout(), logs, args)
			}
			query, err := flowQuery(service, caller)
			if err != nil {
				return withExitStatus(exitInvalid, err)
			}
			results := queryAll(c.Context(), args, func(ctx context.Context, p *rpcapi.Client) (rpcapi.Explanation, error) {
				return p.Explain(ctx, query)
			})
			if asJSON {
				return writeJSON(c.OutOrStdout(), results)
			}
			return writeExplanations(c.OutOrStdout(), results)
		},
	}
	command.Flags().BoolVar(&asJSON, "json", false, "print JSON")
	command.Flags().StringVar(&service, "service", "", "service address and port, as published")
	command.Flags().StringVar(&caller, "caller", "", "caller address and port")
	command.Flags().StringSliceVar(&logs, "logs", nil, "log files of processes, separated by commas")
	return command
}

// explainLogs prints the decisions on requests that the log files contain.
func explainLogs(w io.Writer, files, requests []string) error {
	var lines []explainlog.Line
	for _, name := range files {
		file, err := os.Open(name)
		if err != nil {
			return withExitStatus(exitInvalid, errors.Wrap(err, "--logs"))
		}
		parsed, _, err := explainlog.Read(file)
		file.Close()
		if err != nil {
			return errors.Wrap(err, name)
		}
		lines = append(lines, parsed...)
	}
	for _, request := range requests {
		explanation, err := explainlog.Explain(lines, request)
		if err != nil {
			return err
		}
		if err := explanation.Write(w); err != nil {
			return err
		}
	}
	return nil
}

func flowQuery(service, caller string) (rpcapi.FlowQuery, error) {
	var query rpcapi.FlowQuery
	var err error
	if query.Service, err = netip.ParseAddrPort(service); err != nil {
		return query, errors.Wrapf(err, "--service %q", service)
	}
	if query.Caller, err = netip.ParseAddrPort(caller); err != nil {
		return query, errors.Wrapf(err, "--caller %q", caller)
	}
	return query, nil
}

func writeExplanations(w io.Writer, results []result[rpcapi.Explanation]) error {
	t := newTable(w)
	fmt.Fprintln(t, "PROCESS\tREVISION\tSERVICE\tCANDIDATES\tRULE")
	for _, res := range results {
		if res.Error != "" {
			fmt.Fprintf(t, "%s\terror: %s\n", res.Address, res.Error)
			continue
		}
		e := res.Reply
		fmt.Fprintf(t, "%s\t%d\t%s\t%s\t%s\n", e.Process, e.Revision, e.Service, formatCandidates(e.Candidates), e.Reason)
		for _, r := range e.Refusals {
			fmt.Fprintf(t, "\t\t\t%s\t%s %s\n", r.At.Format(time.RFC3339), r.Kind, r.Detail)
		}
	}
	return errors.Wrap(t.Flush(), "write table")
}

// formatCandidates lists the targets in candidate order. A target that gets no new
// flows is in parentheses.
func formatCandidates(list []rpcapi.Candidate) string {
	text := ""
	for i, c := range list {
		if i > 0 {
			text += " "
		}
		if c.Usable {
			text += fmt.Sprintf("%d", c.Target)
		} else {
			text += fmt.Sprintf("(%d)", c.Target)
		}
	}
	return text
}
