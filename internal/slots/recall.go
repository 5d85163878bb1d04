package slots

// Recall asks a holder to return idle slots of an upstream until it holds Target,
// or, if it holds fewer, to report again to get more.
type Recall struct {
	Upstream string
	Target   int
}
