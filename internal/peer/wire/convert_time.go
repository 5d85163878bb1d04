package wire

import "time"

// fromOptionalTime converts a time to its age at now in milliseconds, so that
// the clocks of two entries need not agree; nil for the zero time.
func fromOptionalTime(t, now time.Time) *uint64 {
	if t.IsZero() {
		return nil
	}
	age := uint64(max(now.Sub(t).Milliseconds(), 0))
	return &age
}

// toOptionalTime converts an age in milliseconds, received at now, to a time;
// nil to the zero time.
func toOptionalTime(ageMillis *uint64, now time.Time) time.Time {
	if ageMillis == nil {
		return time.Time{}
	}
	return now.Add(-time.Duration(*ageMillis) * time.Millisecond)
}
