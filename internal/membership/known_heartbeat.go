package membership

// knownHeartbeat is the latest heartbeat that an entry sent whole.
type knownHeartbeat struct {
	state     uint64
	heartbeat Heartbeat
}
