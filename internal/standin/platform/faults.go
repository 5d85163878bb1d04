package platform

// Faults configures the faults that the stand-in injects. The zero value injects
// none.
type Faults struct {
	Outage        bool     `json:"outage"`      // every call fails at once and has no effect
	SlowMillis    int      `json:"slowMillis"`  // delay of every call
	LoseResponses float64  `json:"loseAnswers"` // share of writes that take effect but whose response is lost
	Silent        bool     `json:"silent"`      // calls are accepted and never answered
	LagMillis     int      `json:"lagMillis"`   // delay of the list of instances
	NoTags        bool     `json:"noTags"`      // the list of instances has no entity tag
	StayDown      []string `json:"neverBack"`   // IDs of the instances that do not come back from a reboot
	Seed          uint64   `json:"seed"`        // of the random choice of lost responses
}
