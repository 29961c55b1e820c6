package telemetry

import (
	"context"
	"io"
	"os"

	"github.com/pkg/errors"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/codes"
	"go.opentelemetry.io/otel/exporters/stdout/stdouttrace"
	"go.opentelemetry.io/otel/propagation"
	"go.opentelemetry.io/otel/sdk/resource"
	sdktrace "go.opentelemetry.io/otel/sdk/trace"
	"go.opentelemetry.io/otel/trace"

	"github.com/peridotstall/peridotstall/internal/schema"
	"github.com/peridotstall/peridotstall/internal/wire"
)

// traceParentKey is the name of the header that W3C Trace Context defines.
const traceParentKey = "traceparent"

// Tracer starts one span per hop. A nil Tracer starts none and does not allocate.
type Tracer struct {
	provider *sdktrace.TracerProvider
	tracer   trace.Tracer
	ratio    sdktrace.Sampler
	file     io.Closer
}

// NewTracer returns a tracer that appends spans to the file of the settings, or
// writes them to standard error if there is none. The instance is named as in
// the metrics. NewTracer returns nil when the ratio is 0, which is the default,
// and an error when the ratio is out of range or the file cannot be opened.
func NewTracer(settings *schema.TraceSettings, instance string) (*Tracer, error) {
	if settings.GetRatio() == 0 {
		return nil, nil
	}
	if settings.GetFile() == "" {
		return newTracer(settings.GetRatio(), instance, os.Stderr)
	}
	file, err := os.OpenFile(settings.GetFile(), os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o644)
	if err != nil {
		return nil, errors.Wrap(err, "open trace file")
	}
	t, err := newTracer(settings.GetRatio(), instance, file)
	if err != nil {
		file.Close()
		return nil, err
	}
	t.file = file
	return t, nil
}

func newTracer(ratio float64, instance string, w io.Writer) (*Tracer, error) {
	if !(ratio > 0 && ratio <= 1) {
		return nil, errors.Errorf("trace ratio %v is not between 0 and 1", ratio)
	}
	exporter, err := stdouttrace.New(stdouttrace.WithWriter(w))
	if err != nil {
		return nil, errors.Wrap(err, "trace exporter")
	}
	name := attribute.String("service.name", "peridotstall")
	id := attribute.String("service.instance.id", instance)
	provider := sdktrace.NewTracerProvider(
		sdktrace.WithBatcher(exporter),
		sdktrace.WithSampler(sdktrace.ParentBased(sdktrace.TraceIDRatioBased(ratio))),
		sdktrace.WithResource(resource.NewSchemaless(name, id)),
	)
	return &Tracer{
		provider: provider,
		tracer:   provider.Tracer("peridotstall"),
		ratio:    sdktrace.TraceIDRatioBased(ratio),
	}, nil
}

// Root starts the span of the first hop of a packet. The packet is sampled by the
// ratio.
func (t *Tracer) Root(name string) Span {
	if t == nil {
		return Span{}
	}
	return t.start(context.Background(), name)
}

// Hop starts the span of a later hop as a child of the traceparent received with
// the packet. The packet is not traced if the traceparent is empty or malformed.
func (t *Tracer) Hop(name, traceParent string) Span {
	if t == nil || traceParent == "" {
		return Span{parent: traceParent}
	}
	carrier := propagation.MapCarrier{traceParentKey: traceParent}
	ctx := propagation.TraceContext{}.Extract(context.Background(), carrier)
	if !trace.SpanContextFromContext(ctx).IsSampled() {
		return Span{}
	}
	return t.start(ctx, name)
}

// Request starts the span of a packet of the caller package as a child of the
// caller's span of the request. Sampling depends only on the request, so that
// either all packets of a request are traced or none.
func (t *Tracer) Request(name string, id uint64) Span {
	if t == nil {
		return Span{}
	}
	carrier := propagation.MapCarrier{traceParentKey: wire.RequestTraceParent(id)}
	ctx := propagation.TraceContext{}.Extract(context.Background(), carrier)
	decision := t.ratio.ShouldSample(sdktrace.SamplingParameters{
		TraceID: trace.SpanContextFromContext(ctx).TraceID(),
	})
	if decision.Decision != sdktrace.RecordAndSample {
		return Span{}
	}
	return t.start(ctx, name)
}

func (t *Tracer) start(ctx context.Context, name string) Span {
	ctx, span := t.tracer.Start(ctx, name)
	if !span.SpanContext().IsSampled() {
		return Span{}
	}
	carrier := propagation.MapCarrier{}
	propagation.TraceContext{}.Inject(ctx, carrier)
	return Span{span: span, parent: carrier[traceParentKey]}
}

// Close writes the finished spans and closes the trace file.
func (t *Tracer) Close(ctx context.Context) error {
	if t == nil {
		return nil
	}
	err := t.provider.Shutdown(ctx)
	if t.file != nil {
		if closeErr := t.file.Close(); err == nil {
			err = closeErr
		}
	}
	return errors.Wrap(err, "close traces")
}

// Span is one hop of a traced packet. The zero Span records nothing.
type Span struct {
	span   trace.Span
	parent string
}

// TraceParent returns the traceparent for the next hop; it is empty when the
// packet is not traced. Without a tracer, it is the one received.
func (s Span) TraceParent() string { return s.parent }

// Service records the service ID of the packet.
func (s Span) Service(id uint32) {
	if s.span != nil {
		s.span.SetAttributes(attribute.Int64("service", int64(id)))
	}
}

// Target records the ID of the target that the packet is sent to.
func (s Span) Target(id uint32) {
	if s.span != nil {
		s.span.SetAttributes(attribute.Int64("target", int64(id)))
	}
}

// Error marks the hop as failed with an error kind.
func (s Span) Error(kind schema.ErrorKind) {
	if s.span != nil {
		s.span.SetStatus(codes.Error, kind.String())
	}
}

// End finishes the span.
func (s Span) End() {
	if s.span != nil {
		s.span.End()
	}
}
