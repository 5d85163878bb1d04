package bench

// usage is what entries have used since their start; resident memory is that
// of now.
type usage struct {
	cpuSeconds    float64
	residentKB    int64
	platformBytes int64
	peerBytes     int64 // that came in at the peers' listener, and the answers
	platformCalls uint64
}

func (u usage) plus(v usage) usage {
	return usage{
		cpuSeconds:    u.cpuSeconds + v.cpuSeconds,
		residentKB:    u.residentKB + v.residentKB,
		platformBytes: u.platformBytes + v.platformBytes,
		peerBytes:     u.peerBytes + v.peerBytes,
		platformCalls: u.platformCalls + v.platformCalls,
	}
}
