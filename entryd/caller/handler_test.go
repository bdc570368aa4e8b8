package caller_test

import (
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"acaciapath.example/core/config"
	"acaciapath.example/entryd/access"
	"acaciapath.example/entryd/caller"
	"acaciapath.example/entryd/metrics"

	qt "github.com/frankban/quicktest"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/sirupsen/logrus"
	"go.opentelemetry.io/otel/trace/noop"
)

// sequence is a predictable source of bytes.
type sequence struct{ next byte }

// Read fills p with consecutive numbers.
func (s *sequence) Read(p []byte) (int, error) {
	for i := range p {
		p[i] = s.next
		s.next++
	}
	return len(p), nil
}

// newHandler returns a handler that passes all requests to plain.
func newHandler(plain http.HandlerFunc) *caller.Handler {
	logger := logrus.New()
	logger.SetOutput(io.Discard)
	handler := &caller.Handler{
		Access:  &access.Manager{},
		Plain:   plain,
		IsChat:  func(string, string) bool { return false },
		Metrics: metrics.New(prometheus.NewRegistry()),
		Logger:  logger,
		Tracer:  noop.NewTracerProvider().Tracer(""),
		Clock:   time.Now,
		Random:  &sequence{},
	}
	handler.Access.Replace(config.NewIndex(&config.Config{}, 1))
	return handler
}

func TestPanicBecomesRefusal(t *testing.T) {
	c := qt.New(t)
	handler := newHandler(func(http.ResponseWriter, *http.Request) { panic("broken") })
	recorder := httptest.NewRecorder()
	handler.ServeHTTP(recorder, httptest.NewRequest(http.MethodGet, "/", nil))
	c.Assert(recorder.Code, qt.Equals, 500)
	c.Assert(recorder.Header().Get("X-Request-Id"), qt.Equals, "000102030405060708090a0b0c0d0e0f")
	c.Assert(strings.TrimSpace(recorder.Body.String()), qt.Equals,
		`{"error":{"message":"the entry daemon failed","type":"internal","code":"internal","param":null,"run":"unknown","request-id":"000102030405060708090a0b0c0d0e0f"}}`)
}

// TestPanicAfterWrite checks that the connection is closed if a handler panics
// after a part of the answer was sent, so that the caller does not take the
// answer for complete.
func TestPanicAfterWrite(t *testing.T) {
	c := qt.New(t)
	server := httptest.NewServer(newHandler(func(w http.ResponseWriter, _ *http.Request) {
		_, _ = w.Write([]byte("half"))
		_ = http.NewResponseController(w).Flush()
		panic("broken")
	}))
	defer server.Close()
	response, err := http.Get(server.URL)
	c.Assert(err, qt.IsNil)
	defer response.Body.Close()
	_, err = io.ReadAll(response.Body)
	c.Assert(err, qt.ErrorIs, io.ErrUnexpectedEOF)
}

func TestShutdownClosesConnections(t *testing.T) {
	c := qt.New(t)
	handler := newHandler(func(http.ResponseWriter, *http.Request) {})
	handler.ShuttingDown.Store(true)
	recorder := httptest.NewRecorder()
	handler.ServeHTTP(recorder, httptest.NewRequest(http.MethodGet, "/", nil))
	c.Assert(recorder.Header().Get("Connection"), qt.Equals, "close")
}
