package slots

// Loan is the reply of an entry to one Report.
type Loan struct {
	Upstream    string
	Home        bool   // the replying entry is the home; else the holder reports again later
	TermUnknown bool   // the report named no upstream and its term is unknown; the next one must name it
	Term        uint64 // the home's term
	Granted     int    // slots lent in addition to the reported ones
	Settled     bool   // the home knows all earlier loans, so it lends
}
