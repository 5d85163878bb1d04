package worker

// Faults are the switches of the stand-in. The zero value is healthy.
type Faults struct {
	FailAll    bool `json:"failAll"`    // every task fails as soon as it has started
	SlowFactor int  `json:"slowFactor"` // tasks take this many times as long; below 2: no fault
	Silent     bool `json:"silent"`     // calls are taken and never answered
	LagMillis  int  `json:"lagMillis"`  // by how much reported usage lags
}
