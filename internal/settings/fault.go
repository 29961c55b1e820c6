package settings

import (
	"fmt"
	"strings"
)

// Fault describes one invalid key of a settings file.
type Fault struct {
	File string
	// Key is the path of the key, such as common.zone. It is empty when the fault
	// concerns the whole file.
	Key string
	// Line is the line of the value, or zero when it is unknown.
	Line int
	// Value is the offending value as text.
	Value string
	// Allowed describes the valid values of the key.
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
	return fmt.Sprintf("%s: %s, must be %s", position, f.Value, f.Allowed)
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

// maxValueLength bounds the text of a value in a fault, in bytes.
const maxValueLength = 80

// formatValue returns a value of the file as text, with strings quoted and long
// texts cut off.
func formatValue(value any) string {
	text := fmt.Sprint(value)
	if s, ok := value.(string); ok {
		text = fmt.Sprintf("%q", s)
	}
	if len(text) > maxValueLength {
		text = text[:maxValueLength] + "..."
	}
	return text
}

func textf(format string, args ...any) string { return fmt.Sprintf(format, args...) }
