package entry

// health is what an entry knows of its own state.
type health struct {
	leaving        bool
	storeReachable bool
	peerReachable  bool // one peer at least answered the latest heartbeats
}
