package platform

// Rates are the calls a second that the stand-in takes; 0 means any number.
type Rates struct {
	Writes int `json:"writes"`
	Reads  int `json:"reads"` // a watch call counts as one read
}

// DefaultRates are about those of the real platform. The stand-in starts without
// them; PUT /standin/rates or the flags -writes and -reads put them in force.
var DefaultRates = Rates{Writes: 300, Reads: 2000}
