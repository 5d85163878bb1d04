package platform

import (
	"strings"

	"persimmonbay/internal/shard"
)

// CallCounts counts the calls to the platform by purpose and kind. It is safe for
// concurrent use.
type CallCounts struct {
	counts *shard.Map[string, uint64] // by "purpose/kind"
}

// NewCallCounts returns counts that are all zero.
func NewCallCounts() *CallCounts {
	return &CallCounts{counts: shard.NewMapOf[string, uint64](8)}
}

func (c *CallCounts) add(purpose Purpose, kind callKind) {
	c.counts.Update(string(purpose)+"/"+string(kind), func(n uint64, _ bool) (uint64, bool) { return n + 1, true })
}

// Snapshot returns the counts so far, in no particular order.
func (c *CallCounts) Snapshot() []CallCount {
	var all []CallCount
	c.counts.Range(func(key string, n uint64) bool {
		purpose, kind, _ := strings.Cut(key, "/")
		all = append(all, CallCount{Purpose: Purpose(purpose), Kind: kind, Calls: n})
		return true
	})
	return all
}
