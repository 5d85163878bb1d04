package bench

// controlCost is what control work costs one entry on average; calls are those
// of the whole fleet.
type controlCost struct {
	cpuPercent    float64 // of one core
	residentMB    float64
	platformBytes float64 // a second
	peerBytes     float64 // a second
	platformCalls float64 // a second
}
