package inventory

import "time"

// Stamp identifies a list of instances and states how fresh it is.
type Stamp struct {
	Generation uint64    // increases whenever a reader finds the list changed
	Digest     uint64    // of the content; decides between lists of two readers with the same generation
	ReadAt     time.Time // when the platform last returned this list
}

// Newer reports whether the list stamped s replaces the one stamped other.
func (s Stamp) Newer(other Stamp) bool {
	if s.Generation != other.Generation {
		return s.Generation > other.Generation
	}
	return s.Digest > other.Digest
}

// Same reports whether both stamps are of the same list.
func (s Stamp) Same(other Stamp) bool {
	return s.Generation == other.Generation && s.Digest == other.Digest
}
