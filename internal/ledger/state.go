package ledger

import (
	"slices"
	"sort"
	"time"

	"github.com/google/uuid"
)

// Sizes of a shard's log.
const (
	RingSlots   = 64 // batches that stand by themselves
	FoldBatches = 32 // batches in a segment
)

// State is one shard's log as an entry knows it. It may be behind the store;
// it is never ahead. It has no lock: it belongs to its Shard.
type State struct {
	top      uint64 // the latest batch known
	folded   uint64 // batches up to this one are in segments
	ring     [RingSlots]StoredBatch
	recent   map[uuid.UUID]position // latest record of keys not yet folded
	segments []Index                // in the order of their numbers
	keys     int                    // in segments
}

// NewState builds the state from what stands in the store.
func NewState(s Snapshot) *State {
	st := &State{recent: map[uuid.UUID]position{}}
	sort.Slice(s.Indexes, func(i, j int) bool { return s.Indexes[i].Number < s.Indexes[j].Number })
	for _, index := range s.Indexes {
		st.addIndex(index)
	}
	sort.Slice(s.Batches, func(i, j int) bool { return s.Batches[i].Seq < s.Batches[j].Seq })
	if len(s.Batches) > 0 {
		// What was overwritten had been folded, also when that segment has
		// expired since.
		oldest := s.Batches[0].Seq
		st.folded = max(st.folded, (oldest-1+FoldBatches-1)/FoldBatches*FoldBatches)
	}
	for _, b := range s.Batches {
		st.Apply(b)
	}
	return st
}

// Apply takes over the batch that follows the latest one.
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

// Next returns the sequence number after the latest batch and the version
// that its slot has in the store.
func (s *State) Next() (seq, over uint64) {
	return s.top + 1, s.ring[(s.top+1)%RingSlots].Version
}

// Full reports whether the next batch would overwrite one not yet folded.
func (s *State) Full() bool { return s.top+1 > s.folded+RingSlots }

// Find returns the unfolded record of key, or the latest segment that may hold
// it.
func (s *State) Find(key uuid.UUID) (r Record, found bool, segment uint64, folded bool) {
	if p, ok := s.recent[key]; ok {
		return s.ring[p.seq%RingSlots].Records[p.at], true, 0, false
	}
	made := keyMade(key)
	for i := len(s.segments) - 1; i >= 0; i-- {
		if s.segments[i].mayHold(key, made) {
			return Record{}, false, s.segments[i].Number, true
		}
	}
	return Record{}, false, 0, false
}

// ToFold returns the next segment, or false when there are too few batches.
func (s *State) ToFold() (*Segment, bool) {
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

// Fold notes that the segment of ToFold is kept.
func (s *State) Fold(index Index) {
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

// Expired returns the numbers of up to limit segments that are no longer
// needed.
func (s *State) Expired(now time.Time, limit int) []uint64 {
	var numbers []uint64
	for i := range s.segments {
		if len(numbers) < limit && s.segments[i].expired(now) {
			numbers = append(numbers, s.segments[i].Number)
		}
	}
	return numbers
}

// Drop forgets a segment.
func (s *State) Drop(number uint64) {
	for i := range s.segments {
		if s.segments[i].Number == number {
			s.keys -= len(s.segments[i].Fingerprints)
			s.segments = slices.Delete(s.segments, i, i+1)
			return
		}
	}
}

// Keys returns about how many keys the state knows: one whose claim and
// outcome are in two segments counts twice.
func (s *State) Keys() int { return len(s.recent) + s.keys }

// Segments returns the numbers of the kept segments in order.
func (s *State) Segments() []uint64 {
	numbers := make([]uint64, len(s.segments))
	for i := range s.segments {
		numbers[i] = s.segments[i].Number
	}
	return numbers
}
