package caller

import (
	"time"

	"github.com/peridotstall/peridotstall/internal/wire"
)

// Span is the caller's part of the trace of one request.
type Span struct {
	// TraceParent is the W3C traceparent of the span. The balancer's spans of the
	// request have it as their parent.
	TraceParent string
	Class       string
	Start, End  time.Time
	// Err is the error with which the request ended, nil after a response.
	Err error
}

// trace passes the span of a request that ended to the hook of the settings.
func (c *Client) trace(id uint64, class string, start time.Time, err error) {
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
