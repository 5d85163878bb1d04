package ledger

import (
	"slices"
	"time"

	"github.com/google/uuid"
)

// Segment holds the latest record of each key in FoldBatches batches in a row.
// It follows from those batches alone, so whoever folds gets the same.
type Segment struct {
	Number  uint64 // covers the batches after Number*FoldBatches
	Records []Record
}

// Index returns what has to be in memory of the segment.
func (s *Segment) Index() Index {
	index := Index{Number: s.Number, Fingerprints: make([]uint64, len(s.Records))}
	for i := range s.Records {
		index.Fingerprints[i] = s.Records[i].fingerprint()
		made := keyMade(s.Records[i].Key)
		if i == 0 || made.Before(index.Oldest) {
			index.Oldest = made
		}
		if made.After(index.Newest) {
			index.Newest = made
		}
	}
	slices.Sort(index.Fingerprints)
	return index
}

// Find returns the record of key.
func (s *Segment) Find(key uuid.UUID) (Record, bool) {
	for i := range s.Records {
		if s.Records[i].Key == key {
			return s.Records[i], true
		}
	}
	return Record{}, false
}

// keyMade returns the time that a UUIDv7 carries.
func keyMade(key uuid.UUID) time.Time {
	var millis int64
	for _, b := range key[:keyTimeBytes] {
		millis = millis<<8 | int64(b)
	}
	return time.UnixMilli(millis)
}

// keyTimeBytes is how many bytes of a UUIDv7 are its time.
const keyTimeBytes = 6
