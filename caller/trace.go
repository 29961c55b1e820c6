package caller

import (
	"time"

	"github.com/peridotstall/peridotstall/internal/wire"
)

// Span is the span of the caller in the trace of one request.
type Span struct {
	// TraceParent is the W3C traceparent of the span. It is the parent of the
	// spans of balancers.
	TraceParent string
	// Class is the class of the request.
	Class string
	// Start and End are the times of the call of Do and of its return.
	Start, End time.Time
	// Err is the error of the request, nil after a response.
	Err error
}

// reportSpan passes the span of a request that ended to Settings.Trace.
func (c *Client) reportSpan(id uint64, class string, start time.Time, err error) {
	if c.settings.Trace == nil {
		return
	}
	c.settings.Trace(Span{
		TraceParent: wire.RequestTraceParent(id),
		Class:       class,
		Start:       start,
		End:         time.Now(),
		Err:         err,
	})
}
