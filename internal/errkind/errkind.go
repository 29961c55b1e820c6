// Package errkind holds the closed list of reasons for which work is not done
// as asked, with what each reason tells the caller.
package errkind

import (
	"fmt"

	"github.com/peridotstall/peridotstall/internal/schema"
)

// Ran says whether the work may have reached a backend server.
type Ran int

// Values of Ran.
const (
	// RanNo means that the work was never handed to a backend server and never will be.
	RanNo Ran = iota
	// RanUnknown means that the work may have run.
	RanUnknown
	// RanYes means that a backend server worked on it.
	RanYes
)

// String returns the word used in answers and tables.
func (r Ran) String() string {
	switch r {
	case RanNo:
		return "not run"
	case RanYes:
		return "ran"
	default:
		return "unknown"
	}
}

// Answer is what a caller may conclude from a kind.
type Answer struct {
	// Text is the message for people.
	Text string
	// Ran says whether the work may have run.
	Ran Ran
	// RetryElsewhere allows another attempt at another target, whether the
	// work is idempotent or not.
	RetryElsewhere bool
}

var table = map[schema.ErrorKind]Answer{
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

// Lookup returns the answer of a kind. A kind outside the list is treated as
// INTERNAL, since nothing is known about the work.
func Lookup(kind schema.ErrorKind) Answer {
	if answer, ok := table[kind]; ok {
		return answer
	}
	return table[schema.ErrorKind_INTERNAL]
}

// Error is an error of the closed list.
type Error struct {
	// Kind is the entry of the list.
	Kind schema.ErrorKind
	// Detail names the rule and the figures that decided.
	Detail string
}

// New returns an error of a kind with a formatted detail.
func New(kind schema.ErrorKind, format string, args ...any) *Error {
	return &Error{Kind: kind, Detail: fmt.Sprintf(format, args...)}
}

// Error implements error.
func (e *Error) Error() string {
	text := Lookup(e.Kind).Text
	if e.Detail == "" {
		return text
	}
	return text + " (" + e.Detail + ")"
}

// NotRun reports whether the work is known not to have run.
func (e *Error) NotRun() bool {
	return Lookup(e.Kind).Ran == RanNo
}
