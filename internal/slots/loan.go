package slots

// Loan is the home's answer to one Item.
type Loan struct {
	Upstream    string
	Home        bool   // the asked entry is the home; else ask again later
	TermUnknown bool   // the item named no upstream and its term is not known here; report anew
	Term        uint64 // the home's term
	Granted     int    // slots lent on top of what was held
	Settled     bool   // the home knows all holders, so it lends
}
