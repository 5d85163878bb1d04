package quota

// Limit bounds what a pool may have running for a team.
type Limit struct {
	Cap     Amount // of the team, in all pools together; 0 in a resource: no limit
	Running Amount // that the pool may reach with a start; below what it has: nothing starts
	Granted Amount // of the account, for display
	Hold    bool   // room may be left for what has waited long: it is the pool's turn
}
