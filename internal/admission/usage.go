package admission

import (
	"math"
	"time"
)

// meanWeight is the part of a new sample in the mean use, at several samples a
// second.
const meanWeight = 0.1

// usage is how many slots one party uses, and how many it may.
type usage struct {
	inUse    int
	asked    float64 // seconds of slot time asked for since the latest sample
	used     float64 // slots in use, over about a second
	load     float64 // slots that what is asked for takes, over about a second
	mean     float64 // of the slots it uses and could use, over about a second
	reserved float64 // slots kept for it, within its guaranteed share
	need     float64 // slots asked of the homes for it
	limit    float64 // slots it may use
}

// sample takes in how many slots the party could use now.
func (u *usage) sample(waiting int) {
	u.mean += meanWeight * (float64(u.inUse+waiting) - u.mean)
}

// reserve keeps what the party uses and one deviation of it, within share. A
// party that does not ask for more than its share also needs what it asks for,
// however few slots this entry holds.
func (u *usage) reserve(share float64) {
	u.reserved = min(u.mean+math.Sqrt(u.mean), share)
	u.need = u.reserved
	if !u.exceeds(share) {
		u.need = max(u.need, u.load+math.Sqrt(u.load))
	}
}

// exceeds reports whether the party asks for more than share and one deviation.
func (u *usage) exceeds(share float64) bool { return u.load > share+math.Sqrt(share) }

// bound sets the limit: a party that asks for more than its share and one
// deviation gets, above its share, only what is not kept for others. One that
// asks for less gets any slot, also while it works off what had to wait.
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

// loadSpan is the time over which the load is averaged.
const loadSpan = time.Second

// measure takes in what was asked for in the time since the latest sample.
func (u *usage) measure(elapsed time.Duration) {
	part := min(elapsed.Seconds()/loadSpan.Seconds(), 1)
	u.load += u.asked/loadSpan.Seconds() - part*u.load
	u.used += part * (float64(u.inUse) - u.used)
	u.asked = 0
}

func (u *usage) mayStart() bool { return float64(u.inUse) < u.limit }
