package caller

import (
	"github.com/peridotstall/peridotstall/internal/errkind"
	"github.com/peridotstall/peridotstall/internal/schema"
)

// Kind is the reason of an Error, one of a closed list.
type Kind int32

// Error kinds, with the numbers of ErrorKind in the schema. "Not run" means that
// the request did not run and never will.
const (
	// RefusedOverload indicates that a queue or another limit is full; not run.
	RefusedOverload = Kind(schema.ErrorKind_REFUSED_OVERLOAD)
	// RefusedDeadline indicates that the request cannot end before its deadline;
	// not run.
	RefusedDeadline = Kind(schema.ErrorKind_REFUSED_DEADLINE)
	// RefusedDraining indicates that the target is draining; not run.
	RefusedDraining = Kind(schema.ErrorKind_REFUSED_DRAINING)
	// RefusedNoTarget indicates that the service has no usable target; not run.
	RefusedNoTarget = Kind(schema.ErrorKind_REFUSED_NO_TARGET)
	// RefusedBackendDown indicates that the backend server accepts no connection;
	// not run.
	RefusedBackendDown = Kind(schema.ErrorKind_REFUSED_BACKEND_DOWN)
	// UnknownService indicates that there is no such service; not run.
	UnknownService = Kind(schema.ErrorKind_UNKNOWN_SERVICE)
	// WrongService indicates that the target does not serve the service; not run.
	WrongService = Kind(schema.ErrorKind_WRONG_SERVICE)
	// OfferExpired indicates that the offer expired before the target had the
	// complete request; not run.
	OfferExpired = Kind(schema.ErrorKind_OFFER_EXPIRED)
	// TooOld indicates that the packet was too old when it was processed; not run.
	TooOld = Kind(schema.ErrorKind_TOO_OLD)
	// CancelledNotRun indicates that the caller cancelled the request before it ran.
	CancelledNotRun = Kind(schema.ErrorKind_CANCELLED_NOT_RUN)
	// UnknownOutcome indicates that the owner of the request is gone or does not
	// answer; the request may have run.
	UnknownOutcome = Kind(schema.ErrorKind_UNKNOWN_OUTCOME)
	// UnknownFlow indicates that no target holds the session, or its target closed it.
	UnknownFlow = Kind(schema.ErrorKind_UNKNOWN_FLOW)
	// DeadlineExceeded indicates that the deadline passed; the request may have run.
	DeadlineExceeded = Kind(schema.ErrorKind_DEADLINE_EXCEEDED)
	// Cancelled indicates that the caller cancelled the request, which may have
	// run, or closed the session.
	Cancelled = Kind(schema.ErrorKind_CANCELLED)
	// FlowSilent indicates that the target of the session does not answer pings.
	FlowSilent = Kind(schema.ErrorKind_FLOW_SILENT)
	// BackendFailed indicates that the backend server failed; the request may have run.
	BackendFailed = Kind(schema.ErrorKind_BACKEND_FAILED)
	// BackendShed indicates that the backend server shed the request, which may
	// have run.
	BackendShed = Kind(schema.ErrorKind_BACKEND_SHED)
	// Malformed indicates that a packet or an argument is malformed; not run.
	Malformed = Kind(schema.ErrorKind_MALFORMED)
	// TooLarge indicates that a request or message exceeds the size limit; not run.
	TooLarge = Kind(schema.ErrorKind_TOO_LARGE)
	// Internal indicates an internal error; the request may have run.
	Internal = Kind(schema.ErrorKind_INTERNAL)
)

// String returns the name of the kind in the schema.
func (k Kind) String() string {
	return schema.ErrorKind(k).String()
}

// Error is the error type of requests and sessions.
type Error struct {
	// Kind is the reason of the error.
	Kind Kind
	// Detail names the rule and the figures that led to the error; may be empty.
	Detail string

	cause error
}

func newError(err *errkind.Error) *Error {
	return &Error{Kind: Kind(err.Kind), Detail: err.Detail}
}

// Error returns a description of the kind and the detail.
func (e *Error) Error() string {
	kind := schema.ErrorKind(e.Kind)
	return (&errkind.Error{Kind: kind, Detail: e.Detail}).Error()
}

// Unwrap returns the error of the context if the context ended the call, else nil.
func (e *Error) Unwrap() error {
	return e.cause
}

// NotRun reports whether the request certainly did not run and never will. If it
// is false, the request may have run.
func (e *Error) NotRun() bool {
	return errkind.Lookup(schema.ErrorKind(e.Kind)).Ran == errkind.RanNo
}
