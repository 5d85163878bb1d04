package slots

import "time"

// Batch is one message from an entry to another one. It carries reports for
// upstreams whose home is the receiver, and recalls for upstreams whose home is
// the sender.
type Batch struct {
	From          Holder
	ProcessAge    time.Duration // of the holder's process
	NoPredecessor bool          // no earlier process of the entry was registered when this one started
	Seq           uint64        // increases with each batch between the same two entries
	Reports       []Report
	Recalls       []Recall
}
