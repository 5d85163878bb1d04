// Package inventory decides how entries share the platform's list of instances:
// which of them reads it, and whose copy is newer. Callers pass the time in; the
// package does no encoding and no I/O.
package inventory
