package agent

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"net/netip"
	"slices"
	"strconv"
	"time"

	"github.com/pkg/errors"

	"github.com/peridotstall/peridotstall/internal/httptransport"
	"github.com/peridotstall/peridotstall/internal/offer"
	"github.com/peridotstall/peridotstall/internal/placement"
	"github.com/peridotstall/peridotstall/internal/schema"
	"github.com/peridotstall/peridotstall/internal/telemetry"
	"github.com/peridotstall/peridotstall/internal/wire"
)

const (
	// backendDialTimeout limits the connection setup to the backend server, which
	// runs on the same host.
	backendDialTimeout = time.Second
	// maxResponse is the size in bytes of the largest response that fits into the
	// fragments of an answer.
	maxResponse = wire.MaxFragment * wire.MaxFragments
)

// Headers of a request to the backend server.
const (
	headerRequestID = "Request-Id"
	headerClass     = "Class"
	headerDeadline  = "Deadline-Ms"
	// headerTrace is defined by W3C Trace Context.
	headerTrace = "traceparent"
)

// newBackendClient returns a client that uses a connection for one request only. On a
// connection that is used again, a late second copy of a response would be taken for
// the response to the next request.
func newBackendClient() *http.Client {
	transport := httptransport.New(0, backendDialTimeout)
	transport.DisableKeepAlives, transport.DisableCompression = true, true
	return &http.Client{Transport: transport}
}

// runOffer executes actions of the request state machine. The caller must hold
// a.mu.
func (a *Agent) runOffer(actions []offer.Action) {
	for _, action := range actions {
		switch v := action.(type) {
		case offer.Send:
			a.sendCaller(placement.Key(v.To), v.Packet)
		case offer.StartRequest:
			a.startRequest(v)
		case offer.CancelRequest:
			if cancel := a.requests[v.Sequence]; cancel != nil {
				cancel()
			}
		case offer.OpenSession:
			a.openSession(v)
		case offer.DeliverSession:
			if b := a.sessions[v.Sequence]; b != nil {
				b.write(v.Data)
			}
		case offer.CloseSession:
			a.closeSession(v.Sequence)
		case offer.Observation:
			a.recordObservation(v)
		}
	}
}

func (a *Agent) sendCaller(key placement.Key, p *schema.CallerPacket) {
	data, err := wire.EncodeCaller(p)
	if err != nil {
		a.drop(key.Service, schema.ErrorKind_TOO_LARGE)
		return
	}
	span := a.options.Tracer.Request("agent answer", p.GetRequestId())
	a.sendAnswer(a.liveBalancer(a.returnPaths.get(key)), key, span.TraceParent(), data)
	span.End()
}

// recordObservation updates metrics and logs for an event of the request state
// machine.
func (a *Agent) recordObservation(o offer.Observation) {
	m := a.options.Metrics
	switch o.Event {
	case offer.OfferMade:
		m.Offers.Inc()
	case offer.OpenRefused:
		m.Error(o.Kind)
		a.refusals.add(time.Now(), placement.Key(o.Key), o.Kind, o.Detail)
		a.options.Logger.LogLimited(time.Now(), telemetry.Refused, o.Key.Service, o.Kind)
	case offer.RequestStarted:
		m.RequestsRun.Inc()
	case offer.RequestEnded:
		if o.Kind != schema.ErrorKind_ERROR_KIND_NONE {
			m.Error(o.Kind)
		}
	case offer.PacketDropped:
		a.drop(o.Key.Service, schema.ErrorKind_MALFORMED)
	}
}

// startRequest dispatches a request to the backend server in a new goroutine.
func (a *Agent) startRequest(r offer.StartRequest) {
	ctx, cancel := context.WithDeadline(context.Background(), r.Deadline)
	a.requests[r.Sequence] = cancel
	span := a.backendSpan(r.RequestID)
	go func() {
		resp := a.callBackend(ctx, r, span.TraceParent())
		if resp.Kind != schema.ErrorKind_ERROR_KIND_NONE {
			span.Error(resp.Kind)
		}
		span.End()
		cancel()
		a.mu.Lock()
		defer a.mu.Unlock()
		delete(a.requests, r.Sequence)
		a.updateBackendState(time.Now(), resp.Kind)
		a.runOffer(a.offers.BackendDone(time.Now(), r.Sequence, resp))
	}()
}

