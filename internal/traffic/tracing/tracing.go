// Package tracing opens the output of OpenTelemetry spans.
package tracing

import (
	"context"
	"io"
	"os"
	"strings"

	"github.com/pkg/errors"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/exporters/otlp/otlptrace/otlptracehttp"
	"go.opentelemetry.io/otel/exporters/stdout/stdouttrace"
	"go.opentelemetry.io/otel/sdk/resource"
	sdktrace "go.opentelemetry.io/otel/sdk/trace"
	"go.opentelemetry.io/otel/trace"
	"go.opentelemetry.io/otel/trace/noop"
)

// New returns a tracer for an output, and a function that flushes and closes it.
// The target is none, stdout, a file, or the URL of an OTLP receiver.
func New(ctx context.Context, target, service, instance string) (trace.Tracer, func(context.Context), error) {
	exporter, closer, err := newExporter(ctx, target)
	if err != nil {
		return nil, nil, err
	}
	if exporter == nil {
		return Off(), func(context.Context) {}, nil
	}
	provider := sdktrace.NewTracerProvider(
		sdktrace.WithBatcher(exporter),
		sdktrace.WithResource(resource.NewSchemaless(
			attribute.String("service.name", "laburnumroad-"+service),
			attribute.String("service.instance.id", instance),
		)),
	)
	stop := func(ctx context.Context) {
		// A trace that cannot be delivered at the end is lost; nothing waits for it.
		_ = provider.Shutdown(ctx)
		if closer != nil {
			_ = closer.Close()
		}
	}
	return provider.Tracer("laburnumroad"), stop, nil
}

// Off returns a tracer without an output.
func Off() trace.Tracer { return noop.NewTracerProvider().Tracer("laburnumroad") }

func newExporter(ctx context.Context, target string) (sdktrace.SpanExporter, io.Closer, error) {
	switch {
	case target == "" || target == "none":
		return nil, nil, nil
	case target == "stdout":
		e, err := stdouttrace.New()
		return e, nil, errors.Wrap(err, "trace to stdout")
	case strings.HasPrefix(target, "http://"), strings.HasPrefix(target, "https://"):
		e, err := otlptracehttp.New(ctx, otlptracehttp.WithEndpointURL(target))
		return e, nil, errors.Wrap(err, "trace to OTLP")
	default:
		return newFileExporter(target)
	}
}

func newFileExporter(path string) (sdktrace.SpanExporter, io.Closer, error) {
	f, err := os.OpenFile(path, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return nil, nil, errors.Wrap(err, "open the trace file")
	}
	e, err := stdouttrace.New(stdouttrace.WithWriter(f))
	if err != nil {
		f.Close()
		return nil, nil, errors.Wrap(err, "trace to a file")
	}
	return e, f, nil
}
