// Package maintenance decides to which pool an instance belongs and when it may
// be drained, moved and rebooted, so that every service keeps its availability
// budget. Plan derives the next changes from a snapshot; each change is one
// compare-and-swap. Several controllers may plan at once: the compare-and-swaps
// keep them consistent. The package contains no encoding and no transport, and
// the time is passed in.
package maintenance
