package tracing

import (
	"context"
	"encoding/binary"
	"io"
	"math"
	"net/http"
	"os"

	"github.com/rotisserie/eris"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/exporters/stdout/stdouttrace"
	"go.opentelemetry.io/otel/propagation"
	"go.opentelemetry.io/otel/sdk/resource"
	sdktrace "go.opentelemetry.io/otel/sdk/trace"
	"go.opentelemetry.io/otel/trace"
	"go.opentelemetry.io/otel/trace/noop"

	"github.com/amaranthswitch/amaranthswitch/fleet/config"
	"github.com/amaranthswitch/amaranthswitch/fleet/flow"
	"github.com/amaranthswitch/amaranthswitch/fleet/steering"
)

// Tracer records spans of packets and requests.
type Tracer struct {
	tracer      trace.Tracer
	propagator  propagation.TraceContext
	sampleBelow uint64 // flows with a lower ID.Lo are sampled
}

// New returns a tracer that samples the given fraction of requests and flows, 0 to
// 1, and writes spans as lines of JSON to the file, or to standard output for
// "-". An empty file name or a share of 0 turns tracing off.
func New(ctx context.Context, vm config.VMID, file string, share float64) (t *Tracer, cleanup func(), err error) {
	defer func() { err = eris.Wrapf(err, "tracing: open %q", file) }()
	if file == "" || share <= 0 {
		return &Tracer{tracer: noop.NewTracerProvider().Tracer("")}, func() {}, nil
	}
	w, closeFile, err := openOutput(file)
	if err != nil {
		return nil, nil, err
	}
	exporter, err := stdouttrace.New(stdouttrace.WithWriter(w))
	if err != nil {
		closeFile()
		return nil, nil, err
	}
	provider := sdktrace.NewTracerProvider(
		sdktrace.WithBatcher(exporter),
		sdktrace.WithSampler(sdktrace.ParentBased(sdktrace.TraceIDRatioBased(share))),
		sdktrace.WithResource(resource.NewSchemaless(attribute.String("service.instance.id", string(vm)))),
	)
	t = &Tracer{tracer: provider.Tracer("amaranthd"), sampleBelow: uint64(min(share, 1) * math.MaxUint64)}
	return t, func() {
		_ = provider.Shutdown(context.WithoutCancel(ctx))
		closeFile()
	}, nil
}

func openOutput(file string) (w io.Writer, closeFile func(), err error) {
	if file == "-" {
		return os.Stdout, func() {}, nil
	}
	f, err := os.OpenFile(file, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return nil, nil, err
	}
	return f, func() { _ = f.Close() }, nil
}

// StartSpan starts a span and returns the context that carries it and the function
// that ends it.
func (t *Tracer) StartSpan(ctx context.Context, name string) (context.Context, func()) {
	ctx, span := t.tracer.Start(ctx, name)
	return ctx, func() { span.End() }
}

// Inject writes the trace context of ctx to the header.
func (t *Tracer) Inject(ctx context.Context, h http.Header) {
	t.propagator.Inject(ctx, propagation.HeaderCarrier(h))
}

// Extract returns ctx with the trace context that it reads from the header.
func (t *Tracer) Extract(ctx context.Context, h http.Header) context.Context {
	return t.propagator.Extract(ctx, propagation.HeaderCarrier(h))
}

// Sampled reports whether packets of the flow are traced.
func (t *Tracer) Sampled(id flow.ID) bool { return id.Lo < t.sampleBelow }

// RecordPacket records a span for the action on a packet if its flow is sampled.
func (t *Tracer) RecordPacket(p *steering.Packet, act steering.Action) {
	if !t.Sampled(p.ID) {
		return
	}
	_, span := t.tracer.Start(flowContext(p.ID), hopName(p, act))
	span.SetAttributes(
		attribute.Int("vni", int(p.VNI)), attribute.String("client", p.Src.String()), attribute.String("from", string(p.From)),
		attribute.Int("hops", int(p.Hops)), attribute.String("action", act.Kind.String()),
		attribute.String("to", actionTarget(act)),
	)
	span.End()
}

// hopName returns the span name, which is the role in which the VM handled the
// packet.
func hopName(p *steering.Packet, act steering.Action) string {
	if act.Kind == steering.Detour {
		return "ingress"
	}
	if p.From == "" && act.Kind == steering.Forward {
		return "forward"
	}
	return "home"
}

func actionTarget(act steering.Action) string {
	if act.Kind == steering.Detour {
		return string(act.VM)
	}
	return act.To.String()
}

// flowContext returns a context with a remote parent span whose trace ID is the
// flow ID.
func flowContext(id flow.ID) context.Context {
	var tid trace.TraceID
	binary.BigEndian.PutUint64(tid[:8], id.Hi)
	binary.BigEndian.PutUint64(tid[8:], id.Lo)
	var sid trace.SpanID
	binary.BigEndian.PutUint64(sid[:], id.Hi|1)
	return trace.ContextWithRemoteSpanContext(context.Background(), trace.NewSpanContext(trace.SpanContextConfig{
		TraceID: tid, SpanID: sid, TraceFlags: trace.FlagsSampled, Remote: true,
	}))
}
