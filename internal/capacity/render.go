package capacity

import (
	"fmt"
	"math"
	"strings"
)

// Text returns the report as Markdown tables.
func (r *Report) Text() string {
	return "Size\n\n" + r.sizeTable() + "\nCost of one process\n\n" + r.lineTables() + "\nSums\n\n" + r.sumTable() +
		"\nOne day\n\n" + r.dayTable() + "\nDoes not reach the size\n\n" + r.limitList()
}

func (r *Report) sizeTable() string {
	var b strings.Builder
	b.WriteString("| Key | Value |\n|---|---|\n")
	for _, f := range r.Size.fields() {
		fmt.Fprintf(&b, "| %s | %s |\n", f.key, grouped(float64(*f.value)))
	}
	return b.String()
}

var scopeNames = map[Scope]string{
	Control: "Control, continuous",
	Peak:    "Peaks of seconds, in addition",
	Callers: "Packets and flows of callers, not control",
}

// lineTables returns a table for each role and scope that has lines.
func (r *Report) lineTables() string {
	var b strings.Builder
	for _, role := range []Role{Balancer, Agent, Reader, OperatorTools} {
		name := strings.ToUpper(string(role[:1])) + string(role[1:])
		if role == Reader {
			name += " (in addition to its role)"
		}
		fmt.Fprintf(&b, "### %s\n\n", name)
		for _, scope := range []Scope{Control, Peak, Callers} {
			if lines := r.selectLines(role, scope); len(lines) > 0 {
				fmt.Fprintf(&b, "%s:\n\n%s\n", scopeNames[scope], lineTable(lines))
			}
		}
	}
	return b.String()
}

func (r *Report) selectLines(role Role, scope Scope) []Line {
	var out []Line
	for _, l := range r.Lines {
		if l.Role == role && l.Scope == scope {
			out = append(out, l)
		}
	}
	return out
}

func lineTable(lines []Line) string {
	var b strings.Builder
	b.WriteString("| Line | State | Messages/s | Bytes/s | Processor | Memory | Fleet's reads/s | Carried by | Basis | Reaches the size |\n")
	b.WriteString("|---|---|---|---|---|---|---|---|---|---|\n")
	for _, l := range lines {
		reaches := "yes"
		if l.Limit != "" {
			reaches = "no: " + l.Limit
		}
		fmt.Fprintf(&b, "| %s | %s | %s | %s | %s | %s | %s | %s | %s | %s |\n", l.Item, textOrDash(l.State), figure(l.Messages),
			amount(l.Bytes, "B"), percent(l.Processor), amount(l.Memory, "B"), figure(l.Reads), l.Mechanism, l.Basis, reaches)
	}
	return b.String()
}

func (r *Report) sumTable() string {
	var b strings.Builder
	b.WriteString("| Control overhead of | Messages/s | Bytes/s | Processor | Live heap | Resident memory |\n|---|---|---|---|---|---|\n")
	for _, s := range r.Sums {
		fmt.Fprintf(&b, "| %s | %s | %s | %s | %s | %s |\n", s.Name, figure(s.Messages), amount(s.Bytes, "B"), percent(s.Processor), amount(s.Memory, "B"), amount(s.Resident, "B"))
		v := s.Reserves()
		fmt.Fprintf(&b, "| reserve against the budget of a node | | %s | %s | %s | %s |\n", reserve(v.Bytes), reserve(v.Processor), reserve(v.Memory), reserve(v.Resident))
	}
	fmt.Fprintf(&b, "\nReads at the configuration service: %s of %s calls/s, reserve %s.\n", figure(r.Reads), grouped(budgetReads), reserve(1-r.Reads/budgetReads))
	return b.String()
}

func (r *Report) dayTable() string {
	var b strings.Builder
	b.WriteString("| Event | Processes | Bytes at each other process | Known everywhere after at least | Processor at a balancer | What happens |\n|---|---|---|---|---|---|\n")
	for _, e := range r.Day {
		fmt.Fprintf(&b, "| %s | %s | %s | %s | %s | %s |\n", e.Name, grouped(math.Round(e.Processes)), amount(e.Bytes, "B"), duration(e.Seconds), percent(e.Processor), e.Effect)
	}
	return b.String()
}

// limitList lists the exceeded budgets, followed by the limits of lines and events.
func (r *Report) limitList() string {
	var b strings.Builder
	for _, s := range r.Sums {
		v := s.Reserves()
		for _, x := range []struct {
			name    string
			reserve float64
		}{{"bytes/s", v.Bytes}, {"processor time", v.Processor}, {"live heap", v.Memory}, {"resident memory", v.Resident}} {
			if x.reserve < 0 {
				fmt.Fprintf(&b, "- Sum, %s: %s %.1f times the budget of a node.\n", s.Name, x.name, 1-x.reserve)
			}
		}
	}
	if r.Reads > budgetReads {
		fmt.Fprintf(&b, "- Sum: %s.\n", excessReads(r.Reads))
	}
	for _, l := range r.Lines {
		if l.Limit != "" {
			fmt.Fprintf(&b, "- %s, %s (%s): %s.\n", l.Role, l.Item, l.Basis, l.Limit)
		}
	}
	for _, e := range r.Day {
		if e.Limit != "" {
			fmt.Fprintf(&b, "- Day, %s: %s.\n", e.Name, e.Limit)
		}
	}
	if b.Len() == 0 {
		return "Nothing at this size.\n"
	}
	return b.String()
}

func textOrDash(s string) string {
	if s == "" {
		return "-"
	}
	return s
}

// figure formats a number: two decimals below 10, one below 100, whole above.
func figure(v float64) string {
	switch {
	case v == 0:
		return "-"
	case v < 0.01:
		return "< 0.01"
	case v < 10:
		return fmt.Sprintf("%.2f", v)
	case v < 100:
		return fmt.Sprintf("%.1f", v)
	default:
		return grouped(math.Round(v))
	}
}

// grouped formats a whole number with commas.
func grouped(v float64) string {
	digits := fmt.Sprintf("%.0f", v)
	for i := len(digits) - 3; i > 0; i -= 3 {
		digits = digits[:i] + "," + digits[i:]
	}
	return digits
}

// amount formats a number of bytes in decimal units.
func amount(v float64, unit string) string {
	switch {
	case v == 0:
		return "-"
	case v < 1:
		return "< 1 " + unit
	case v < 1e3:
		return fmt.Sprintf("%.0f %s", v, unit)
	case v < 1e6:
		return fmt.Sprintf("%.1f k%s", v/1e3, unit)
	case v < 1e9:
		return fmt.Sprintf("%.1f M%s", v/1e6, unit)
	default:
		return fmt.Sprintf("%.1f G%s", v/1e9, unit)
	}
}

// percent formats a share as a percentage.
func percent(v float64) string {
	switch {
	case v == 0:
		return "-"
	case v < 0.0001:
		return "< 0.01%"
	default:
		return fmt.Sprintf("%.2f%%", 100*v)
	}
}

// reserve formats the remaining share of a budget, negative when it is exceeded.
func reserve(v float64) string { return fmt.Sprintf("%.0f%%", 100*v) }

func duration(seconds float64) string {
	switch {
	case seconds == 0:
		return "-"
	case seconds < 1e-3:
		return fmt.Sprintf("%.0f us", seconds*1e6)
	case seconds < 1:
		return fmt.Sprintf("%.1f ms", seconds*1e3)
	default:
		return fmt.Sprintf("%.1f s", seconds)
	}
}
