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

// maxWeight bounds the weight of a version in a plan that is read.
const maxWeight = 1000

// errInvalidRow is returned for a row that cannot be read.
var errInvalidRow = merry.Sentinel("origins: invalid row")

// lanePlanTime is how long the plan of another lane counts after the row was written. Daemons of
// earlier builds have several plans for a service.
const lanePlanTime = 24 * time.Hour

// storedReport is the value of a row.
type storedReport struct {
	AtMS       int64             `json:"at-ms"`
	EndedMS    int64             `json:"ended-ms,omitempty"`
	Epoch      uint64            `json:"epoch,omitempty"`
	Groups     []storedGroup     `json:"groups"`
	Exceptions []storedException `json:"exceptions,omitempty"`
}

// storedGroup is the report of the plan of a service.
type storedGroup struct {
	Service string             `json:"service"`
	Plan    []storedShare      `json:"plan"`
	SinceMS int64              `json:"since-ms"`
	Former  []storedFormerPlan `json:"former,omitempty"`
}

// storedShare is a share of a plan.
type storedShare struct {
	Version string `json:"version"`
	Weight  int    `json:"weight"`
}

// storedFormerPlan is a former plan.
type storedFormerPlan struct {
	Plan    []storedShare `json:"plan"`
	UntilMS int64         `json:"until-ms"`
}

// storedException has the streams that began at an origin. They are encoded one after the
// other, in little-endian order.
type storedException struct {
	Service string `json:"service"`
	Version string `json:"version"`
	Streams []byte `json:"streams"`
}

// encodeReport returns the value of the row for a report.
func encodeReport(r origin.Report) ([]byte, error) {
	s := storedReport{AtMS: r.At.UnixMilli(), Epoch: r.Epoch}
	if !r.EndedAt.IsZero() {
		s.EndedMS = r.EndedAt.UnixMilli()
	}
	for service, known := range r.Plans {
		stored := storedGroup{Service: service, Plan: encodePlan(known.Plan), SinceMS: known.Since.UnixMilli()}
		for _, former := range known.Former {
			stored.Former = append(stored.Former, storedFormerPlan{Plan: encodePlan(former.Plan), UntilMS: former.Until.UnixMilli()})
		}
		s.Groups = append(s.Groups, stored)
	}
	for o, streams := range r.Exceptions {
		stored := storedException{Service: o.Service, Version: o.Version}
		for _, stream := range streams {
			stored.Streams = binary.LittleEndian.AppendUint64(stored.Streams, uint64(stream))
		}
		s.Exceptions = append(s.Exceptions, stored)
	}
	return json.Marshal(s)
}

// encodePlan returns the stored form of a plan.
func encodePlan(p origin.Plan) []storedShare {
	shares := make([]storedShare, len(p))
	for i, share := range p {
		shares[i] = storedShare{Version: share.Version, Weight: share.Weight}
	}
	return shares
}

// parseReport parses the value of a row.
func parseReport(data []byte) (origin.Report, error) {
	var s storedReport
	if err := json.Unmarshal(data, &s); err != nil {
		return origin.Report{}, merry.Wrap(errInvalidRow, merry.WithCause(err))
	}
	r := origin.Report{
		At: time.UnixMilli(s.AtMS), Epoch: s.Epoch, Plans: make(map[string]origin.PlanReport), Exceptions: make(map[origin.Origin][]origin.Stream),
	}
	if s.EndedMS > 0 {
		r.EndedAt = time.UnixMilli(s.EndedMS)
	}
	for _, stored := range s.Groups {
		plan, err := parsePlan(stored.Plan)
		if err != nil {
			return origin.Report{}, err
		}
		known, again := r.Plans[stored.Service]
		if again {
			known.Former = append(known.Former, origin.FormerPlan{Plan: plan, Until: r.At.Add(lanePlanTime)})
		} else {
			known.Plan, known.Since = plan, time.UnixMilli(stored.SinceMS)
		}
		for _, former := range stored.Former {
			if plan, err = parsePlan(former.Plan); err != nil {
				return origin.Report{}, err
			}
			known.Former = append(known.Former, origin.FormerPlan{Plan: plan, Until: time.UnixMilli(former.UntilMS)})
		}
		r.Plans[stored.Service] = known
	}
	for _, stored := range s.Exceptions {
		encoded := stored.Streams
		if len(encoded)%streamBytes != 0 {
			return origin.Report{}, merry.Wrap(errInvalidRow, merry.AppendMessagef("%d bytes of streams of version %q", len(encoded), stored.Version))
		}
		streams := make([]origin.Stream, 0, len(encoded)/streamBytes)
		for ; len(encoded) > 0; encoded = encoded[streamBytes:] {
			streams = append(streams, origin.Stream(binary.LittleEndian.Uint64(encoded)))
		}
		r.Exceptions[origin.Origin{Service: stored.Service, Version: stored.Version}] = streams
	}
	return r, nil
}

// parsePlan parses a plan.
func parsePlan(shares []storedShare) (origin.Plan, error) {
	p := make(origin.Plan, len(shares))
	for i, share := range shares {
		if share.Weight <= 0 || share.Weight > maxWeight {
			return nil, merry.Wrap(errInvalidRow, merry.AppendMessagef("weight %d of version %q", share.Weight, share.Version))
		}
		p[i] = origin.Share{Version: share.Version, Weight: share.Weight}
	}
	return p, nil
}
