package upstream

// Faults are the switches of the stand-in. The zero value is healthy.
type Faults struct {
	SlowMillis    int  `json:"slowMillis"`    // work on every request takes this long
	FailAll       bool `json:"failAll"`       // every request is answered 500
	DieMidBody    bool `json:"dieMidBody"`    // connections break after half of the body
	SilenceOpen   bool `json:"silenceOpen"`   // connections open now go silent for good; new ones work
	Leaving       bool `json:"leaving"`       // answers carry the word that the instance is leaving
	BodyBytes     int  `json:"bodyBytes"`     // size of the answer's padding
	RefuseOverCap bool `json:"refuseOverCap"` // requests above the slots are answered 503
}
