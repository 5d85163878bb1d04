// Package inventory decides how entries share the platform's list of
// instances: which of them reads it, and whose copy is newer. It knows no
// encoding and no transport; time is passed in.
package inventory
