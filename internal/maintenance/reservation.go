package maintenance

import "time"

// Reservation takes one instance out of the availability budget of its pool. It
// also states what the controllers carry out with the instance, whether a wave
// or an operator made it.
type Reservation struct {
	Instance string          `json:"instance"`
	Pool     string          `json:"pool"` // the pool whose budget is spent
	Kind     ReservationKind `json:"kind"`
	Target   string          `json:"target,omitempty"` // the other pool, of a move or loan
	Wave     string          `json:"wave,omitempty"`
	By       string          `json:"by,omitempty"` // the operator who requested it, if any
	Since    time.Time       `json:"since"`
}
