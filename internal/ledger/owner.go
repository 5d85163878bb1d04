package ledger

import (
	"strconv"

	"github.com/cespare/xxhash/v2"
)

// Owner returns the entry that batches the operations on a shard: the one with
// the highest rendezvous weight. It returns "" when entries is empty. Ownership
// only avoids conflicts: safety doesn't depend on it, and entries may disagree.
func Owner(shard int, entries []string) string {
	var owner string
	var highest uint64
	for _, e := range entries {
		weight := xxhash.Sum64String(strconv.Itoa(shard) + "/" + e)
		if owner == "" || weight > highest || weight == highest && e < owner {
			owner, highest = e, weight
		}
	}
	return owner
}
