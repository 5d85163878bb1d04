package routing

import "time"

// departure is what is known of an instance's leaving and return.
type departure struct {
	heard    time.Time // its own latest word that it is leaving
	away     bool      // the platform's latest list had it not, or as leaving
	returned time.Time // when the list had it live again
}

// holds reports whether the instance's own word keeps work away at now.
func (d departure) holds(now time.Time) bool {
	return d.heard.After(d.returned) && now.Before(d.heard.Add(leavingFor))
}
