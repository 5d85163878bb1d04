// Package store is the narrow view that the program has of a key-value store
// with transactions, leases and watches. Implementations translate it to a
// platform's own interface.
package store
