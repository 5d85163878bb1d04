package quota

// placeUsage is what a team has on one worker. A start that was left open is carried out
// only by a later incarnation of its worker, which has none of the present runs and refuses
// the start once it has answered the owner: the runs and the open starts never go on
// together.
type placeUsage struct {
	running Amount // by runs
	open    Amount // by starts that a later incarnation of the worker may carry out
}

// counted returns what the place counts for.
func (p placeUsage) counted() Amount { return p.running.Max(p.open) }
