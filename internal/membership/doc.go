// Package membership decides which entries are alive, from what the platform's
// store says of their leases and from when each was last heard. It knows no
// encoding and no transport; time is passed in.
package membership
