package ledger

import (
	"slices"
	"time"

	"github.com/google/uuid"
)

// Segment holds the latest record of each key in FoldBatches consecutive batches.
// It depends only on those batches, so every entry that folds them produces the
// same segment.
type Segment struct {
	Number  uint64 // the first batch has the number Number*FoldBatches + 1
	Records []Record
}

// Index returns the segment's index.
func (s *Segment) Index() Index {
	index := Index{Number: s.Number, Fingerprints: make([]uint64, len(s.Records))}
	for i := range s.Records {
		index.Fingerprints[i] = s.Records[i].fingerprint()
		created := keyCreatedAt(s.Records[i].Key)
		if i == 0 || created.Before(index.Oldest) {
			index.Oldest = created
		}
		if created.After(index.Newest) {
			index.Newest = created
		}
	}
	slices.Sort(index.Fingerprints)
	return index
}

// Find returns the record of key, and false when the segment has none.
func (s *Segment) Find(key uuid.UUID) (Record, bool) {
	for i := range s.Records {
		if s.Records[i].Key == key {
			return s.Records[i], true
		}
	}
	return Record{}, false
}

// keyCreatedAt returns the creation time that a UUIDv7 contains.
func keyCreatedAt(key uuid.UUID) time.Time {
	var millis int64
	for _, b := range key[:keyTimeBytes] {
		millis = millis<<8 | int64(b)
	}
	return time.UnixMilli(millis)
}

// keyTimeBytes is the number of leading bytes of a UUIDv7 that hold its time.
const keyTimeBytes = 6
