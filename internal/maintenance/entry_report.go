package maintenance

// EntryReport is what a controller knows of one entry when something leaves.
type EntryReport struct {
	Entry      string
	Registered bool   // the store held its registration just now
	Recent     bool   // its heartbeat was received lately
	Leaving    bool   // it reported so in its last heartbeat
	Revision   uint64 // of the records that it last reported to act on
}
