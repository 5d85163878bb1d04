// Package maintenance decides which pool an instance is in and when it may be
// drained, moved and rebooted, so that every service keeps its availability
// budget. Plan turns a snapshot into the next changes, each of which is one
// compare-and-swap. The package knows no encoding and no transport; time is
// passed in.
package maintenance
