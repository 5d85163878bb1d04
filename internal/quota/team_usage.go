package quota

// teamUsage is what a pool has running for one team.
type teamUsage struct {
	used      Amount
	adopted   Amount // of it, by runs that a former owner started
	limit     Limit
	limited   bool
	inherited Amount // granted to the pool when its owner first read the account
	unknown   Amount // that a former owner's runs may use beside used
	waiting   Amount // of the last plan
	held      Amount // in this plan, for what has waited long
}
