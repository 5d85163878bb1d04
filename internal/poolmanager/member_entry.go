package poolmanager

// memberEntry is a registered entry.
type memberEntry struct {
	address string  // at which other entries reach it; empty: unknown
	weight  float64 // the load that it can carry, in cores
	invalid bool    // its registration cannot be decoded: it may be no entry at all
}
