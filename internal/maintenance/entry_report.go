package maintenance

// EntryReport is what a controller knows of one entry.
type EntryReport struct {
	Entry      string
	Registered bool   // its registration is in the store
	Recent     bool   // its heartbeat was received lately
	Leaving    bool   // its last heartbeat announced that it shuts down
	Revision   uint64 // of the records that the entry last reported to act on
}
