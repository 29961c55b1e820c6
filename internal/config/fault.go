package config

import (
	"fmt"
	"strings"
)

// Fault is one reason for which a configuration is invalid.
type Fault struct {
	// Field is the path of the field, such as services[id=7].address.
	Field string
	// Value is the offending value as text.
	Value string
	// Allowed says what the field may hold.
	Allowed string
}

// String returns the fault as one line.
func (f Fault) String() string {
	return fmt.Sprintf("%s: %s is not allowed, must be %s", f.Field, f.Value, f.Allowed)
}

// ValidationError lists every fault of a configuration.
type ValidationError struct {
	Faults []Fault
}

// Error implements error with one line per fault.
func (e *ValidationError) Error() string {
	lines := make([]string, 0, len(e.Faults)+1)
	lines = append(lines, fmt.Sprintf("invalid configuration, %d fault(s)", len(e.Faults)))
	for _, f := range e.Faults {
		lines = append(lines, f.String())
	}
	return strings.Join(lines, "\n")
}

// place is the position of an item in its list. Its text is built only when
// there is a fault.
type place struct {
	list  string
	index int
	label string
	key   any
}

// String names the item by its key, or by its position when it has no key.
func (p place) String() string {
	if p.key == uint32(0) || p.key == "" {
		return fmt.Sprintf("%s[%d]", p.list, p.index)
	}
	return fmt.Sprintf("%s[%s=%v]", p.list, p.label, p.key)
}

// faults collects the faults of one configuration.
type faults struct {
	list []Fault
}

// figure describes a value that is not a string, such as a number of bytes.
type figure string

func figuref(format string, args ...any) figure {
	return figure(fmt.Sprintf(format, args...))
}

// add records a fault; strings are quoted, figures are not.
func (f *faults) add(field string, value any, allowed string) {
	text := fmt.Sprint(value)
	if s, ok := value.(string); ok {
		text = fmt.Sprintf("%q", s)
	}
	f.list = append(f.list, Fault{field, text, allowed})
}

func (f *faults) at(p place, field string, value any, allowed string) {
	f.add(p.String()+"."+field, value, allowed)
}

// number records a fault unless low <= value <= high.
func (f *faults) number(p place, field string, value, low, high uint32) {
	if value < low || value > high {
		f.at(p, field, value, fmt.Sprintf("a number from %d to %d", low, high))
	}
}

// err returns nil when there are no faults.
func (f *faults) err() error {
	if len(f.list) == 0 {
		return nil
	}
	return &ValidationError{Faults: f.list}
}
