package ledger

import "time"

// Options are the timing and bounds of a ledger. They must be the same on all
// entries as far as Shards goes.
type Options struct {
	Entry          string        // this entry's ID
	Shards         int           // of the log
	Interval       time.Duration // between two writes to a shard by one entry, on average
	Burst          int           // writes to a shard at once after a quiet time
	OutcomeDelay   time.Duration // how long an outcome waits for a batch to ride on
	ForwardTimeout time.Duration // after which an owner that does not answer is passed over
	MaxKeys        int           // that one entry keeps track of in a shard
	AnswerBytes    int           // of all entries' answers outside the log, in the store at once
	AnswerWrites   float64       // of such answers a second, by all entries
}

// Defaults. Two shards with a write each 15 ms make 133 batches a second; folds
// and drops add an eighth, which stays within 150 of the platform's writes.
const (
	defaultShards         = 2
	defaultInterval       = 15 * time.Millisecond
	defaultBurst          = 16
	defaultOutcomeDelay   = 50 * time.Millisecond
	defaultForwardTimeout = time.Second
	defaultMaxKeys        = 500_000
	defaultAnswerBytes    = 512 << 20
	defaultAnswerWrites   = 60
)

// DefaultOptions returns the options of the entry called entry.
func DefaultOptions(entry string) Options {
	return Options{
		Entry:          entry,
		Shards:         defaultShards,
		Interval:       defaultInterval,
		Burst:          defaultBurst,
		OutcomeDelay:   defaultOutcomeDelay,
		ForwardTimeout: defaultForwardTimeout,
		MaxKeys:        defaultMaxKeys,
		AnswerBytes:    defaultAnswerBytes,
		AnswerWrites:   defaultAnswerWrites,
	}
}
