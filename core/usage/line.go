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
	// ErrMalformedRow is returned for a row whose content cannot be read.
	ErrMalformedRow = merry.Sentinel("usage: row is malformed")
	// ErrWindowClosed is returned when a part was refused by too many closed windows
	// in a row; it is kept and tried again.
	ErrWindowClosed = merry.Sentinel("usage: window is closed")
)

// Key says whom and what a figure is for.
type Key struct {
	// ClientAccount is the client account that is charged.
	ClientAccount string `json:"client-account"`
	// ServiceClass is the service class that the work ran in.
	ServiceClass string `json:"service-class"`
	// Model is the model, or the plain service, that did the work.
	Model string `json:"model"`
}

// Work is what ran.
type Work struct {
	// Requests is the number of requests.
	Requests uint64 `json:"requests"`
	// PromptTokens is the number of prompt tokens that were processed.
	PromptTokens uint64 `json:"prompt-tokens"`
	// CompletionTokens is the number of tokens that were generated.
	CompletionTokens uint64 `json:"completion-tokens"`
}

// Line is one figure of a part or a window.
type Line struct {
	Key
	Work
	// Amount is the charge in millionths of the currency unit.
	Amount int64 `json:"amount"`
}

// Sum returns the lines of all lists, one for each key, in the order of client
// account, service class and model.
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

// WindowStart returns the start of the window of the given length that holds
// now. length ≥ MinWindow.
func WindowStart(now time.Time, length time.Duration) time.Time {
	return now.UTC().Truncate(max(length, MinWindow)).Truncate(time.Second)
}
