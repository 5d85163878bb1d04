package admission

import "math"

// meanWeight is the part of a new sample in the mean use, at several samples a
// second.
const meanWeight = 0.1

// usage is how many slots one party uses, and how many it may.
type usage struct {
	inUse    int
	mean     float64 // of the slots it uses and could use, over about a second
	reserved float64 // slots kept for it, within its guaranteed share
	limit    float64 // slots it may use
}

// sample takes in how many slots the party could use now.
func (u *usage) sample(waiting int) {
	u.mean += meanWeight * (float64(u.inUse+waiting) - u.mean)
}

// reserve keeps what the party uses and one deviation of it, within share.
func (u *usage) reserve(share float64) { u.reserved = min(u.mean+math.Sqrt(u.mean), share) }

// bound sets the limit: a party that asks for more than its share and one
// deviation gets, above that, only what is not kept for others. One that asks
// for less gets any slot.
func (u *usage) bound(share, all, reserved float64) {
	u.limit = all
	if wide := share + math.Sqrt(share); u.mean > wide {
		u.limit = max(all-reserved+u.reserved, wide)
	}
}

func (u *usage) mayStart() bool { return float64(u.inUse) < u.limit }
