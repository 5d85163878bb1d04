package admission

import (
	"math"
	"time"
)

// meanWeight is the weight of a new sample in the mean use. There are several
// samples a second.
const meanWeight = 0.1

// usage tracks how many slots a class, or a team in a class, uses, and how many it
// may use.
type usage struct {
	inUse    int
	demanded float64 // slot seconds demanded since the latest measurement
	used     float64 // mean of the slots in use, over about a second
	load     float64 // mean of the slots demanded, over about a second
	mean     float64 // mean of the slots it uses or waits for, over about a second
	reserved float64 // slots reserved for it, within its guaranteed share
	need     float64 // slots to request from the homes for it
	limit    float64 // most slots it may use
}

// sample adds the number of slots in use or waited for now to the mean.
func (u *usage) sample(waiting int) {
	u.mean += meanWeight * (float64(u.inUse+waiting) - u.mean)
}

// reserve reserves the mean use plus one standard deviation, up to share. The
// deviation is taken as the square root of the mean, as for a Poisson distribution.
// If the load does not exceed share, need also covers the load, however few slots
// this entry holds.
func (u *usage) reserve(share float64) {
	u.reserved = min(u.mean+math.Sqrt(u.mean), share)
	u.need = u.reserved
	if !u.exceeds(share) {
		u.need = max(u.need, u.load+math.Sqrt(u.load))
	}
}

// exceeds reports whether the load is above share by more than one standard
// deviation.
func (u *usage) exceeds(share float64) bool { return u.load > share+math.Sqrt(share) }

// bound sets the limit. If the load exceeds share, the limit is the slots that are
// not reserved for others, at least share, and at least one standard deviation more
// than share while the mean of the slots in use is below share. Otherwise any slot
// may be used, also to work off a backlog.
func (u *usage) bound(share, all, reserved float64) {
	u.limit = all
	if !u.exceeds(share) {
		return
	}
	u.limit = max(all-reserved+u.reserved, share)
	if u.used < share {
		u.limit = max(u.limit, share+math.Sqrt(share))
	}
}

// loadSpan is the period over which load and used are averaged.
const loadSpan = time.Second

// measure updates load and used for the time since the latest measurement.
func (u *usage) measure(elapsed time.Duration) {
	fraction := min(elapsed.Seconds()/loadSpan.Seconds(), 1)
	u.load += u.demanded/loadSpan.Seconds() - fraction*u.load
	u.used += fraction * (float64(u.inUse) - u.used)
	u.demanded = 0
}

// mayStart reports whether the limit permits one more request.
func (u *usage) mayStart() bool { return float64(u.inUse) < u.limit }
