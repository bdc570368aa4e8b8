package platform

import (
	"context"
	"slices"
	"sync"
	"time"

	"acaciapath.example/core/gen/usage"
)

// Report is a usage report as it came in.
type Report struct {
	// At is when the report came in.
	At time.Time `json:"at"`
	// Window is the start of the window in RFC 3339.
	Window string `json:"window"`
	// Fence is the fencing number of the report.
	Fence uint64 `json:"fence"`
	// Holder is the process that sent the report.
	Holder string `json:"holder"`
	// Lines are the figures of the window.
	Lines []usage.UsageLine `json:"lines"`
}

// usageService accepts usage reports. It keeps all, also those that say again
// or otherwise what an earlier one said.
type usageService struct {
	server  *Server
	mu      sync.Mutex
	reports []Report
}

var _ usage.Service = (*usageService)(nil)

// Report accepts the figures of one usage window.
func (u *usageService) Report(ctx context.Context, p *usage.ReportPayload) error {
	u.mu.Lock()
	defer u.mu.Unlock()
	report := Report{At: u.server.now(), Window: p.Window, Fence: p.Fence, Holder: p.Holder}
	for _, line := range p.Lines {
		report.Lines = append(report.Lines, *line)
	}
	u.reports = append(u.reports, report)
	u.server.record(ctx, Entry{ID: p.Window, Holder: p.Holder, Fence: p.Fence, Outcome: Done})
	return nil
}

// Reports returns all usage reports in the order in which they came in.
func (s *Server) Reports() []Report {
	s.usage.mu.Lock()
	defer s.usage.mu.Unlock()
	return slices.Clone(s.usage.reports)
}
