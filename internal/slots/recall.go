package slots

// Recall asks a holder to keep no more than Target idle slots of an upstream,
// or, when it has fewer, to ask for more again.
type Recall struct {
	Upstream string
	Target   int
}
