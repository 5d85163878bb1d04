package entry

// health is what an entry knows of its own state.
type health struct {
	leaving        bool
	storeReachable bool
	// currentByStore: the latest look at the store's configuration succeeded,
	// and nothing since says that the store is out of reach.
	currentByStore bool
	// currentByPeers: one peer at least answered the latest round of
	// heartbeats, and none that did has a newer configuration.
	currentByPeers bool
}

// current reports whether the entry would know of a newer configuration.
func (h health) current() bool { return h.currentByStore || h.currentByPeers }
