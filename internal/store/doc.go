// Package store defines the interface to a key-value store with transactions,
// leases and watches, reduced to what the program uses. Implementations map it to
// the interface of a particular platform.
package store
