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

// traceParentKey is the header name that W3C Trace Context defines.
const traceParentKey = "traceparent"

// Tracer makes one span per hop. A nil Tracer makes none at no cost.
type Tracer struct {
	provider *sdktrace.TracerProvider
	tracer   trace.Tracer
	ratio    sdktrace.Sampler
	file     io.Closer
}

// NewTracer returns a tracer for an instance, named as in the metrics. It
// returns nil when the ratio is 0, which is the default.
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

// Root starts the span of the hop at which a packet enters the system. The
// ratio decides whether the packet is traced.
func (t *Tracer) Root(name string) Span {
	if t == nil {
		return Span{}
	}
	return t.start(context.Background(), name)
}

// Hop starts the span of a later hop from the traceparent that came with the
// packet. An empty or malformed one means that the packet is not traced.
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

// Request starts the span of a packet of the caller package whose parent is the
// caller's span of the request. The ratio decides by the request, so that all
// packets of one request are traced or none.
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

// Close writes the finished spans and closes the file.
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

// TraceParent returns the traceparent for the next hop; empty when the packet
// is not traced. A process without tracer passes on what it received.
func (s Span) TraceParent() string { return s.parent }

// Service notes the service of the packet.
func (s Span) Service(id uint32) {
	if s.span != nil {
		s.span.SetAttributes(attribute.Int64("service", int64(id)))
	}
}

// Target notes the target that the packet goes to.
func (s Span) Target(id uint32) {
	if s.span != nil {
		s.span.SetAttributes(attribute.Int64("target", int64(id)))
	}
}

// Error marks the hop as failed with a kind.
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
