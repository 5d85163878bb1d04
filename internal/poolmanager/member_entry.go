package poolmanager

// memberEntry is an entry that is alive.
type memberEntry struct {
	address string  // on which other entries reach it; empty: not told
	weight  float64 // what it can carry, in cores
	invalid bool    // its record is not understood: it may be no entry at all
}
