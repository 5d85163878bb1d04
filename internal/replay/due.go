package replay

import "time"

// due is something that happens at a virtual time.
type due struct {
	at    time.Duration
	order uint64 // among those at the same time
	do    func()
}

func (d due) before(other due) bool {
	if d.at != other.at {
		return d.at < other.at
	}
	return d.order < other.order
}
