package config

import (
	"fmt"
	"strings"
)

// Fault describes one invalid field of a configuration.
type Fault struct {
	// Field is the path of the field, such as services[id=7].address.
	Field string
	// Value is the offending value as text.
	Value string
	// Allowed describes the valid values of the field.
	Allowed string
}

// String returns the fault as one line.
func (f Fault) String() string {
	return fmt.Sprintf("%s: %s, must be %s", f.Field, f.Value, f.Allowed)
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

// itemPath identifies an item in the fields of faults. Its text is formatted
// only when there is a fault.
type itemPath struct {
	list  string
	index int
	label string
	key   any
}

// String returns the list name with the key of the item, or with its index when
// the key is empty.
func (p itemPath) String() string {
	if p.key == uint32(0) || p.key == "" {
		return fmt.Sprintf("%s[%d]", p.list, p.index)
	}
	return fmt.Sprintf("%s[%s=%v]", p.list, p.label, p.key)
}

// faults collects the faults of one configuration.
type faults struct {
	list []Fault
}

// unquoted is the text of a value that add does not quote, such as a byte count.
type unquoted string

func unquotedf(format string, args ...any) unquoted {
	return unquoted(fmt.Sprintf(format, args...))
}

// add records a fault. Values of type string are quoted, others are not.
func (f *faults) add(field string, value any, allowed string) {
	text := fmt.Sprint(value)
	if s, ok := value.(string); ok {
		text = fmt.Sprintf("%q", s)
	}
	f.list = append(f.list, Fault{field, text, allowed})
}

// addAt records a fault in a field of the item at p.
func (f *faults) addAt(p itemPath, field string, value any, allowed string) {
	f.add(p.String()+"."+field, value, allowed)
}

// checkRange records a fault unless low <= value <= high.
func (f *faults) checkRange(p itemPath, field string, value, low, high uint32) {
	if value < low || value > high {
		f.addAt(p, field, value, fmt.Sprintf("a number from %d to %d", low, high))
	}
}

// err returns nil when there are no faults.
func (f *faults) err() error {
	if len(f.list) == 0 {
		return nil
	}
	return &ValidationError{Faults: f.list}
}
