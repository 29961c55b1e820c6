// Package errkind defines the error kinds with which work can fail, with the
// conclusions that a caller may draw from each. The list is closed.
package errkind

import (
	"fmt"

	"github.com/peridotstall/peridotstall/internal/schema"
)

// Execution is what is known about the execution of work at a backend server.
type Execution int

// Values of Execution.
const (
	// RanNo means that the work was not sent to a backend server and will not
	// be.
	RanNo Execution = iota
	// RanUnknown means that the work may have run.
	RanUnknown
	// RanYes means that a backend server ran the work.
	RanYes
)

// String returns the text used in messages and in the output of commands.
func (e Execution) String() string {
	switch e {
	case RanNo:
		return "not run"
	case RanYes:
		return "ran"
	default:
		return "unknown"
	}
}

// Info is the meaning of an error kind.
type Info struct {
	// Text is the human-readable message.
	Text string
	// Ran is what is known about the execution of the work.
	Ran Execution
	// RetryElsewhere is set if another target may be tried, even if the work is
	// not idempotent.
	RetryElsewhere bool
}

var infos = map[schema.ErrorKind]Info{
	schema.ErrorKind_REFUSED_OVERLOAD:     {"refused, not run: no room in the queue", RanNo, true},
	schema.ErrorKind_REFUSED_DEADLINE:     {"refused, not run: the expected wait passes the deadline", RanNo, true},
	schema.ErrorKind_REFUSED_DRAINING:     {"refused, not run: the target is draining", RanNo, true},
	schema.ErrorKind_REFUSED_NO_TARGET:    {"refused, not run: the service has no usable target", RanNo, false},
	schema.ErrorKind_REFUSED_BACKEND_DOWN: {"refused, not run: the backend server accepts no connection", RanNo, true},
	schema.ErrorKind_UNKNOWN_SERVICE:      {"refused, not run: no such service", RanNo, false},
	schema.ErrorKind_WRONG_SERVICE:        {"refused, not run: the target does not serve this service", RanNo, true},
	schema.ErrorKind_OFFER_EXPIRED:        {"refused, not run: the offer expired before the request was complete", RanNo, true},
	schema.ErrorKind_TOO_OLD:              {"refused, not run: the packet was too old", RanNo, true},
	schema.ErrorKind_CANCELLED_NOT_RUN:    {"cancelled before it ran", RanNo, false},
	schema.ErrorKind_UNKNOWN_OUTCOME:      {"unknown outcome: the owner of the request is gone or does not answer", RanUnknown, false},
	schema.ErrorKind_UNKNOWN_FLOW:         {"the flow is not known to any target", RanUnknown, false},
	schema.ErrorKind_DEADLINE_EXCEEDED:    {"the deadline passed; the request may have run", RanUnknown, false},
	schema.ErrorKind_CANCELLED:            {"cancelled; the request may have run", RanUnknown, false},
	schema.ErrorKind_FLOW_SILENT:          {"the flow is silent: the other end does not answer", RanUnknown, false},
	schema.ErrorKind_BACKEND_FAILED:       {"the backend server failed", RanUnknown, false},
	schema.ErrorKind_BACKEND_SHED:         {"the backend server shed the request", RanUnknown, false},
	schema.ErrorKind_MALFORMED:            {"refused, not run: malformed packet", RanNo, false},
	schema.ErrorKind_TOO_LARGE:            {"refused, not run: too large", RanNo, false},
	schema.ErrorKind_INTERNAL:             {"internal error", RanUnknown, false},
}

// Lookup returns the meaning of a kind. A kind outside the list is treated as
// INTERNAL, since nothing is known about the work.
func Lookup(kind schema.ErrorKind) Info {
	if info, ok := infos[kind]; ok {
		return info
	}
	return infos[schema.ErrorKind_INTERNAL]
}

// Error is an error of one of the listed kinds.
type Error struct {
	// Kind is the error kind.
	Kind schema.ErrorKind
	// Detail names the rule that applied and the figures it was based on.
	Detail string
}

// New returns an error of a kind. The detail is formatted as by fmt.Sprintf.
func New(kind schema.ErrorKind, format string, args ...any) *Error {
	return &Error{Kind: kind, Detail: fmt.Sprintf(format, args...)}
}

// Error returns the text of the kind, followed by the detail in parentheses.
func (e *Error) Error() string {
	text := Lookup(e.Kind).Text
	if e.Detail == "" {
		return text
	}
	return text + " (" + e.Detail + ")"
}

// NotRun reports whether it is certain that the work did not run.
func (e *Error) NotRun() bool {
	return Lookup(e.Kind).Ran == RanNo
}
