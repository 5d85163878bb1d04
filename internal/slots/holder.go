package slots

import "persimmonbay/internal/membership"

// Holder is one process of an entry. A restarted entry is another holder, with
// a higher incarnation.
type Holder struct {
	Entry       membership.EntryID
	Incarnation uint64
}
