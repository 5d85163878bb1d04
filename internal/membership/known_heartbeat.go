package membership

// knownHeartbeat is the latest full heartbeat of an entry, with its state.
type knownHeartbeat struct {
	state     uint64
	heartbeat Heartbeat
}
