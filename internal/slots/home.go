package slots

import (
	"github.com/cespare/xxhash/v2"

	"persimmonbay/internal/membership"
)

// Home returns the member with the highest rendezvous weight for upstream, so
// that a change of members moves only the homes of those that came or went.
func Home(upstream string, members []membership.EntryID) membership.EntryID {
	var best membership.EntryID
	var most uint64
	seed := xxhash.Sum64String(upstream)
	for _, m := range members {
		if w := mix(seed ^ xxhash.Sum64String(string(m))); best == "" || w > most {
			best, most = m, w
		}
	}
	return best
}

// mix spreads the bits of x (the finalizer of splitmix64).
func mix(x uint64) uint64 {
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}
