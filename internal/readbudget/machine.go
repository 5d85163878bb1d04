package readbudget

// Machine is what a process may use in total; zero values are not known.
type Machine struct {
	MemoryBytes int64
	Descriptors int
}

// Shares of the machine, and bounds where the machine is not known.
const (
	bytesShare      = 8 // of the memory for bytes being read, which the process may hold twice
	memoryShare     = 8 // of the memory for connections
	callersShare    = 2 // of the descriptors; the rest is for workers, the store and what follows
	peersShare      = 8
	sideShare       = 16
	connectionBytes = 20 << 10 // memory of a connection without a request: buffers and stacks

	unknownBytes       = 64 << 20
	unknownConnections = 4096
	maxPeers           = 512
	maxSide            = 128
	minConnections     = 8
)

// Bytes returns how many bytes of requests may be held that are not whole.
func (m Machine) Bytes() int64 {
	if m.MemoryBytes <= 0 {
		return unknownBytes
	}
	return m.MemoryBytes / bytesShare
}

// Callers returns the most connections at the callers' listener.
func (m Machine) Callers() int {
	most := unknownConnections
	if m.MemoryBytes > 0 {
		most = min(most, int(m.MemoryBytes/memoryShare/connectionBytes))
	}
	return m.bounded(most, callersShare)
}

// Peers returns the most connections at the listener of other entries.
func (m Machine) Peers() int { return m.bounded(maxPeers, peersShare) }

// Side returns the most connections at a listener that few use: readiness, operators.
func (m Machine) Side() int { return m.bounded(maxSide, sideShare) }

func (m Machine) bounded(most, share int) int {
	if m.Descriptors > 0 {
		most = min(most, m.Descriptors/share)
	}
	return max(most, minConnections)
}
