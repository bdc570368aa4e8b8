package usage

// tokensPerPriceUnit is the number of tokens that a token price is for. It is also
// the factor between amounts in millionths of the currency unit and exact charges in
// millionths of a millionth.
const tokensPerPriceUnit = 1_000_000

// Price is the price of work.
type Price struct {
	// Prompt is the price of a million prompt tokens, in millionths of the
	// currency unit. Prompt ≥ 0.
	Prompt int64
	// Completion is the price of a million generated tokens, in millionths of
	// the currency unit. Completion ≥ 0.
	Completion int64
	// Call is the price of one request, in millionths of the currency unit.
	// Call ≥ 0.
	Call int64
}

// PicoCharge returns the exact charge for work, in millionths of a millionth
// (1e-12) of the currency unit.
func (p Price) PicoCharge(work Work) int64 {
	return p.Prompt*int64(work.PromptTokens) +
		p.Completion*int64(work.CompletionTokens) +
		p.Call*tokensPerPriceUnit*int64(work.Requests)
}
