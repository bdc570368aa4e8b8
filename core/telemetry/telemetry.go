package telemetry

import (
	"context"
	"io"

	"github.com/ansel1/merry/v2"
	"github.com/sirupsen/logrus"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/exporters/otlp/otlptrace/otlptracehttp"
	"go.opentelemetry.io/otel/propagation"
	"go.opentelemetry.io/otel/sdk/resource"
	sdktrace "go.opentelemetry.io/otel/sdk/trace"
)

// Fields of structured logs. The API key of a client account is never logged.
const (
	FieldRequestID     = "request-id"
	FieldClientAccount = "client-account"
	FieldServiceClass  = "service-class"
	FieldBackendServer = "backend-server"
	FieldKeyName       = "key-name"
	FieldModel         = "model"
	FieldCode          = "code"
	FieldRevision      = "revision"
	FieldVM            = "vm"
)

// Log formats.
const (
	FormatJSON = "json"
	FormatText = "text"
)

// ErrFormat is returned for an unknown log format.
var ErrFormat = merry.Sentinel("telemetry: log format must be json or text")

// timestampFormat is RFC 3339 with milliseconds, because one request often logs
// several lines within a second.
const timestampFormat = "2006-01-02T15:04:05.000Z07:00"

// NewLogger returns a logger that writes to w. It returns an error if the level
// or the format is unknown.
func NewLogger(level, format string, w io.Writer) (*logrus.Logger, error) {
	parsed, err := logrus.ParseLevel(level)
	if err != nil {
		return nil, merry.Prepend(err, "telemetry: log level")
	}
	logger := logrus.New()
	logger.SetLevel(parsed)
	logger.SetOutput(w)
	switch format {
	case FormatJSON:
		logger.SetFormatter(&logrus.JSONFormatter{TimestampFormat: timestampFormat})
	case FormatText:
		logger.SetFormatter(&logrus.TextFormatter{FullTimestamp: true, DisableColors: true})
	default:
		return nil, merry.Wrap(ErrFormat, merry.WithValue("format", format))
	}
	return logger, nil
}

// NewTracerProvider returns a tracer provider for a program on a VM. Spans are
// exported with OTLP over HTTP to endpoint, an IP address and a port. If
// endpoint is empty, spans are not exported; they only propagate the trace
// context. The caller shuts the provider down.
func NewTracerProvider(ctx context.Context, endpoint, program, vm string) (*sdktrace.TracerProvider, error) {
	options := []sdktrace.TracerProviderOption{
		sdktrace.WithResource(resource.NewSchemaless(
			attribute.String("service.name", program),
			attribute.String("service.instance.id", vm),
		)),
	}
	if endpoint != "" {
		exporter, err := otlptracehttp.New(ctx,
			otlptracehttp.WithEndpoint(endpoint),
			otlptracehttp.WithInsecure(),
		)
		if err != nil {
			return nil, merry.Prepend(err, "telemetry: trace exporter")
		}
		options = append(options, sdktrace.WithBatcher(exporter))
	}
	return sdktrace.NewTracerProvider(options...), nil
}

// Propagator returns a propagator that carries the trace context in HTTP
// headers as specified by W3C Trace Context. It does not propagate baggage,
// because callers could put anything into it.
func Propagator() propagation.TextMapPropagator { return propagation.TraceContext{} }
