package membership

// Registration states where an entry listens. The entry writes it to the platform's
// store, bound to its lease, and sends it to peers that do not know the entry.
type Registration struct {
	ID               EntryID `json:"id"`
	PeerAddress      string  `json:"peerAddress"`
	OperatorAddress  string  `json:"operatorAddress"`
	AvailabilityZone string  `json:"availabilityZone"`
}
