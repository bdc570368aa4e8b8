package caller

import (
	"context"
	"encoding/json"
	"errors"
	"net/http"

	"acaciapath.example/core/refusal"

	goahttp "goa.design/goa/v3/http"
)

// encodedRefusal is a refusal in the form that goa's error encoder expects.
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

// FormatError converts an error of an endpoint to a refusal, for goa. An error
// that is not a refusal comes from decoding the request.
func FormatError(ctx context.Context, err error) goahttp.Statuser {
	var refused *refusal.Refusal
	if !errors.As(err, &refused) {
		refused = refusal.New(refusal.InvalidRequest, err.Error())
	}
	x := FromContext(ctx)
	x.recordRefusal(refused)
	recorder := responseBuffer{header: x.Header}
	refused.Write(&recorder, x.ID)
	return &encodedRefusal{status: recorder.status, body: recorder.body.Bytes()}
}

// Encoder returns the encoder of answers for goa, which always writes JSON.
func Encoder(_ context.Context, w http.ResponseWriter) goahttp.Encoder {
	if w.Header().Get("Content-Type") == "" {
		w.Header().Set("Content-Type", "application/json")
	}
	return json.NewEncoder(w)
}
