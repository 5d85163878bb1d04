package slots

import (
	"slices"
	"time"

	"persimmonbay/internal/membership"
)

// View is what an entry knows of the entries that are registered in the
// platform's store. It is immutable.
type View struct {
	Self    membership.EntryID
	Age     time.Duration                    // of this process at Now
	Clean   bool                             // no earlier run of Self was registered when it began
	Members []membership.EntryID             // registered ones and Self, sorted
	Gone    map[membership.EntryID]time.Time // when others were last seen, registered or heard
}

// Has reports whether id is a member.
func (v *View) Has(id membership.EntryID) bool {
	_, found := slices.BinarySearch(v.Members, id)
	return found
}

// Home returns the home of an upstream.
func (v *View) Home(upstream string) membership.EntryID { return Home(upstream, v.Members) }
