package slots

import (
	"slices"
	"time"

	"persimmonbay/internal/membership"
)

// View is what an entry knows of the entries that are registered in the
// platform's store. It is immutable.
type View struct {
	Self       membership.EntryID
	ProcessAge time.Duration                    // of this process at Now
	Clean      bool                             // no earlier run of Self was registered when it began
	Members    []membership.EntryID             // registered ones and Self, sorted
	LastSeen   map[membership.EntryID]time.Time // when others were last seen, registered or by a heartbeat
	Departed   map[membership.EntryID]bool      // those in LastSeen that reported that they were leaving
}

// MostSilent reports whether most of the entries went without notice. They may be
// cut off together from the store and this entry, take that for an outage, and
// go on using what they hold.
func (v *View) MostSilent() bool {
	silent := 0
	for id := range v.LastSeen {
		if !v.Departed[id] {
			silent++
		}
	}
	return silent > len(v.Members)
}

// Has reports whether id is a member.
func (v *View) Has(id membership.EntryID) bool {
	_, found := slices.BinarySearch(v.Members, id)
	return found
}

// Home returns the home of an upstream.
func (v *View) Home(upstream string) membership.EntryID { return Home(upstream, v.Members) }
