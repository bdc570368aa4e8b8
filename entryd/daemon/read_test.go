package daemon_test

import (
	"context"
	"encoding/json"
	"io"
	"net/http"

	"acaciapath.example/core/gen/table"

	qt "github.com/frankban/quicktest"
)

// rows returns the values of the rows in the platform's table whose keys have
// the given prefix.
func (s *system) rows(prefix string) [][]byte {
	rows, err := s.platform.Client("operator").Table.List(context.Background(), &table.ListPayload{Prefix: prefix, Limit: 1000})
	s.c.Assert(err, qt.IsNil)
	values := make([][]byte, len(rows))
	for i, row := range rows {
		values[i] = row.Value
	}
	return values
}

// decode decodes a JSON message.
func decode[T any](c *qt.C, data []byte) T {
	var message T
	c.Assert(json.Unmarshal(data, &message), qt.IsNil, qt.Commentf("%s", data))
	return message
}

// stream is a streamed answer that is being read.
type stream struct {
	response *http.Response
	text     []byte
}

// openStream sends a request and returns its stream after the first bytes have
// been received.
func (s *system) openStream(ctx context.Context, r *http.Request) *stream {
	response, err := http.DefaultClient.Do(r.WithContext(ctx))
	s.c.Assert(err, qt.IsNil)
	s.c.Assert(response.StatusCode, qt.Equals, http.StatusOK)
	opened := &stream{response: response, text: make([]byte, 4096)}
	n, err := response.Body.Read(opened.text)
	s.c.Assert(err, qt.IsNil)
	opened.text = opened.text[:n]
	return opened
}

// readRest returns the complete text of the stream.
func (s *stream) readRest() (string, error) {
	defer s.response.Body.Close()
	rest, err := io.ReadAll(s.response.Body)
	return string(s.text) + string(rest), err
}
