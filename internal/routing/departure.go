package routing

import "time"

// departure is what is known about an instance that leaves and may return.
type departure struct {
	reportedAt time.Time // when the instance last reported that it is leaving
	unlisted   bool      // the platform's latest list shows it as leaving or not at all
	relistedAt time.Time // when the list showed it live again; earlier reports do not apply
}

// active reports whether the instance's report excludes it from new work at now.
func (d departure) active(now time.Time) bool {
	return d.reportedAt.After(d.relistedAt) && now.Before(d.reportedAt.Add(leavingValidity))
}
