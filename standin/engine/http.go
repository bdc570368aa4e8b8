package engine

import (
	"encoding/json"
	"net/http"
	"slices"
	"strconv"

	"acaciapath.example/core/engine"
	"acaciapath.example/standin/fault"
	"acaciapath.example/standin/record"
)

// Paths with which tests control the engine and read its logs.
const (
	// PathFaults accepts a Faults, which replaces the current faults.
	PathFaults = "/faults"
	// PathLog returns a Logs.
	PathLog = "/log"
)

// pathModels returns the list of loaded models.
const pathModels = "/v1/models"

// maxBodyBytes is the maximum size of a request body.
const maxBodyBytes = 16 << 20

// Logs are the logs of an engine.
type Logs struct {
	// Runs are the ended chat requests.
	Runs record.Page[RunEntry] `json:"runs"`
	// Orders are the received orders.
	Orders record.Page[OrderEntry] `json:"orders"`
}

// handler returns the HTTP handler of the engine.
func (e *Engine) handler() http.Handler {
	served := http.NewServeMux()
	served.HandleFunc("POST "+engine.PathChat, e.serveChat)
	served.HandleFunc("GET "+pathModels, e.serveModels)
	served.HandleFunc("GET "+engine.PathLoad, e.serveLoad)
	served.HandleFunc("GET "+engine.PathCacheEvents, e.serveCacheEvents)
	served.HandleFunc("POST "+engine.PathCancel, e.serveCancel)
	served.HandleFunc("POST "+engine.PathOrders, e.serveOrders)
	refuse := func(w http.ResponseWriter, _ *http.Request) { errNotStarted.send(w) }

	mux := http.NewServeMux()
	mux.Handle("/", fault.Handler(e.faults, served, refuse))
	mux.Handle("POST "+PathFaults, fault.ControlHandler(func(f Faults) error {
		e.SetFaults(f)
		return nil
	}))
	mux.HandleFunc("GET "+PathLog, func(w http.ResponseWriter, _ *http.Request) {
		fault.WriteJSON(w, http.StatusOK, Logs{Runs: e.runs.Page(0), Orders: e.orders.Page(0)})
	})
	return mux
}

func (e *Engine) serveModels(w http.ResponseWriter, _ *http.Request) {
	e.mu.Lock()
	models := slices.Clone(e.models)
	e.mu.Unlock()
	listed := modelList{Object: objectList, Data: []modelItem{}}
	for _, model := range models {
		listed.Data = append(listed.Data, modelItem{ID: model, Object: objectModel, OwnedBy: "standin"})
	}
	fault.WriteJSON(w, http.StatusOK, listed)
}

func (e *Engine) serveLoad(w http.ResponseWriter, _ *http.Request) {
	e.mu.Lock()
	load := e.loads.published(e.now())
	e.mu.Unlock()
	fault.WriteJSON(w, http.StatusOK, load)
}

func (e *Engine) serveCacheEvents(w http.ResponseWriter, r *http.Request) {
	after, _ := strconv.ParseUint(r.URL.Query().Get("after"), 10, 64)
	e.mu.Lock()
	found := e.events.after(after, e.now())
	e.mu.Unlock()
	fault.WriteJSON(w, http.StatusOK, engine.CacheEvents{Events: found})
}

func (e *Engine) serveCancel(w http.ResponseWriter, r *http.Request) {
	var c engine.Cancel
	if !decode(w, r, &c) {
		return
	}
	fault.WriteJSON(w, http.StatusOK, e.cancel(c.RequestID))
}

func (e *Engine) serveOrders(w http.ResponseWriter, r *http.Request) {
	var o engine.Order
	if !decode(w, r, &o) {
		return
	}
	result, err := e.order(o)
	if err != nil {
		invalidRequestError(http.StatusBadRequest, "invalid_order", err.Error()).send(w)
		return
	}
	status := http.StatusOK
	if !result.Applied {
		status = http.StatusConflict
	}
	fault.WriteJSON(w, status, result)
}

// decode decodes the JSON body of a request into message. If the body is
// invalid, decode sends an error response and reports false.
func decode(w http.ResponseWriter, r *http.Request, message any) bool {
	err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBodyBytes)).Decode(message)
	if err != nil {
		invalidRequestError(http.StatusBadRequest, "invalid_json", err.Error()).send(w)
		return false
	}
	return true
}
