package platform

import (
	"context"
	"slices"
	"sync"
	"time"

	"acaciapath.example/core/gen/usage"
)

// UsageReport is a usage report as it came in.
type UsageReport struct {
	// At is when the report came in.
	At time.Time `json:"at"`
	// Window is the start of the window in RFC 3339.
	Window string `json:"window"`
	// Fence is the fencing number of the report.
	Fence uint64 `json:"fence"`
	// Holder is the process that sent the report.
	Holder string `json:"holder"`
	// Lines are the figures of the window.
	Lines []UsageLine `json:"lines"`
}

// UsageLine is one figure of a usage report.
type UsageLine struct {
	// ClientAccount is the client account that is charged.
	ClientAccount string `json:"client-account"`
	// ServiceClass is the service class that the work ran in.
	ServiceClass string `json:"service-class"`
	// Model is the model, or plain service, that did the work.
	Model string `json:"model"`
	// Requests is the number of requests that ran.
	Requests uint64 `json:"requests"`
	// PromptTokens is the number of prompt tokens that were processed.
	PromptTokens uint64 `json:"prompt-tokens"`
	// CompletionTokens is the number of tokens that were generated.
	CompletionTokens uint64 `json:"completion-tokens"`
	// Amount is the charge in millionths of the currency unit.
	Amount int64 `json:"amount"`
}

// usageService accepts usage reports. It keeps all, also those that say again
// or otherwise what an earlier one said.
type usageService struct {
	server  *Server
	mu      sync.Mutex
	reports []UsageReport
}

var _ usage.Service = (*usageService)(nil)

// Report accepts the figures of one usage window.
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

// Reports returns all usage reports in the order in which they came in.
func (s *Server) Reports() []UsageReport {
	s.usage.mu.Lock()
	defer s.usage.mu.Unlock()
	return slices.Clone(s.usage.reports)
}
