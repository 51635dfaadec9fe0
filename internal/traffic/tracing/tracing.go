// Package tracing creates OpenTelemetry tracers and exports their spans.
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

// New returns a tracer that exports to the given output, and a function that flushes
// and closes it. The output is none, stdout, the path of a file, or the URL of an OTLP
// receiver.
func New(ctx context.Context, output, service, instance string) (trace.Tracer, func(context.Context), error) {
	exporter, closer, err := newExporter(ctx, output)
	if err != nil {
		return nil, nil, err
	}
	if exporter == nil {
		return Noop(), func(context.Context) {}, nil
	}
	provider := sdktrace.NewTracerProvider(
		sdktrace.WithBatcher(exporter),
		sdktrace.WithResource(resource.NewSchemaless(
			attribute.String("service.name", "laburnumroad-"+service),
			attribute.String("service.instance.id", instance),
		)),
	)
	shutdown := func(ctx context.Context) {
		// Spans that can't be exported at shutdown are dropped.
		_ = provider.Shutdown(ctx)
		if closer != nil {
			_ = closer.Close()
		}
	}
	return provider.Tracer("laburnumroad"), shutdown, nil
}

// Noop returns a tracer that records nothing.
func Noop() trace.Tracer { return noop.NewTracerProvider().Tracer("laburnumroad") }

// newExporter returns the exporter for an output, nil for none, and the file to close
// after it, if any.
func newExporter(ctx context.Context, output string) (sdktrace.SpanExporter, io.Closer, error) {
	switch {
	case output == "" || output == "none":
		return nil, nil, nil
	case output == "stdout":
		exporter, err := stdouttrace.New()
		return exporter, nil, errors.Wrap(err, "create the trace exporter for stdout")
	case strings.HasPrefix(output, "http://"), strings.HasPrefix(output, "https://"):
		exporter, err := otlptracehttp.New(ctx, otlptracehttp.WithEndpointURL(output))
		return exporter, nil, errors.Wrap(err, "create the OTLP trace exporter")
	default:
		return newFileExporter(output)
	}
}

func newFileExporter(path string) (sdktrace.SpanExporter, io.Closer, error) {
	file, err := os.OpenFile(path, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return nil, nil, errors.Wrap(err, "open the trace file")
	}
	exporter, err := stdouttrace.New(stdouttrace.WithWriter(file))
	if err != nil {
		file.Close()
		return nil, nil, errors.Wrap(err, "create the trace exporter for a file")
	}
	return exporter, file, nil
}
