package ledger

import "time"

// Options are the timing and bounds of a ledger. They must be the same on all
// entries as far as Shards goes.
type Options struct {
	Entry          string        // this entry's ID
	Shards         int           // of the log
	Interval       time.Duration // least time between two writes to a shard by one entry
	OutcomeDelay   time.Duration // how long an outcome waits for a batch to ride on
	ForwardTimeout time.Duration // after which an owner that does not answer is passed over
	MaxKeys        int           // that one entry keeps track of in a shard
}

// DefaultOptions returns the options of the entry called entry.
func DefaultOptions(entry string) Options {
	return Options{
		Entry:          entry,
		Shards:         2,
		Interval:       15 * time.Millisecond,
		OutcomeDelay:   50 * time.Millisecond,
		ForwardTimeout: time.Second,
		MaxKeys:        200_000,
	}
}
