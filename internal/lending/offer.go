package lending

// Offer is a machine that its pool can spare.
type Offer struct {
	Pool   string // that offers it
	Target string // the pool for which it was taken; empty: not taken
}
