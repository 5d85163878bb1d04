package slots

import "time"

// Batch is one message from a holder to another entry: reports for the
// upstreams whose home that is, and recalls for those whose home it is itself.
type Batch struct {
	From       Holder
	ProcessAge time.Duration // of the holder's process
	Clean      bool          // no earlier run of the holder's entry was registered when it began
	Seq        uint64        // rises with each batch between two entries
	Reports    []Report
	Recalls    []Recall
}
