package platform

// Rates are the calls per second that the stand-in allows; 0 means unlimited.
type Rates struct {
	Writes int `json:"writes"`
	Reads  int `json:"reads"` // a watch call counts as one read
}

// DefaultRates are close to those of the real platform. The stand-in starts without
// limits; PUT /standin/rates or the flags -writes and -reads set them.
var DefaultRates = Rates{Writes: 300, Reads: 2000}
