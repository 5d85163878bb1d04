// Package membership decides which entries are alive, from their leases in the
// platform's store and from when each one's last heartbeat was received. Callers
// pass the time in; the package does no encoding and no I/O.
package membership
