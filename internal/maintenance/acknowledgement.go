package maintenance

// Acknowledgement is an entry's word that it acts on the records as of a
// revision of the store, and that nothing older is still at work.
type Acknowledgement struct {
	Entry    string
	Revision uint64
}
