// Package slots decides how many slots (concurrent requests) of an upstream each
// entry may use. Each upstream has a home among the live entries, found by
// rendezvous hashing. The home lends the slots. A holder keeps its slots until
// it returns them, on recall or on its own, or until it has been absent for so
// long that none of its requests can be in flight. Callers pass the time in; the
// package does no encoding and no I/O.
package slots
