package upkeep

import "time"

// EmptyRequest is a request to a pool to empty a machine. It is about one worker of that
// pool: once another worker runs on the machine, or it is in another pool, what the pool
// said of it no longer holds.
type EmptyRequest struct {
	Pool    string
	Worker  string    // the worker on the machine when it was requested
	By      time.Time // time of day by which the upkeep that follows should be over
	Emptied bool      // the pool has confirmed that nothing runs there and nothing will start
}

// State returns the progress of emptying the machine m. ordered reports whether its upkeep
// was ordered on that confirmation: the machine may be back from it with another worker,
// and the order has to be sent again until it is confirmed.
func (r *EmptyRequest) State(m *Machine, ordered bool) Emptying {
	switch {
	case r.Pool != m.Pool || r.Worker != m.Worker && m.Worker != "" && !ordered:
		return NotRequested
	case r.Emptied:
		return Emptied
	}
	return Requested
}
