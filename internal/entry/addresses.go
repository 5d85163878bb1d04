package entry

// Addresses holds the addresses on which an entry listens, as HOST:PORT.
type Addresses struct {
	Callers   string
	Operators string
	Peers     string
}
