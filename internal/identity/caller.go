package identity

// Caller is whom a call comes from.
type Caller struct {
	Team   string // empty: none is known
	Public string // name of the public queue that the call is for; empty: the queue is not public
	Any    bool   // the configuration has no teams, so that callers are not told apart
}

// MaySee reports whether the caller may see and cancel a job of a team in a queue. All may
// see a job without a team, which an earlier version accepted or which came without a key.
// A caller of a public queue without a team sees the jobs of that queue.
func (c Caller) MaySee(team, queue string) bool {
	if c.Any || team == "" || team == c.Team {
		return true
	}
	return c.Team == "" && c.Public != "" && c.Public == queue
}
