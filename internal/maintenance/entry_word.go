package maintenance

// EntryWord is what a controller knows of one entry when something leaves.
type EntryWord struct {
	Entry      string
	Registered bool   // the store held its registration just now
	Heard      bool   // lately
	Revision   uint64 // of the records that it last told to act on
}
