package limit

// Budget limits retries to a fraction of the first attempts, as a token bucket
// that fills with requests instead of time.
type Budget struct {
	share, tokens, burst float64
}

// NewBudget returns a budget that gains share retries for each new request and
// stores up to burst of them. It starts full.
func NewBudget(share float64, burst int) *Budget {
	return &Budget{share: share, tokens: float64(burst), burst: float64(burst)}
}

// Deposit adds the share of one new request.
func (b *Budget) Deposit() { b.tokens = min(b.tokens+b.share, b.burst) }

// Spend takes one retry from the budget and reports whether one was left.
func (b *Budget) Spend() bool {
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}
