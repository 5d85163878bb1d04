package wire

import "time"

// fromOptionalTime converts t to its age at now in milliseconds, so that the
// clocks of two entries need not agree. It returns nil for the zero time.
func fromOptionalTime(t, now time.Time) *uint64 {
	if t.IsZero() {
		return nil
	}
	age := uint64(max(now.Sub(t).Milliseconds(), 0))
	return &age
}

// toOptionalTime converts an age in milliseconds that was received at now to a
// time. It returns the zero time for nil.
func toOptionalTime(ageMillis *uint64, now time.Time) time.Time {
	if ageMillis == nil {
		return time.Time{}
	}
	return now.Add(-time.Duration(*ageMillis) * time.Millisecond)
}
