package answertime

// Summary holds the published figures of a caller's peers.
type Summary struct {
	Answers int64              // calls whose answer time was measured
	Lost    int64              // calls without an answer in time
	Late    int64              // orders that were carried out though their answers were not received in time
	Millis  map[string]float64 // quantiles of the answer times, in milliseconds
	States  map[string]int     // peers by state
}
