package problem

// Kind classifies an Error by what its receiver can do about it.
type Kind string

// The kinds of errors.
const (
	Invalid      Kind = "invalid"      // the input is wrong; a repeat fails again
	NotFound     Kind = "not-found"    // what was asked for does not exist
	Conflict     Kind = "conflict"     // another change came first
	Unauthorized Kind = "unauthorized" // no valid credentials were given
	Mismatch     Kind = "mismatch"     // the same key came with another request
	TooLarge     Kind = "too-large"    // the input is larger than allowed
	Overloaded   Kind = "overloaded"   // refused for load; retry later
	Unavailable  Kind = "unavailable"  // the peer cannot be reached or refuses
	Timeout      Kind = "timeout"      // the deadline passed first
	Interrupted  Kind = "interrupted"  // the peer broke off after work may have begun
	Compacted    Kind = "compacted"    // the revision asked for is no longer kept
	Internal     Kind = "internal"     // a fault of this program
)
