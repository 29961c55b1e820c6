package loadmodel

import (
	"fmt"
	"io"
	"text/tabwriter"
)

// Mechanism is a mechanism that can be switched off.
type Mechanism struct {
	Name    string
	disable func(*Config)
}

// unlimitedReturns is above the number of targets of any pattern.
const unlimitedReturns = 1 << 10

// Mechanisms returns the mechanisms of admission and choice.
func Mechanisms() []Mechanism {
	return []Mechanism{
		{"admission by time", func(c *Config) { c.Admission.ByTime = false }},
		{"late openings to free slots only", func(c *Config) { c.Admission.LateToFreeSlots = false }},
		{"admission level", func(c *Config) { c.Admission.Level = false }},
		{"learnt shed limit", func(c *Config) { c.Admission.LearnShed = false }},
		{"bounded busy returns", func(c *Config) { c.Choice.MaxBusyReturns = unlimitedReturns }},
		{"refusal by reports", func(c *Config) { c.Choice.TrustReports = false }},
		{"openings that wait", func(c *Config) { c.Admission.Wait, c.Choice.Wait = false, false }},
		{"openings expire by round trips", func(c *Config) { c.Admission.MeasuredOpenings = false }},
		{"choice by service time", func(c *Config) { c.Choice.ByServiceTime = false }},
	}
}

// Without returns the configuration with a mechanism switched off.
func (c Config) Without(m Mechanism) Config {
	m.disable(&c)
	return c
}

// RunSeeds returns the sum of the results of a configuration over seeds 1 to count.
func RunSeeds(p Pattern, count int, change func(*Config)) Result {
	var sum Result
	for seed := range count {
		c := p.Config(uint64(seed + 1))
		if change != nil {
			change(&c)
		}
		sum.merge(Run(c))
	}
	return sum
}

// WriteAblation writes a table of a pattern with the best possible, all mechanisms and
// without each. Change, if not nil, changes the configuration of all rows.
func WriteAblation(out io.Writer, p Pattern, seeds int, change func(*Config)) error {
	table := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	c := p.Config(1)
	if change != nil {
		change(&c)
	}
	fmt.Fprintf(table, "%s: %s; %d seeds, offered %.0f/s, capacity %.0f/s\n", p.Name, p.Load, seeds, c.Offered(), c.Capacity())
	fmt.Fprintln(table, "without\tclass\tin time\tlate\tfailed\tworth\trefused at once\trefused late\tpasses\tshed")
	write := func(name string, r Result) {
		for _, class := range append(r.Classes, r.Total()) {
			fmt.Fprintf(table, "%s\t%s\t%.3f\t%.3f\t%.4f\t%.3f\t%.3f\t%.3f\t%.2f\t%d\n", name, class.Name, class.InTimeShare(),
				class.share(class.Late), class.FailedShare(), class.WorthShare(),
				class.share(class.RefusedAtOnce), class.share(class.RefusedLate), r.PassesPerOpening(), r.Shed)
		}
	}
	best := BestOfSeeds(p, seeds, change)
	fmt.Fprintf(table, "(best)\tall\t%.3f\t\t%.4f\t%.3f\t\t\t\t\n", best.InTimeShare(), best.FailedShare(), best.WorthShare())
	write("(none)", RunSeeds(p, seeds, change))
	for _, m := range Mechanisms() {
		write(m.Name, RunSeeds(p, seeds, func(c *Config) {
			if change != nil {
				change(c)
			}
			m.disable(c)
		}))
	}
	return table.Flush()
}
