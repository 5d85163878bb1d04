package inventory

import "time"

// Stamp tells one list of instances from another and how fresh it is.
type Stamp struct {
	Generation uint64    // rises whenever a reader finds the list changed
	Digest     uint64    // of the content; breaks ties between two readers
	ReadAt     time.Time // when the platform was last seen to show this list
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
