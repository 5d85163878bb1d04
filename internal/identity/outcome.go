package identity

// Outcome says what becomes of a call.
type Outcome uint8

// The outcomes.
const (
	Admitted        Outcome = iota
	NoConfiguration         // the entry has read none yet
	NoQueue                 // the configuration has no queue for the call
	UnknownKey              // no team has the call's key, or the call carries none
	Unconfirmed             // no team known here has the key; a newer configuration may have one
	Outdated                // the key may have been withdrawn for too long
	outcomes
)

// Outcomes is the number of outcomes.
const Outcomes = int(outcomes)

var outcomeNames = [Outcomes]string{"admitted", "no-configuration", "no-queue", "unknown-key", "unconfirmed", "outdated"}

// String returns the name in logs and metrics.
func (o Outcome) String() string { return outcomeNames[o] }
