package plain

import (
	"crypto/sha256"
	"encoding/hex"
	"io"
	"net/http"
	"sync"
	"time"

	"acaciapath.example/core/engine"
	"acaciapath.example/standin/fault"
	"acaciapath.example/standin/record"
	"acaciapath.example/standin/serve"
)

// Paths with which tests control the service and read its log.
const (
	// PathFaults accepts a fault.Faults, which replaces the current faults.
	PathFaults = "/faults"
	// PathLog returns a record.Page of Call.
	PathLog = "/log"
)

// HeaderIdempotencyKey is the HTTP header with the key that all repetitions of a
// call share.
const HeaderIdempotencyKey = "Idempotency-Key"

// maxBodyBytes is the maximum size of a request body.
const maxBodyBytes = 1 << 20

// Options configure a Service.
type Options struct {
	// Name is the name of the replica in its responses.
	Name string
	// ChecksIdempotency reports whether a call with an Idempotency-Key that was
	// executed before gets the earlier response and is not executed again.
	ChecksIdempotency bool
	// ExecutionTime is how long a call takes to execute.
	ExecutionTime time.Duration
	// LogLimit is the maximum number of calls in the log; see record.New.
	LogLimit int
	// Faults are the initial faults.
	Faults fault.Faults
}

// Call is a call in the log.
type Call struct {
	// At is when the service processed the call, before it sent the response.
	At time.Time `json:"at"`
	// RequestID is the ID in the header of the request.
	RequestID string `json:"request-id"`
	// Method is the HTTP method.
	Method string `json:"method"`
	// Path is the path of the request.
	Path string `json:"path"`
	// Key is the Idempotency-Key, or the hash of the body if there is none. It is
	// empty for a call that only reads.
	Key string `json:"key"`
	// Executions is the number of executions of calls with the key, including
	// this one; 0 for a call that only reads.
	Executions int `json:"executions"`
	// Replayed reports that the call got the response of an earlier call with the
	// same key and was not executed.
	Replayed bool `json:"repeated"`
	// Header is the HTTP header of the request.
	Header http.Header `json:"header"`
}

// Response is the body of every response.
type Response struct {
	// Replica is the name of the replica.
	Replica string `json:"replica"`
	// Path is the path of the request.
	Path string `json:"path"`
	// Status is executed or found.
	Status string `json:"status"`
	// Execution is the number of this execution, counted over all calls from 1; 0
	// for a call that only reads.
	Execution int `json:"execution,omitempty"`
}

// Values of Response.Status.
const (
	statusExecuted = "executed"
	statusFound    = "found"
)

// Service is a simulated replica of a plain service. It is safe for concurrent
// use.
type Service struct {
	options Options
	faults  *fault.Injector
	http    *serve.Server
	log     *record.Log[Call]

	mu              sync.Mutex // guards the fields below
	totalExecutions int
	executionsByKey map[string]int      // by Call.Key
	responses       map[string]Response // by Idempotency-Key
}

// New returns a service that has not been started.
func New(options Options) *Service {
	s := &Service{
		options:         options,
		faults:          fault.NewInjector(),
		log:             record.New[Call](options.LogLimit),
		executionsByKey: make(map[string]int),
		responses:       make(map[string]Response),
	}
	s.faults.Set(options.Faults)
	s.http = serve.New(s.handler())
	return s
}

// Start serves on address, an IP address and port. Port 0 selects a free port.
func (s *Service) Start(address string) error { return s.http.Start(address) }

// Address returns the IP address and port that the service listens on.
func (s *Service) Address() string { return s.http.Address() }

// Close stops the service and closes all its connections immediately.
func (s *Service) Close() error {
	s.faults.Close()
	return s.http.Close()
}

// SetFaults replaces the faults. LoseRequests simulates a crash before a call is
// executed, LoseReplies a crash after it.
func (s *Service) SetFaults(f fault.Faults) { s.faults.Set(f) }

// Injector returns the Injector of the service.
func (s *Service) Injector() *fault.Injector { return s.faults }

// Log returns the log of calls.
func (s *Service) Log() *record.Log[Call] { return s.log }

// Executions returns the number of executions of calls with the Idempotency-Key.
func (s *Service) Executions(key string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.executionsByKey[key]
}

// TotalExecutions returns the number of executions of all calls.
func (s *Service) TotalExecutions() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.totalExecutions
}

func (s *Service) handler() http.Handler {
	served := http.NewServeMux()
	served.HandleFunc("GET /", s.serveRead)
	served.HandleFunc("POST /", s.serveExecute)
	refuse := func(w http.ResponseWriter, _ *http.Request) {
		http.Error(w, "the service has not started", http.StatusServiceUnavailable)
	}
	mux := http.NewServeMux()
	mux.Handle("/", fault.Handler(s.faults, served, refuse))
	mux.Handle("POST "+PathFaults, fault.ControlHandler(func(f fault.Faults) error {
		s.SetFaults(f)
		return nil
	}))
	mux.Handle("GET "+PathLog, s.log)
	return mux
}

// serveRead handles a call that only reads.
func (s *Service) serveRead(w http.ResponseWriter, r *http.Request) {
	s.log.Add(newCall(r, ""))
	fault.WriteJSON(w, http.StatusOK, Response{Replica: s.options.Name, Path: r.URL.Path, Status: statusFound})
}

// serveExecute handles a call that must be executed. The execution continues if
// the caller disconnects.
func (s *Service) serveExecute(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBodyBytes))
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	time.Sleep(s.options.ExecutionTime)
	idempotencyKey := r.Header.Get(HeaderIdempotencyKey)
	call := newCall(r, idempotencyKey)
	if idempotencyKey == "" {
		sum := sha256.Sum256(body)
		call.Key = hex.EncodeToString(sum[:])
	}
	response := s.executeOrReplay(&call, idempotencyKey)
	fault.WriteJSON(w, http.StatusOK, response)
}

// executeOrReplay executes and logs a call. If ChecksIdempotency is set and a call
// with the same Idempotency-Key was executed before, it only logs the call and
// returns the earlier response.
func (s *Service) executeOrReplay(call *Call, idempotencyKey string) Response {
	s.mu.Lock()
	defer s.mu.Unlock()
	earlier, known := s.responses[idempotencyKey]
	if known && idempotencyKey != "" && s.options.ChecksIdempotency {
		call.Replayed = true
		call.Executions = s.executionsByKey[call.Key]
		s.log.Add(*call)
		return earlier
	}
	s.totalExecutions++
	s.executionsByKey[call.Key]++
	call.Executions = s.executionsByKey[call.Key]
	s.log.Add(*call)
	response := Response{
		Replica:   s.options.Name,
		Path:      call.Path,
		Status:    statusExecuted,
		Execution: s.totalExecutions,
	}
	s.responses[idempotencyKey] = response
	return response
}

func newCall(r *http.Request, key string) Call {
	return Call{
		At:        time.Now(),
		RequestID: r.Header.Get(engine.HeaderRequestID),
		Method:    r.Method,
		Path:      r.URL.Path,
		Key:       key,
		Header:    r.Header.Clone(),
	}
}
