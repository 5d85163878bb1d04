package entry

// health is an entry's own state, as it reports it to peers and operators.
type health struct {
	leaving        bool
	storeReachable bool
	// currentByStore: the latest read of the configuration from the store
	// succeeded, and the store has not become unreachable since.
	currentByStore bool
	// currentByPeers: at least one peer answered the latest round of heartbeats,
	// and no peer that did has a newer configuration.
	currentByPeers bool
}

// current reports whether the entry would learn of a newer configuration, from
// the store or from a peer.
func (h health) current() bool { return h.currentByStore || h.currentByPeers }
