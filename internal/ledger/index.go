package ledger

import (
	"time"

	"persimmonbay/internal/request"
)

// dropMargin is how much longer than a key may be used its record is kept: two
// entries' clocks may each be wrong by the skew that callers are allowed.
const dropMargin = 2 * request.KeySkew

// Index tells which keys a segment holds.
type Index struct {
	Number       uint64
	Newest       time.Time // when the youngest key in it was made
	Fingerprints []uint64
}

// expired reports whether every key in the segment is refused by its time.
func (i *Index) expired(now time.Time) bool {
	return now.After(i.Newest.Add(request.KeyRetention + dropMargin))
}
