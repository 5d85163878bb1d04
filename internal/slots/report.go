package slots

// Report is what a holder reports of one upstream to its home.
type Report struct {
	Upstream string // may be left out on the way to a home that knows it by Term
	Term     uint64 // the home's term as the holder knows it; 0: not yet
	Held     int    // slots the holder has, in use or not
	Need     int    // slots it could use for work within its guaranteed share
	Demand   int    // slots it could use
	Handover *Handover
}
