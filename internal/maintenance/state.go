package maintenance

// State is the content of a View apart from the records.
type State struct {
	Disruptions Disruptions
	Wave        Wave
	Roster      EntryRoster
	Revision    uint64 // of the latest change that the view contains; the store's may be higher by changes of other keys
	Consistent  bool   // the view is of one revision of the store
}
