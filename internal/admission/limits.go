package admission

// Limits bounds the requests that wait for one service on one entry.
type Limits struct {
	Requests int // number of waiting requests
	Bytes    int // total size of their bodies
}

// DefaultLimits are the limits in use on an entry.
var DefaultLimits = Limits{Requests: 4096, Bytes: 64 << 20}
