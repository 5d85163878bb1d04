package maintenance

// PeerWord is what another registered entry last told.
type PeerWord struct {
	Entry          string
	Fresh          bool // heard lately
	StoreReachable bool
	Revision       uint64 // of the records that it acts on
}
