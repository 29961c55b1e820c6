package settings

import (
	"fmt"
	"strings"
)

// Fault is one reason for which a settings file is invalid.
type Fault struct {
	File string
	// Key is the path of the key, such as common.zone.
	Key string
	// Line is zero when it is not known.
	Line int
	// Value is the offending value as text.
	Value string
	// Allowed says what the key may hold.
	Allowed string
}

// String returns the fault as one line.
func (f Fault) String() string {
	position := f.File
	if f.Line > 0 {
		position = fmt.Sprintf("%s:%d", f.File, f.Line)
	}
	if f.Key != "" {
		position += ": " + f.Key
	}
	return fmt.Sprintf("%s: %s is not allowed, must be %s", position, f.Value, f.Allowed)
}

// Error lists every fault of a settings file.
type Error struct {
	Faults []Fault
}

// Error implements error with one line per fault.
func (e *Error) Error() string {
	lines := []string{fmt.Sprintf("invalid settings, %d fault(s)", len(e.Faults))}
	for _, f := range e.Faults {
		lines = append(lines, f.String())
	}
	return strings.Join(lines, "\n")
}

// maxShown bounds the text of a value in a fault.
const maxShown = 80

// show returns a value of the file as text.
func show(value any) string {
	text := fmt.Sprint(value)
	if s, ok := value.(string); ok {
		text = fmt.Sprintf("%q", s)
	}
	if len(text) > maxShown {
		text = text[:maxShown] + "..."
	}
	return text
}

func figuref(format string, args ...any) string { return fmt.Sprintf(format, args...) }
