package problem

// Kind classifies an Error by how its receiver can handle it.
type Kind string

// The kinds of errors.
const (
	Invalid      Kind = "invalid"      // the input is invalid; a repeat fails again
	NotFound     Kind = "not-found"    // the requested object does not exist
	Conflict     Kind = "conflict"     // another change was made first
	Unauthorized Kind = "unauthorized" // no valid credentials were given
	Mismatch     Kind = "mismatch"     // the same key was sent with a different request
	TooLarge     Kind = "too-large"    // the input is larger than allowed
	Overloaded   Kind = "overloaded"   // refused because of load; retry later
	Unavailable  Kind = "unavailable"  // the peer cannot be reached or refuses the call
	Timeout      Kind = "timeout"      // the deadline passed before the end
	Interrupted  Kind = "interrupted"  // the connection ended after work may have begun; its outcome is unknown
	Compacted    Kind = "compacted"    // the store has discarded the requested revision
	Internal     Kind = "internal"     // a bug of this program
)
