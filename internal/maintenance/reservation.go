package maintenance

import "time"

// Reservation takes one instance out of its pool's availability budget. It is
// also the intent that the controllers carry out, whoever made it.
type Reservation struct {
	Instance string          `json:"instance"`
	Pool     string          `json:"pool"` // whose budget is spent
	Kind     ReservationKind `json:"kind"`
	Target   string          `json:"target,omitempty"` // of a move or loan
	Wave     string          `json:"wave,omitempty"`
	By       string          `json:"by,omitempty"` // the operator, if one asked
	Since    time.Time       `json:"since"`
}
