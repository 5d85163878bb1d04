package work

// Roster is what the next owner of a pool has to know of the last one.
type Roster struct {
	Tenure   int  // counts the owners
	Released bool // the owner ordered nothing after it kept this
	Workers  []RosterWorker
}
