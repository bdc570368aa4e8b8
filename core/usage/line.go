package usage

import (
	"cmp"
	"slices"
	"time"

	"github.com/ansel1/merry/v2"
)

// MinWindow is the shortest usage window: starts are written in whole seconds.
const MinWindow = time.Second

// Errors of this package.
var (
	// ErrMalformedRow is returned for a row whose key or value cannot be decoded.
	ErrMalformedRow = merry.Sentinel("usage: row is malformed")
	// ErrWindowClosed is returned by Writer.Flush if a part was rejected by too
	// many closed windows in a row. The part is kept for the next Flush.
	ErrWindowClosed = merry.Sentinel("usage: part was rejected by too many closed windows")
)

// Key identifies what usage is accounted to.
type Key struct {
	// ClientAccount is the name of the client account that is charged.
	ClientAccount string `json:"client-account"`
	// ServiceClass is the name of the service class of the requests.
	ServiceClass string `json:"service-class"`
	// Model is the name of the model or plain service that served the requests.
	Model string `json:"model"`
}

// Work is a number of requests with the tokens that were processed for them.
type Work struct {
	// Requests is the number of requests.
	Requests uint64 `json:"requests"`
	// PromptTokens is the number of prompt tokens that were processed.
	PromptTokens uint64 `json:"prompt-tokens"`
	// CompletionTokens is the number of tokens that were generated.
	CompletionTokens uint64 `json:"completion-tokens"`
}

// Line is the work and the charge for one key in a part or a window.
type Line struct {
	Key
	Work
	// Amount is the charge in millionths of the currency unit.
	Amount int64 `json:"amount"`
}

// Sum merges lists of lines into one line for each key, sorted by client account,
// service class and model.
func Sum(lists ...[]Line) []Line {
	sums := make(map[Key]Line)
	for _, lines := range lists {
		for _, line := range lines {
			sum := sums[line.Key]
			sum.Key = line.Key
			sum.Requests += line.Requests
			sum.PromptTokens += line.PromptTokens
			sum.CompletionTokens += line.CompletionTokens
			sum.Amount += line.Amount
			sums[line.Key] = sum
		}
	}
	sorted := make([]Line, 0, len(sums))
	for _, line := range sums {
		sorted = append(sorted, line)
	}
	slices.SortFunc(sorted, func(a, b Line) int {
		return cmp.Or(
			cmp.Compare(a.ClientAccount, b.ClientAccount),
			cmp.Compare(a.ServiceClass, b.ServiceClass),
			cmp.Compare(a.Model, b.Model),
		)
	})
	return sorted
}

// WindowStart returns the start, in UTC, of the window of the given length that
// contains now. A length below MinWindow counts as MinWindow.
func WindowStart(now time.Time, length time.Duration) time.Time {
	return now.UTC().Truncate(max(length, MinWindow)).Truncate(time.Second)
}
