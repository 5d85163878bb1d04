package places

// Reason tells why a task waits or does not.
type Reason uint8

// The reasons of an answer.
const (
	Gains     Reason = iota // it is expected to end sooner than elsewhere
	NoGain                  // the wait is expected to take what the place gains
	NoPlace                 // no place in the rack is known to become free
	TooLong                 // it has waited for as long as the place gains
	NearLimit               // its job would miss its objective if the wait were in vain
	Lasts                   // it runs until it is cancelled, and has to be back soon
)

var reasonNames = [...]string{"gain", "no gain", "no place", "waited too long", "objective is near", "lasting task"}

// String returns the reason's name in the logs.
func (r Reason) String() string { return reasonNames[r] }
