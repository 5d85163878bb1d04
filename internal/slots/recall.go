package slots

// Recall asks a holder to keep no more than Target idle slots of an upstream.
type Recall struct {
	Upstream string
	Target   int
}
