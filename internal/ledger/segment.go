package ledger

import (
	"time"

	"github.com/google/uuid"

	"persimmonbay/internal/request"
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
		if made := keyMade(s.Records[i].Key); made.After(index.Newest) {
			index.Newest = made
		}
	}
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

func keyMade(key uuid.UUID) time.Time { return request.Key(key.String()).Made() }
