package caller

import (
	"github.com/peridotstall/peridotstall/internal/errkind"
	"github.com/peridotstall/peridotstall/internal/schema"
)

// Kind is an entry of the closed list of reasons for which work is not done as
// asked.
type Kind int32

// The kinds, as in the schema of the system.
const (
	RefusedOverload    = Kind(schema.ErrorKind_REFUSED_OVERLOAD)
	RefusedDeadline    = Kind(schema.ErrorKind_REFUSED_DEADLINE)
	RefusedDraining    = Kind(schema.ErrorKind_REFUSED_DRAINING)
	RefusedNoTarget    = Kind(schema.ErrorKind_REFUSED_NO_TARGET)
	RefusedBackendDown = Kind(schema.ErrorKind_REFUSED_BACKEND_DOWN)
	UnknownService     = Kind(schema.ErrorKind_UNKNOWN_SERVICE)
	WrongService       = Kind(schema.ErrorKind_WRONG_SERVICE)
	OfferExpired       = Kind(schema.ErrorKind_OFFER_EXPIRED)
	TooOld             = Kind(schema.ErrorKind_TOO_OLD)
	CancelledNotRun    = Kind(schema.ErrorKind_CANCELLED_NOT_RUN)
	UnknownOutcome     = Kind(schema.ErrorKind_UNKNOWN_OUTCOME)
	UnknownFlow        = Kind(schema.ErrorKind_UNKNOWN_FLOW)
	DeadlineExceeded   = Kind(schema.ErrorKind_DEADLINE_EXCEEDED)
	Cancelled          = Kind(schema.ErrorKind_CANCELLED)
	FlowSilent         = Kind(schema.ErrorKind_FLOW_SILENT)
	BackendFailed      = Kind(schema.ErrorKind_BACKEND_FAILED)
	BackendShed        = Kind(schema.ErrorKind_BACKEND_SHED)
	Malformed          = Kind(schema.ErrorKind_MALFORMED)
	TooLarge           = Kind(schema.ErrorKind_TOO_LARGE)
	Internal           = Kind(schema.ErrorKind_INTERNAL)
)

// String returns the name of the kind.
func (k Kind) String() string {
	return schema.ErrorKind(k).String()
}

// Error is the error of every request and session.
type Error struct {
	// Kind is the reason.
	Kind Kind
	// Detail names the rule and the figures that decided.
	Detail string

	cause error
}

func newError(err *errkind.Error) *Error {
	return &Error{Kind: Kind(err.Kind), Detail: err.Detail}
}

// Error implements error.
func (e *Error) Error() string {
	kind := schema.ErrorKind(e.Kind)
	return (&errkind.Error{Kind: kind, Detail: e.Detail}).Error()
}

// Unwrap returns the error of the context, if it ended the call.
func (e *Error) Unwrap() error {
	return e.cause
}

// NotRun reports whether the request is known not to have run and never to run.
// When it is false, the request may have run.
func (e *Error) NotRun() bool {
	return errkind.Lookup(schema.ErrorKind(e.Kind)).Ran == errkind.RanNo
}
