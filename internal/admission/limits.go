package admission

// Limits bounds what waits for one service on one entry.
type Limits struct {
	Requests int // that wait at once
	Bytes    int // of their bodies
}

// DefaultLimits are the bounds of an entry.
var DefaultLimits = Limits{Requests: 4096, Bytes: 64 << 20}
