package places

// Summary holds the published figures of waits for places.
type Summary struct {
	Begun, Won, GivenUp int64
	Millis              map[string]int64 // quantiles of the waits that ended
}
