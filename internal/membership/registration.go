package membership

// Registration is what an entry writes of itself into the platform's store,
// bound to its lease, and tells peers that do not know it.
type Registration struct {
	ID               EntryID `json:"id"`
	PeerAddress      string  `json:"peerAddress"`
	OperatorAddress  string  `json:"operatorAddress"`
	AvailabilityZone string  `json:"availabilityZone"`
}
