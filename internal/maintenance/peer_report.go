package maintenance

// PeerReport is what another registered entry reported last.
type PeerReport struct {
	Entry          string
	Recent         bool // a heartbeat of it was received recently
	StoreReachable bool
	Revision       uint64 // of the latest change of the records on which it acts
}
