package ledger

import (
	"slices"
	"time"

	"github.com/google/uuid"

	"persimmonbay/internal/request"
)

// dropMargin is how long a record is retained after its key has expired. The
// clocks of two entries may each be wrong by request.KeySkew.
const dropMargin = 2 * request.KeySkew

// Index lists the keys of the segment Number by their fingerprints.
type Index struct {
	Number       uint64
	Oldest       time.Time // creation time of the oldest key
	Newest       time.Time // creation time of the newest key
	Fingerprints []uint64  // of the keys, in ascending order
}

// mayHold reports whether the segment may hold key, which was created at
// created. The time range excludes most segments before the binary search.
func (i *Index) mayHold(key uuid.UUID, created time.Time) bool {
	if created.Before(i.Oldest) || created.After(i.Newest) {
		return false
	}
	_, found := slices.BinarySearch(i.Fingerprints, fingerprint(key))
	return found
}

// expired reports whether every entry rejects all keys of the segment as
// expired.
func (i *Index) expired(now time.Time) bool {
	return now.After(i.Newest.Add(request.KeyRetention + dropMargin))
}
