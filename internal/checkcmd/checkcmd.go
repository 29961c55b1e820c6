// Package checkcmd implements the command "peridotstall check", which validates
// settings and configuration files without starting a process.
package checkcmd

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"time"

	"github.com/pkg/errors"
	"github.com/spf13/cobra"

	"github.com/peridotstall/peridotstall/internal/config"
	"github.com/peridotstall/peridotstall/internal/schema"
	"github.com/peridotstall/peridotstall/internal/settings"
)

// Kinds of files in the output.
const (
	kindConfiguration = "configuration"
	kindBalancer      = "balancer settings"
	kindAgent         = "agent settings"
)

// fault is one fault of a file, in the text and JSON forms of the output.
type fault struct {
	Field   string `json:"field,omitempty"`
	Line    int    `json:"line,omitempty"`
	Value   string `json:"value"`
	Allowed string `json:"allowed"`
}

// result is the outcome of checking one file.
type result struct {
	File     string               `json:"file"`
	Kind     string               `json:"kind"`
	Revision uint64               `json:"revision,omitempty"`
	Valid    bool                 `json:"valid"`
	Faults   []fault              `json:"faults,omitempty"`
	Impact   *config.ImpactReport `json:"impact,omitempty"`
}

// NewCommand returns the check command.
func NewCommand() *cobra.Command {
	var against string
	var asJSON bool
	cmd := &cobra.Command{
		Use:   "check FILE...",
		Short: "Validate settings (TOML) and configuration (JSON) files",
		Long: `Validate settings (TOML) and configuration (JSON) files and print every fault.
The exit status is not zero when a file is invalid.

With --against, configuration files are also checked as successors of an earlier
configuration, and the impact of the change is printed: services and targets that
are added, removed or changed, and the services of each policy.`,
		Args:         cobra.MinimumNArgs(1),
		SilenceUsage: true,
		RunE: func(cmd *cobra.Command, files []string) error {
			return run(cmd.OutOrStdout(), files, against, asJSON)
		},
	}
	cmd.Flags().StringVar(&against, "against", "", "earlier configuration (JSON) to compare with")
	cmd.Flags().BoolVar(&asJSON, "json", false, "print the result as JSON")
	return cmd
}

func run(out io.Writer, files []string, against string, asJSON bool) error {
	old, err := readEarlier(against)
	if err != nil {
		return err
	}
	var results []result
	invalid := 0
	for _, file := range files {
		r, err := check(file, old)
		if err != nil {
			return err
		}
		r.Valid = len(r.Faults) == 0
		if !r.Valid {
			invalid++
		}
		results = append(results, r)
	}
	if err := report(out, results, asJSON); err != nil {
		return err
	}
	if invalid > 0 {
		return errors.Errorf("%d of %d files are invalid", invalid, len(files))
	}
	return nil
}

// readEarlier reads and validates the earlier configuration. It returns nil when
// file is empty.
func readEarlier(file string) (*schema.Config, error) {
	if file == "" {
		return nil, nil
	}
	data, err := os.ReadFile(file)
	if err != nil {
		return nil, errors.Wrap(err, "earlier configuration")
	}
	old, err := config.Parse(data)
	if err != nil {
		return nil, errors.Wrapf(err, "earlier configuration %s", file)
	}
	if _, err := config.NewSnapshot(old); err != nil {
		return nil, errors.Wrapf(err, "earlier configuration %s", file)
	}
	return old, nil
}

func check(file string, old *schema.Config) (result, error) {
	data, err := os.ReadFile(file)
	if err != nil {
		return result{}, errors.Wrap(err, "check")
	}
	if isConfiguration(file, data) {
		return checkConfiguration(file, data, old), nil
	}
	return checkSettings(file, data)
}

// isConfiguration reports whether a file holds a configuration rather than
// settings. A TOML file cannot begin with a brace; the file name decides when the
// beginning of a JSON file is damaged.
func isConfiguration(file string, data []byte) bool {
	return bytes.HasPrefix(bytes.TrimSpace(data), []byte("{")) || filepath.Ext(file) == ".json"
}

func checkSettings(file string, data []byte) (result, error) {
	r := result{File: file, Kind: kindBalancer}
	var err error
	if settings.Detect(data) == schema.Role_AGENT {
		r.Kind = kindAgent
		_, err = settings.LoadAgent(file)
	} else {
		_, err = settings.LoadBalancer(file)
	}
	var list *settings.Error
	if err != nil && !errors.As(err, &list) {
		return result{}, err
	}
	if list != nil {
		for _, f := range list.Faults {
			r.Faults = append(r.Faults, fault{f.Key, f.Line, f.Value, f.Allowed})
		}
	}
	return r, nil
}

func checkConfiguration(file string, data []byte, old *schema.Config) result {
	r := result{File: file, Kind: kindConfiguration}
	c, err := config.Parse(data)
	if err != nil {
		r.Faults = []fault{{Value: err.Error(), Allowed: "one configuration in the JSON form of the schema"}}
		return r
	}
	r.Revision = c.GetRevision()
	// A store applies the same rules as a running process, including those for IDs
	// and revisions.
	store := config.NewStore(time.Hour)
	var now time.Time
	if old == nil {
		_, err := store.Offer(now, c)
		r.Faults = faultsOf(err)
		return r
	}
	// Offer cannot fail here: readEarlier validated the configuration.
	_, _ = store.Offer(now, old)
	earlier := store.Current()
	next, invalid := config.NewSnapshot(c)
	decision, err := store.Offer(now, c)
	if decision == config.Lower || decision == config.Conflict {
		r.Faults = append(r.Faults, revisionFault(c, old))
		err = invalid
	}
	r.Faults = append(r.Faults, faultsOf(err)...)
	if invalid == nil {
		r.Impact = config.Impact(earlier, next)
	}
	return r
}

// revisionFault returns the fault of a configuration whose revision running
// processes would reject.
func revisionFault(c, old *schema.Config) fault {
	return fault{
		Field:   "revision",
		Value:   fmt.Sprint(c.GetRevision()),
		Allowed: fmt.Sprintf("above %d, the revision of the earlier configuration", old.GetRevision()),
	}
}

// faultsOf returns the faults of a *config.ValidationError, or nil for any other
// error.
func faultsOf(err error) []fault {
	var list *config.ValidationError
	if !errors.As(err, &list) {
		return nil
	}
	var out []fault
	for _, f := range list.Faults {
		out = append(out, fault{Field: f.Field, Value: f.Value, Allowed: f.Allowed})
	}
	return out
}

func report(out io.Writer, results []result, asJSON bool) error {
	if asJSON {
		encoder := json.NewEncoder(out)
		encoder.SetIndent("", "  ")
		return errors.Wrap(encoder.Encode(results), "print result")
	}
	for _, r := range results {
		reportText(out, r)
	}
	return nil
}

func reportText(out io.Writer, r result) {
	if r.Valid {
		fmt.Fprintf(out, "%s: valid %s\n", r.File, r.Kind)
	} else {
		fmt.Fprintf(out, "%s: invalid %s, %d fault(s)\n", r.File, r.Kind, len(r.Faults))
	}
	for _, f := range r.Faults {
		fmt.Fprintln(out, f.text(r.File))
	}
	if r.Impact != nil {
		fmt.Fprint(out, r.Impact)
	}
}

func (f fault) text(file string) string {
	position := file
	if f.Line > 0 {
		position = fmt.Sprintf("%s:%d", file, f.Line)
	}
	if f.Field != "" {
		position += ": " + f.Field
	}
	return fmt.Sprintf("%s: %s, must be %s", position, f.Value, f.Allowed)
}
