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
	hash := xxhash.Sum64String(upstream)
	for _, m := range members {
		if w := mix(hash ^ xxhash.Sum64String(string(m))); best == "" || w > most {
			best, most = m, w
		}
	}
	return best
}

// weight is the rendezvous weight of a member for an upstream.
func weight(upstream string, m membership.EntryID) uint64 {
	return mix(xxhash.Sum64String(upstream) ^ xxhash.Sum64String(string(m)))
}

// Fraction returns a number from 0 to 1 that is fixed for a member and an
// upstream and even over many upstreams, to round parts of slots by.
func Fraction(upstream string, m membership.EntryID) float64 {
	return float64(mix(weight(upstream, m))>>11) / (1 << 53)
}

// mix spreads the bits of x (the finalizer of splitmix64).
func mix(x uint64) uint64 {
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}
