package maintenance

// PeerReport is what another registered entry reported last.
type PeerReport struct {
	Entry          string
	Recent         bool // its heartbeat was received lately
	StoreReachable bool
	Revision       uint64 // of the records that it acts on
}
