package platform

// Faults are the switches of the stand-in. The zero value is healthy.
type Faults struct {
	Outage      bool     `json:"outage"`      // every call fails at once, without effect
	SlowMillis  int      `json:"slowMillis"`  // every call waits this long first
	LoseAnswers float64  `json:"loseAnswers"` // share of writes that take effect but whose answer is lost
	Silent      bool     `json:"silent"`      // calls are taken and never answered
	LagMillis   int      `json:"lagMillis"`   // how old the list of instances is
	NoTags      bool     `json:"noTags"`      // the list of instances has no entity tag
	NeverBack   []string `json:"neverBack"`   // instances that do not come back from a reboot
	Seed        uint64   `json:"seed"`        // of the choice of lost answers
}
