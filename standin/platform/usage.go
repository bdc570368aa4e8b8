package platform

import (
	"context"
	"slices"
	"sync"
	"time"

	"acaciapath.example/core/gen/usage"
)

// UsageReport is a received usage report.
type UsageReport struct {
	// At is when the report was received.
	At time.Time `json:"at"`
	// Window is the start of the usage window in RFC 3339 format.
	Window string `json:"window"`
	// Fence is the fencing token of the report.
	Fence uint64 `json:"fence"`
	// Holder is the process that sent the report.
	Holder string `json:"holder"`
	// Lines are the charges for the window.
	Lines []UsageLine `json:"lines"`
}

// UsageLine is one line of a usage report.
type UsageLine struct {
	// ClientAccount is the client account that is charged.
	ClientAccount string `json:"client-account"`
	// ServiceClass is the service class of the requests.
	ServiceClass string `json:"service-class"`
	// Model is the model or plain service that executed the requests.
	Model string `json:"model"`
	// Requests is the number of executed requests.
	Requests uint64 `json:"requests"`
	// PromptTokens is the number of processed prompt tokens.
	PromptTokens uint64 `json:"prompt-tokens"`
	// CompletionTokens is the number of generated tokens.
	CompletionTokens uint64 `json:"completion-tokens"`
	// Amount is the charge in millionths of the currency unit.
	Amount int64 `json:"amount"`
}

// usageService accepts usage reports. It keeps every report, including those that
// repeat or contradict an earlier report for the same window.
type usageService struct {
	server  *Server
	mu      sync.Mutex // guards the field below
	reports []UsageReport
}

var _ usage.Service = (*usageService)(nil)

// Report accepts the report for one usage window.
func (u *usageService) Report(ctx context.Context, p *usage.ReportPayload) error {
	u.mu.Lock()
	defer u.mu.Unlock()
	report := UsageReport{At: u.server.now(), Window: p.Window, Fence: p.Fence, Holder: p.Holder}
	for _, line := range p.Lines {
		report.Lines = append(report.Lines, UsageLine(*line))
	}
	u.reports = append(u.reports, report)
	u.server.record(ctx, LogEntry{ID: p.Window, Holder: p.Holder, Fence: p.Fence, Outcome: Done})
	return nil
}

// UsageReports returns all usage reports in the order in which they were received.
func (s *Server) UsageReports() []UsageReport {
	s.usage.mu.Lock()
	defer s.usage.mu.Unlock()
	return slices.Clone(s.usage.reports)
}
