package ledger

import "time"

// Options holds the timing and the limits of a ledger. Shards must be the same
// on all entries.
type Options struct {
	Entry          string        // this entry's ID
	Shards         int           // number of shards of the log
	Interval       time.Duration // average time between two writes by this entry to a shard
	Burst          int           // writes to a shard without a wait after it was idle
	OutcomeDelay   time.Duration // how long an outcome waits to share a batch with other operations
	ForwardTimeout time.Duration // after which an owner that does not reply is passed over
	MaxKeys        int           // limit on the keys of a shard in one entry's state; claims beyond it are refused
	AnswerBytes    int           // limit on the bytes of answers outside the log at any time, over all entries
	AnswerWrites   float64       // limit on writes of such answers per second, over all entries
}

// Defaults of Options. Two shards with a write every 15 ms make 133 batches per
// second. Folds and drops add an eighth, so the total stays within 150 writes
// per second to the platform's store.
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

// DefaultOptions returns the default options for the entry with the ID entry.
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
