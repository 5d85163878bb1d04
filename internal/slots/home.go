package slots

import (
	"github.com/cespare/xxhash/v2"

	"persimmonbay/internal/membership"
)

// Home returns the member with the highest rendezvous weight for upstream, or an
// empty ID without members. When a member joins or leaves, only the upstreams
// whose home it is get another home.
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

// Fraction returns a number from 0 up to 1, excluding 1, that is constant for a
// member and an upstream and evenly distributed over many upstreams. Callers use
// it to round fractions of slots.
func Fraction(upstream string, m membership.EntryID) float64 {
	return float64(mix(weight(upstream, m))>>11) / (1 << 53)
}

// mix spreads the bits of x (the finalizer of splitmix64).
func mix(x uint64) uint64 {
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}
