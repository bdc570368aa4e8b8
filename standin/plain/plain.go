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

// Paths by which tests control the service and read what it did.
const (
	// PathFaults takes fault.Faults.
	PathFaults = "/faults"
	// PathLog returns a record.Page of Call.
	PathLog = "/log"
)

// HeaderIdempotencyKey names the calls that are the same.
const HeaderIdempotencyKey = "Idempotency-Key"

// maxBody bounds the size of a request's body in bytes.
const maxBody = 1 << 20

// Options say how a Service behaves.
type Options struct {
	// Name is the name of the replica in its answers.
	Name string
	// ChecksIdempotency says whether a call with an Idempotency-Key that was
	// executed before is answered as then and not executed again.
	ChecksIdempotency bool
	// ExecutionTime is how long a call takes to execute.
	ExecutionTime time.Duration
	// LogLimit is the number of calls that the log keeps; see record.New.
	LogLimit int
	// Faults are the faults from the start.
	Faults fault.Faults
}

// Call is a call that reached the service, as it is logged.
type Call struct {
	// At is when the call was executed.
	At time.Time `json:"at"`
	// RequestID is the id that the request was sent with.
	RequestID string `json:"request-id"`
	// Method is the HTTP method.
	Method string `json:"method"`
	// Path is the path of the request.
	Path string `json:"path"`
	// Key is the Idempotency-Key, or the hash of the body if there is none.
	Key string `json:"key"`
	// Executions is how often the service executed calls with the key, this
	// one included; 0 for a call that only reads.
	Executions int `json:"executions"`
	// Replayed says whether the call was answered as an earlier one.
	Replayed bool `json:"repeated"`
	// Header is the header that the request came with.
	Header http.Header `json:"header"`
}

// Response is the body of every answer.
type Response struct {
	// Replica is the name of the replica.
	Replica string `json:"replica"`
	// Path is the path of the request.
	Path string `json:"path"`
	// Status is what became of the call.
	Status string `json:"status"`
	// Execution is the number of the execution, from 1; 0 for a call that only
	// reads.
	Execution int `json:"execution,omitempty"`
}

// Values of Answer.Status.
const (
	statusExecuted = "executed"
	statusFound    = "found"
)

// Service is a replica of a plain service. It is safe for concurrent use.
type Service struct {
	options Options
	faults  *fault.Injector
	http    *serve.Server
	log     *record.Log[Call]

	mu       sync.Mutex
	executed int
	counts   map[string]int      // executions by key
	answers  map[string]Response // by Idempotency-Key
}

// New returns a service that is not started.
func New(options Options) *Service {
	s := &Service{
		options: options,
		faults:  fault.NewInjector(),
		log:     record.New[Call](options.LogLimit),
		counts:  make(map[string]int),
		answers: make(map[string]Response),
	}
	s.faults.Set(options.Faults)
	s.http = serve.New(s.handler())
	return s
}

// Start serves on address, an IP number and a port; port 0 takes any free one.
func (s *Service) Start(address string) error { return s.http.Start(address) }

// Address returns the IP number and port that Start bound.
func (s *Service) Address() string { return s.http.Address() }

// Close ends the service and all its connections at once.
func (s *Service) Close() error {
	s.faults.Close()
	return s.http.Close()
}

// SetFaults replaces the faults. A crash before executing is a lost request, a
// crash after it a lost reply.
func (s *Service) SetFaults(f fault.Faults) { s.faults.Set(f) }

// Injector returns the Injector of the service.
func (s *Service) Injector() *fault.Injector { return s.faults }

// Log returns the log of the calls.
func (s *Service) Log() *record.Log[Call] { return s.log }

// Executions returns how often calls with the Idempotency-Key were executed.
func (s *Service) Executions(key string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.counts[key]
}

// TotalExecutions returns the number of all executions.
func (s *Service) TotalExecutions() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.executed
}

func (s *Service) handler() http.Handler {
	served := http.NewServeMux()
	served.HandleFunc("GET /", s.read)
	served.HandleFunc("POST /", s.execute)
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

// read answers a call that only reads.
func (s *Service) read(w http.ResponseWriter, r *http.Request) {
	s.log.Add(newCall(r, ""))
	fault.WriteJSON(w, http.StatusOK, Response{Replica: s.options.Name, Path: r.URL.Path, Status: statusFound})
}

// execute executes a call. It goes on when the caller has given up.
func (s *Service) execute(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBody))
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	time.Sleep(s.options.ExecutionTime)
	given := r.Header.Get(HeaderIdempotencyKey)
	call := newCall(r, given)
	if given == "" {
		sum := sha256.Sum256(body)
		call.Key = hex.EncodeToString(sum[:])
	}
	answer := s.count(&call, given)
	fault.WriteJSON(w, http.StatusOK, answer)
}

// count executes a call unless it is to be answered as an earlier one.
func (s *Service) count(call *Call, given string) Response {
	s.mu.Lock()
	defer s.mu.Unlock()
	before, known := s.answers[given]
	if known && given != "" && s.options.ChecksIdempotency {
		call.Replayed = true
		call.Executions = s.counts[call.Key]
		s.log.Add(*call)
		return before
	}
	s.executed++
	s.counts[call.Key]++
	call.Executions = s.counts[call.Key]
	s.log.Add(*call)
	answer := Response{
		Replica:   s.options.Name,
		Path:      call.Path,
		Status:    statusExecuted,
		Execution: s.executed,
	}
	s.answers[given] = answer
	return answer
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
