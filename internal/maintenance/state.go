package maintenance

// State is the content of a View apart from the records.
type State struct {
	Disruptions Disruptions
	Wave        Wave
	Roster      EntryRoster
	Revision    uint64 // of the store, up to which the view is complete
	Consistent  bool   // the view is of one revision of the store
}
