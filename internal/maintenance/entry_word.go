package maintenance

// EntryWord is what a controller knows of one entry when something leaves.
type EntryWord struct {
	Entry      string
	Registered bool   // the store held its registration just now
	Heard      bool   // lately
	Leaving    bool   // it said so when it was last heard
	Revision   uint64 // of the records that it last told to act on
}
