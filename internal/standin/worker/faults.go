package worker

// Faults configures the faults that the stand-in injects. The zero value injects
// none.
type Faults struct {
	FailAll    bool `json:"failAll"`    // every task fails at once
	SlowFactor int  `json:"slowFactor"` // factor by which tasks take longer; below 2: no fault
	Silent     bool `json:"silent"`     // calls are accepted and never answered
	LagMillis  int  `json:"lagMillis"`  // delay of the reported usage
}
