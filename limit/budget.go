package limit

// Budget lets retries be a share of fresh load.
type Budget struct {
	share, left, burst float64
}

// NewBudget returns a budget of share retries for each fresh request, of
// which up to burst may be saved. It begins with all of these.
func NewBudget(share float64, burst int) *Budget {
	return &Budget{share: share, left: float64(burst), burst: float64(burst)}
}

// Deposit notes a fresh request.
func (b *Budget) Deposit() { b.left = min(b.left+b.share, b.burst) }

// Spend takes one retry from the budget and reports whether there was one.
func (b *Budget) Spend() bool {
	if b.left < 1 {
		return false
	}
	b.left--
	return true
}
