package bench

// listeningLine is an entry's log line that tells its addresses.
type listeningLine struct {
	Message   string `json:"msg"`
	Operators string `json:"operators"`
}
