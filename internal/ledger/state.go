package ledger

import (
	"slices"
	"sort"
	"time"

	"github.com/google/uuid"
)

// Sizes of a shard's log.
const (
	RingSlots   = 64 // slots for batches
	FoldBatches = 32 // batches that are folded into a segment
)

// State is one entry's copy of a shard's log. It may be behind the store but
// never ahead of it. It has no lock: only the committer of its Shard uses it.
type State struct {
	top      uint64 // sequence number of the latest known batch
	folded   uint64 // batches up to this one are in segments
	ring     [RingSlots]StoredBatch
	recent   map[uuid.UUID]position // latest records of the keys that are not yet folded
	segments []Index                // in the order of their numbers
	keys     int                    // sum over segments
}

// NewState returns the state for a snapshot. It sorts the snapshot's slices.
func NewState(s Snapshot) *State {
	st := &State{recent: map[uuid.UUID]position{}}
	sort.Slice(s.Indexes, func(i, j int) bool { return s.Indexes[i].Number < s.Indexes[j].Number })
	for _, index := range s.Indexes {
		st.addIndex(index)
	}
	sort.Slice(s.Batches, func(i, j int) bool { return s.Batches[i].Seq < s.Batches[j].Seq })
	if len(s.Batches) > 0 {
		// Batches that were overwritten had been folded before, even if their
		// segment has expired since.
		oldest := s.Batches[0].Seq
		st.folded = max(st.folded, (oldest-1+FoldBatches-1)/FoldBatches*FoldBatches)
	}
	for _, b := range s.Batches {
		st.Apply(b)
	}
	return st
}

// Apply adds the batch that follows the latest one.
func (s *State) Apply(b StoredBatch) {
	s.top = b.Seq
	if b.Seq <= s.folded {
		b.Records = nil
	}
	s.ring[b.Seq%RingSlots] = b
	for i := range b.Records {
		s.recent[b.Records[i].Key] = position{seq: b.Seq, at: i}
	}
}

// Next returns the sequence number of the next batch and the present version of
// its slot, which is 0 when the slot is empty.
func (s *State) Next() (seq, ifVersion uint64) {
	return s.top + 1, s.ring[(s.top+1)%RingSlots].Version
}

// Full reports whether the next batch would overwrite one that is not yet folded.
func (s *State) Full() bool { return s.top+1 > s.folded+RingSlots }

// Find returns the latest record of key when found is true. Otherwise segment is
// the latest segment that may hold key when folded is true, and the log has no
// record of key when folded is false.
func (s *State) Find(key uuid.UUID) (r Record, found bool, segment uint64, folded bool) {
	if p, ok := s.recent[key]; ok {
		return s.ring[p.seq%RingSlots].Records[p.at], true, 0, false
	}
	created := keyCreatedAt(key)
	for i := len(s.segments) - 1; i >= 0; i-- {
		if s.segments[i].mayHold(key, created) {
			return Record{}, false, s.segments[i].Number, true
		}
	}
	return Record{}, false, 0, false
}

// NextSegment returns the next segment to write, or false when fewer than
// FoldBatches batches are not yet folded.
func (s *State) NextSegment() (*Segment, bool) {
	if s.top < s.folded+FoldBatches {
		return nil, false
	}
	segment := &Segment{Number: s.folded / FoldBatches}
	at := make(map[uuid.UUID]int)
	for seq := s.folded + 1; seq <= s.folded+FoldBatches; seq++ {
		for _, r := range s.ring[seq%RingSlots].Records {
			if i, ok := at[r.Key]; ok {
				segment.Records[i] = r
				continue
			}
			at[r.Key] = len(segment.Records)
			segment.Records = append(segment.Records, r)
		}
	}
	return segment, true
}

// MarkFolded records that the segment which NextSegment returned was written, and
// frees its batches. It ignores the index of any other segment.
func (s *State) MarkFolded(index Index) {
	if index.Number != s.folded/FoldBatches {
		return
	}
	end := s.folded + FoldBatches
	for seq := s.folded + 1; seq <= end; seq++ {
		b := &s.ring[seq%RingSlots]
		for i := range b.Records {
			if key := b.Records[i].Key; s.recent[key].seq <= end {
				delete(s.recent, key)
			}
		}
		b.Records = nil
	}
	s.addIndex(index)
}

func (s *State) addIndex(index Index) {
	s.segments = append(s.segments, index)
	s.folded = max(s.folded, (index.Number+1)*FoldBatches)
	s.keys += len(index.Fingerprints)
}

// Expired returns the numbers of up to limit segments whose keys have all
// expired at now.
func (s *State) Expired(now time.Time, limit int) []uint64 {
	var numbers []uint64
	for i := range s.segments {
		if len(numbers) < limit && s.segments[i].expired(now) {
			numbers = append(numbers, s.segments[i].Number)
		}
	}
	return numbers
}

// RemoveSegment removes a segment's index from the state.
func (s *State) RemoveSegment(number uint64) {
	for i := range s.segments {
		if s.segments[i].Number == number {
			s.keys -= len(s.segments[i].Fingerprints)
			s.segments = slices.Delete(s.segments, i, i+1)
			return
		}
	}
}

// KeyCount returns the approximate number of keys in the state. A key whose claim
// and outcome are in different segments counts twice.
func (s *State) KeyCount() int { return len(s.recent) + s.keys }

// SegmentNumbers returns the numbers of the segments in ascending order.
func (s *State) SegmentNumbers() []uint64 {
	numbers := make([]uint64, len(s.segments))
	for i := range s.segments {
		numbers[i] = s.segments[i].Number
	}
	return numbers
}
