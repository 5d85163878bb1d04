package quota

// Demand is what a pool has running for a team, and what waits there for nothing but the
// team's room.
type Demand struct {
	Used    Amount // by runs, by starts that may still be carried out, and by a former owner's runs that may be unknown
	Waiting Amount
	Held    Amount // of Waiting: what has waited long and needs room at one time
}

// needed returns what the pool would use if it was granted.
func (d Demand) needed() Amount { return d.Used.Plus(d.Waiting) }
