package crashreports

import (
	"encoding/json"
	"strconv"
	"strings"
	"time"

	"acaciapath.example/core/quarantine"

	"github.com/ansel1/merry/v2"
)

// Prefixes of the keys of rows. The name of a VM, or the hexadecimal id of a part, follows.
const (
	reportPrefix     = "report/"
	quarantinePrefix = "quarantine/"
)

// errInvalidRow is returned for a row that cannot be read.
var errInvalidRow = merry.Sentinel("crashreports: invalid row")

// storedReport is the value of a row with a report.
type storedReport struct {
	Crashes   []storedCrash `json:"crashes,omitempty"`
	SoundRuns []storedRun   `json:"sound-runs,omitempty"`
}

// storedCrash is a crash under a part or a whole request.
type storedCrash struct {
	Part   string `json:"part"`
	Depth  int    `json:"depth"`
	Whole  bool   `json:"whole,omitempty"`
	Server string `json:"server"`
	AtMS   int64  `json:"at-ms"`
}

// storedRun is the latest begin of a sound run with a part.
type storedRun struct {
	Part    string `json:"part"`
	BeganMS int64  `json:"began-ms"`
}

// storedQuarantine is the value of the row of a quarantined part or request.
type storedQuarantine struct {
	Whole   bool   `json:"whole,omitempty"`
	FirstMS int64  `json:"first-ms"`
	Crashes int    `json:"crashes"`
	SinceMS int64  `json:"since-ms"`
	UntilMS int64  `json:"until-ms"`
	HoldMS  int64  `json:"hold-ms"`
	Trial   string `json:"trial,omitempty"`
}

// formatPart returns the id of a part in hexadecimal form.
func formatPart(id uint64) string { return strconv.FormatUint(id, 16) }

// encodeReport returns the value of the row for a report.
func encodeReport(r quarantine.Report) ([]byte, error) {
	var s storedReport
	for _, a := range r.Accusations {
		s.Crashes = append(s.Crashes, storedCrash{Part: formatPart(a.Part.ID), Depth: a.Part.Depth, Whole: a.Part.Whole, Server: a.Server, AtMS: a.At.UnixMilli()})
	}
	for _, run := range r.SoundRuns {
		s.SoundRuns = append(s.SoundRuns, storedRun{Part: formatPart(run.Part), BeganMS: run.Began.UnixMilli()})
	}
	return json.Marshal(s)
}

// parseReport parses the value of a row with a report.
func parseReport(data []byte) (quarantine.Report, error) {
	var s storedReport
	var r quarantine.Report
	if err := json.Unmarshal(data, &s); err != nil {
		return r, merry.Wrap(errInvalidRow, merry.WithCause(err))
	}
	for _, c := range s.Crashes {
		id, err := strconv.ParseUint(c.Part, 16, 64)
		if err != nil || c.Server == "" {
			return r, merry.Wrap(errInvalidRow, merry.AppendMessagef("crash of %q under %q", c.Server, c.Part))
		}
		r.Accusations = append(r.Accusations, quarantine.Accusation{
			Part: quarantine.Part{ID: id, Depth: c.Depth, Whole: c.Whole}, Server: c.Server, At: time.UnixMilli(c.AtMS),
		})
	}
	for _, run := range s.SoundRuns {
		id, err := strconv.ParseUint(run.Part, 16, 64)
		if err != nil {
			return r, merry.Wrap(errInvalidRow, merry.AppendMessagef("sound run of %q", run.Part))
		}
		r.SoundRuns = append(r.SoundRuns, quarantine.SoundRun{Part: id, Began: time.UnixMilli(run.BeganMS)})
	}
	return r, nil
}

// encodeQuarantine returns the value of the row for a quarantined part.
func encodeQuarantine(q quarantine.Quarantine) ([]byte, error) {
	return json.Marshal(storedQuarantine{
		Whole: q.Whole, FirstMS: q.First.UnixMilli(), Crashes: q.Crashes, SinceMS: q.Since.UnixMilli(), UntilMS: q.Until.UnixMilli(),
		HoldMS: q.Hold.Milliseconds(), Trial: q.Trial,
	})
}

// parseQuarantineKey returns the part in the key of a row, and whether it is the row of a
// quarantined part.
func parseQuarantineKey(key string) (uint64, bool) {
	id, ok := strings.CutPrefix(key, quarantinePrefix)
	if !ok {
		return 0, false
	}
	part, err := strconv.ParseUint(id, 16, 64)
	return part, err == nil
}

// parseQuarantine parses the value of the row of a quarantined part.
func parseQuarantine(part uint64, data []byte) (quarantine.Quarantine, error) {
	var s storedQuarantine
	if err := json.Unmarshal(data, &s); err != nil {
		return quarantine.Quarantine{}, merry.Wrap(errInvalidRow, merry.WithCause(err))
	}
	if s.HoldMS <= 0 || s.UntilMS <= 0 {
		return quarantine.Quarantine{}, merry.Wrap(errInvalidRow, merry.AppendMessage("no positive hold or end"))
	}
	return quarantine.Quarantine{
		Part: part, Whole: s.Whole, First: time.UnixMilli(s.FirstMS), Crashes: s.Crashes, Since: time.UnixMilli(s.SinceMS),
		Until: time.UnixMilli(s.UntilMS), Hold: time.Duration(s.HoldMS) * time.Millisecond, Trial: s.Trial,
	}, nil
}
