// Package admission decides which request of a service starts next. It guarantees
// a share of the slots to each class and, within a class, to each team, lends
// only idle slots beyond that, and refuses a request at once if it cannot be
// answered before its deadline. Callers pass the time in and do the locking; the
// package does no encoding and no I/O.
package admission
