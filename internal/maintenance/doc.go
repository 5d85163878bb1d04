// Package maintenance decides to which pool an instance belongs and when it may
// be drained, moved and rebooted, so that every service keeps its availability
// budget. Entries are the processes that send work to instances; the entry that
// holds the control lease is the controller and carries out plans.
//
// Plan derives the next changes from a snapshot; each change is one
// compare-and-swap, so that two controllers at once do no harm. The package
// contains no encoding and no transport, and the time is passed in.
package maintenance
