package ledger

import (
	"slices"
	"time"

	"github.com/google/uuid"

	"persimmonbay/internal/request"
)

// dropMargin is how much longer than a key may be used its record is kept: two
// entries' clocks may each be wrong by the skew that callers are allowed.
const dropMargin = 2 * request.KeySkew

// Index tells which keys a segment holds.
type Index struct {
	Number       uint64
	Oldest       time.Time // when the oldest key in it was made
	Newest       time.Time // when the youngest key in it was made
	Fingerprints []uint64  // in rising order
}

// mayHold reports whether the segment may hold key. Most segments are told
// apart by the time that the key carries.
func (i *Index) mayHold(key uuid.UUID, made time.Time) bool {
	if made.Before(i.Oldest) || made.After(i.Newest) {
		return false
	}
	_, found := slices.BinarySearch(i.Fingerprints, fingerprint(key))
	return found
}

// expired reports whether every key in the segment is refused by its time.
func (i *Index) expired(now time.Time) bool {
	return now.After(i.Newest.Add(request.KeyRetention + dropMargin))
}
