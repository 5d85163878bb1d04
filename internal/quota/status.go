package quota

// Status is what a pool has for one team.
type Status struct {
	Cap     Amount // of the team, in all pools together
	Granted Amount // to the pool, by the account
	MayRun  Amount // what the pool may reach with a start now
	Used    Amount // by runs, and by starts that may still be carried out
	Unknown Amount // that runs of a former owner may use beside that
	Waiting Amount // for nothing but the team's room, in the last plan
}
