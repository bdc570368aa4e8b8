package origin

import (
	"cmp"
	"crypto/sha256"
	"encoding/binary"
	"slices"
	"time"
)

// Stream identifies a stream.
type Stream uint64

// StreamID returns the id of the stream of a client account whose first event was the answer
// to the attempt with the given id.
func StreamID(account, attemptID string) Stream {
	sum := sha256.Sum256([]byte(account + "\x00" + attemptID))
	return Stream(binary.LittleEndian.Uint64(sum[:]))
}

// Report is what one daemon tells the others. It replaces its earlier reports.
type Report struct {
	// At is when it was written, by the wall clock of the daemon's VM.
	At time.Time
	// Services has the versions of the servers of each service with streams that were in
	// service lately.
	Services map[string]map[string]Reported
}

// Reported is what a daemon tells of a version.
type Reported struct {
	// Open states that streams can begin at the version that are not in the report.
	Open bool
	// Streams are those that the version began and that may be taken up again.
	Streams []Stream
}

// find returns the origin of a stream, if the report has it.
func (r Report) find(stream Stream) (Origin, bool) {
	for service, versions := range r.Services {
		for version, reported := range versions {
			if slices.Contains(reported.Streams, stream) {
				return Origin{Service: service, Version: version}, true
			}
		}
	}
	return Origin{}, false
}

// Outdated reports whether a report has versions that are not among the given ones of their
// service and is so old that its daemon is gone, or has nothing to tell about them.
func (r Report) Outdated(versions map[string][]Version, now time.Time) bool {
	if now.Sub(r.At) < outdatedAfter {
		return false
	}
	for service, known := range versions {
		for version := range r.Services[service] {
			if !slices.ContainsFunc(known, func(v Version) bool { return v.Name == version }) {
				return true
			}
		}
	}
	return false
}

// Report returns what others need to know. Beyond maxReported streams, the latest are kept.
func (l *Ledger) Report(now time.Time) Report {
	l.expire(now)
	r := Report{At: now, Services: make(map[string]map[string]Reported)}
	for service, versions := range l.StreamingVersions(now) {
		r.Services[service] = make(map[string]Reported)
		for _, v := range versions {
			r.Services[service][v.Name] = Reported{Open: v.Open}
		}
	}
	var reported []Stream
	for stream, s := range l.streams {
		if !s.complete && !l.IsSettled(s.Service, now) {
			reported = append(reported, stream)
		}
	}
	slices.SortFunc(reported, func(a, b Stream) int {
		return cmp.Or(l.streams[b].at.Compare(l.streams[a].at), cmp.Compare(a, b))
	})
	for _, stream := range reported[:min(len(reported), maxReported)] {
		s := l.streams[stream]
		reported := r.Services[s.Service][s.Version]
		reported.Streams = append(reported.Streams, stream)
		r.Services[s.Service][s.Version] = reported
	}
	return r
}

// Merge adds the report of this VM from before a restart. Streams that began after it are not
// known.
func (l *Ledger) Merge(r Report, now time.Time) {
	for service, versions := range r.Services {
		l.streaming[service] = true
		for version, reported := range versions {
			o := Origin{Service: service, Version: version}
			l.markSeen(service, version, now)
			if reported.Open {
				l.inherited[o] = now
			}
			for _, stream := range reported.Streams {
				if _, known := l.streams[stream]; !known {
					l.add(stream, &progress{Origin: o, at: now})
				}
			}
		}
	}
}
