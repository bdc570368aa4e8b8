package origins

import (
	"encoding/binary"
	"encoding/json"
	"time"

	"acaciapath.example/core/origin"

	"github.com/ansel1/merry/v2"
)

// rowPrefix precedes the name of a VM in the key of its row.
const rowPrefix = "stream-origins/"

// streamBytes is the encoded size of a stream.
const streamBytes = 8

// errInvalidRow is returned for a row that cannot be read.
var errInvalidRow = merry.Sentinel("origins: invalid row")

// storedReport is the value of a row.
type storedReport struct {
	AtMS     int64                               `json:"at-ms"`
	Services map[string]map[string]storedVersion `json:"services"`
}

// storedVersion is what a row tells of a version. Streams are encoded one after the other, in
// little-endian order.
type storedVersion struct {
	Open    bool   `json:"open,omitempty"`
	Streams []byte `json:"streams,omitempty"`
}

// encodeReport returns the value of the row for a report.
func encodeReport(r origin.Report) ([]byte, error) {
	s := storedReport{AtMS: r.At.UnixMilli(), Services: make(map[string]map[string]storedVersion)}
	for service, versions := range r.Services {
		s.Services[service] = make(map[string]storedVersion)
		for version, reported := range versions {
			stored := storedVersion{Open: reported.Open}
			for _, stream := range reported.Streams {
				stored.Streams = binary.LittleEndian.AppendUint64(stored.Streams, uint64(stream))
			}
			s.Services[service][version] = stored
		}
	}
	return json.Marshal(s)
}

// parseReport parses the value of a row.
func parseReport(data []byte) (origin.Report, error) {
	var s storedReport
	if err := json.Unmarshal(data, &s); err != nil {
		return origin.Report{}, merry.Wrap(errInvalidRow, merry.WithCause(err))
	}
	r := origin.Report{At: time.UnixMilli(s.AtMS), Services: make(map[string]map[string]origin.Reported)}
	for service, versions := range s.Services {
		r.Services[service] = make(map[string]origin.Reported)
		for version, stored := range versions {
			encoded := stored.Streams
			if len(encoded)%streamBytes != 0 {
				return origin.Report{}, merry.Wrap(errInvalidRow, merry.AppendMessagef("%d bytes of streams of version %q", len(encoded), version))
			}
			streams := make([]origin.Stream, 0, len(encoded)/streamBytes)
			for ; len(encoded) > 0; encoded = encoded[streamBytes:] {
				streams = append(streams, origin.Stream(binary.LittleEndian.Uint64(encoded)))
			}
			r.Services[service][version] = origin.Reported{Open: stored.Open, Streams: streams}
		}
	}
	return r, nil
}
