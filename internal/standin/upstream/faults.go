package upstream

// Faults configures the faults that the stand-in injects. The zero value injects
// none.
type Faults struct {
	SlowMillis           int  `json:"slowMillis"`    // time that every request takes
	FailAll              bool `json:"failAll"`       // every request fails with status 500
	DieMidBody           bool `json:"dieMidBody"`    // connections are closed after half of the response body
	StallOpenConnections bool `json:"silenceOpen"`   // open connections drop all data from now on; new ones work
	Leaving              bool `json:"leaving"`       // responses have a header that reports the instance as leaving
	BodyBytes            int  `json:"bodyBytes"`     // size of the response's padding
	RefuseOverCap        bool `json:"refuseOverCap"` // requests above the slots fail with status 503
}
