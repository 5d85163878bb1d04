package maintenance

// Acknowledgement states that an entry acts on the records as of a revision of
// the store, and that all work that it sent by older records has ended.
type Acknowledgement struct {
	Entry    string
	Revision uint64
}
