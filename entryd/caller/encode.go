package caller

import (
	"context"
	"encoding/json"
	"errors"
	"net/http"

	"acaciapath.example/core/refusal"

	goahttp "goa.design/goa/v3/http"
)

// encodedRefusal is a refusal as goa's error encoder takes it.
type encodedRefusal struct {
	status int
	body   []byte
}

var (
	_ goahttp.Statuser = (*encodedRefusal)(nil)
	_ json.Marshaler   = (*encodedRefusal)(nil)
)

// StatusCode returns the HTTP status.
func (e *encodedRefusal) StatusCode() int { return e.status }

// MarshalJSON returns the body.
func (e *encodedRefusal) MarshalJSON() ([]byte, error) { return e.body, nil }

// FormatError turns an error of an endpoint into a refusal, for goa. An error
// that is not a refusal comes from the decoding of a request.
func FormatError(ctx context.Context, err error) goahttp.Statuser {
	var refused *refusal.Refusal
	if !errors.As(err, &refused) {
		refused = refusal.New(refusal.InvalidRequest, err.Error())
	}
	x := FromContext(ctx)
	x.refuse(refused)
	recorder := rawWriter{header: x.Header}
	refused.Write(&recorder, x.ID)
	return &encodedRefusal{status: recorder.status, body: recorder.body.Bytes()}
}

// Encoder returns goa's encoder of answers, which is always JSON.
func Encoder(_ context.Context, w http.ResponseWriter) goahttp.Encoder {
	if w.Header().Get("Content-Type") == "" {
		w.Header().Set("Content-Type", "application/json")
	}
	return json.NewEncoder(w)
}
