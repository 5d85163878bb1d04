package slots

// Report is what a holder reports of one upstream to its home.
type Report struct {
	Upstream string    // empty in messages to a home that knows it by Term
	Term     uint64    // the home's term as known to the holder; 0: not known
	Held     int       // slots the holder has, in use or not
	Need     int       // slots it could use for work within its guaranteed share
	Demand   int       // slots it could use
	Handover *Handover // from the previous home, if that is the holder
}
