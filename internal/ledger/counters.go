package ledger

import "persimmonbay/internal/shard"

// Counters counts the events of a ledger by name. It is safe for concurrent
// use.
type Counters struct {
	counts *shard.Map[string, uint64]
}

// Names of counters.
const (
	countGranted        = "claimsGranted"
	countReplayed       = "claimsReplayed"
	countInProgress     = "claimsInProgress"
	countMismatch       = "claimsMismatched"
	countInDoubt        = "claimsInDoubt"
	countRefused        = "claimsTombstoned"
	countFailed         = "claimsFailed"
	countTombstones     = "tombstones"
	countWithdrawn      = "claimsWithdrawn"
	countForwarded      = "forwarded"
	countForwardCalls   = "forwardCalls"
	countPassedOver     = "ownersPassedOver"
	countBatches        = "batches"
	countConflicts      = "conflicts"
	countAmbiguous      = "writesAmbiguous"
	countLoads          = "loads"
	countFolds          = "folds"
	countAnswersSaved   = "answersKept"
	countAnswersOmitted = "answersLeftOut"
)

// claimCounters names the counter of each claim state.
var claimCounters = [...]string{countGranted, countReplayed, countInProgress, countMismatch, countInDoubt, countRefused}

func newCounters() *Counters { return &Counters{counts: shard.NewMap[string, uint64]()} }

func (c *Counters) add(name string) {
	c.counts.Update(name, func(n uint64, _ bool) (uint64, bool) { return n + 1, true })
}

// Get returns the count of name, which is zero if nothing was counted.
func (c *Counters) Get(name string) uint64 {
	n, _ := c.counts.Get(name)
	return n
}

// Snapshot returns all counts above zero.
func (c *Counters) Snapshot() map[string]uint64 {
	all := make(map[string]uint64)
	c.counts.Range(func(name string, n uint64) bool {
		all[name] = n
		return true
	})
	return all
}
