package maintenance

// EntryReport is what a controller knows of one entry.
type EntryReport struct {
	Entry      string
	Registered bool   // its registration is in the store
	Recent     bool   // a heartbeat of it was received recently
	Leaving    bool   // its last heartbeat announced that it shuts down
	Revision   uint64 // revision of the records on which the entry acts, by its last report
}