// backendSpan starts the span of a request to the backend server. Its parent is
// the agent's span of the current packet if that packet belongs to the request.
// A request that waited in the queue starts while another packet is handled; the
// parent of its span is the span of the caller.
func (a *Agent) backendSpan(requestID uint64) telemetry.Span {
	if a.trace != "" && wire.SameTrace(a.trace, requestID) {
		return a.options.Tracer.Hop("backend server", a.trace)
	}
	return a.options.Tracer.Request("backend server", requestID)
}

// callBackend dispatches the request once. The body is not rewindable, so that the HTTP
// client never retries the request.
func (a *Agent) callBackend(ctx context.Context, r offer.StartRequest, traceParent string) offer.Response {
	body := io.NopCloser(bytes.NewReader(r.Body))
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, a.options.Settings.GetBackendUrl(), body)
	if err != nil {
		return failedResponse(schema.ErrorKind_BACKEND_FAILED, err)
	}
	request.ContentLength = int64(len(r.Body))
	request.Header.Set(headerRequestID, strconv.FormatUint(r.RequestID, 16))
	request.Header.Set(headerClass, r.Class)
	request.Header.Set(headerDeadline, strconv.FormatInt(time.Until(r.Deadline).Milliseconds(), 10))
	if traceParent != "" {
		request.Header.Set(headerTrace, traceParent)
	}
	resp, err := a.client.Do(request)
	if notSent(err) {
		return failedResponse(schema.ErrorKind_REFUSED_BACKEND_DOWN, err)
	}
	if err != nil {
		return failedResponse(failureKind(ctx), err)
	}
	defer resp.Body.Close()
	if resp.StatusCode == http.StatusServiceUnavailable {
		return failedResponse(schema.ErrorKind_BACKEND_SHED, errors.New(resp.Status))
	}
	if !framed(resp) {
		return failedResponse(schema.ErrorKind_BACKEND_FAILED, errors.New("response without a length: its end cannot be told from a truncation"))
	}
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxResponse+1))
	if err != nil {
		return failedResponse(failureKind(ctx), err)
	}
	return offer.Response{Status: uint32(resp.StatusCode), Body: data}
}

// framed reports whether the end of the response's body is marked other than by the end
// of the connection.
func framed(resp *http.Response) bool {
	return resp.ContentLength >= 0 || slices.Contains(resp.TransferEncoding, "chunked")
}

// notSent reports whether the connection to the backend server could not be
// opened. No part of the request was sent in this case: because the body is not
// rewindable, the client opens a connection only if it wrote nothing to another.
func notSent(err error) bool {
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "dial"
}

// updateBackendState records whether the backend server accepts connections. When
// it accepts them again, it has restarted, so that slow start begins anew.
func (a *Agent) updateBackendState(now time.Time, kind schema.ErrorKind) {
	switch {
	case kind == schema.ErrorKind_REFUSED_BACKEND_DOWN:
		if a.backendDown.IsZero() {
			a.options.Logger.Log(telemetry.BackendUnreachable, "service", "requests", "error", kind)
		}
		a.backendDown = now
	case kind == schema.ErrorKind_ERROR_KIND_NONE && !a.backendDown.IsZero():
		a.backendDown = time.Time{}
		a.admission.ColdStart()
	}
}

func failureKind(ctx context.Context) schema.ErrorKind {
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return schema.ErrorKind_DEADLINE_EXCEEDED
	}
	if ctx.Err() != nil {
		return schema.ErrorKind_CANCELLED
	}
	return schema.ErrorKind_BACKEND_FAILED
}

func failedResponse(kind schema.ErrorKind, err error) offer.Response {
	return offer.Response{Kind: kind, Detail: err.Error()}
}

// openSession opens the socket of a session to the backend server.
func (a *Agent) openSession(s offer.OpenSession) {
	b, err := dialBackend(a.options.Settings.GetBackendUdp(), netip.AddrPort{})
	if err != nil {
		a.options.Logger.Log(telemetry.BackendUnreachable, "service", s.Key.Service, "error", err)
		a.runOffer(a.offers.SessionEnded(time.Now(), s.Sequence))
		return
	}
	a.options.Metrics.FlowsOpened.Inc()
	a.sessions[s.Sequence] = b
	go b.serve(func(data []byte) { a.handleSessionOutput(s.Sequence, b, data) })
}

func (a *Agent) handleSessionOutput(sequence uint64, b *backend, data []byte) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.sessions[sequence] == b {
		a.runOffer(a.offers.SessionOutput(time.Now(), sequence, bytes.Clone(data)))
	}
}

func (a *Agent) closeSession(sequence uint64) {
	b := a.sessions[sequence]
	if b == nil {
		return
	}
	delete(a.sessions, sequence)
	time.AfterFunc(closeDelay, b.close)
}
