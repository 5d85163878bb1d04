package entry

// Addresses are where an entry listens, as HOST:PORT.
type Addresses struct {
	Callers   string
	Operators string
	Peers     string
}
