package replay

import "time"

// event is a function to be called at a virtual time.
type event struct {
	at    time.Duration
	order uint64 // of scheduling; decides between events at the same time
	do    func()
}

func (e event) before(other event) bool {
	if e.at != other.at {
		return e.at < other.at
	}
	return e.order < other.order
}
