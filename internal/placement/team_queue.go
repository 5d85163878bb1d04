package placement

// teamQueue holds the queued jobs of one team.
type teamQueue struct {
	team  string
	share float64 // of the team's quota that is in use or planned
	jobs  []*Job  // in the order in which they are placed
}
