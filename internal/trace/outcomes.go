package trace

// Outcomes are the stated outcomes of a trace.
type Outcomes struct {
	OtherGoodput   float64 `yaml:"otherGoodput" validate:"gt=0,lte=1"`   // of other work, at least, as a share of that without the flood
	OtherP99Factor float64 `yaml:"otherP99Factor" validate:"gte=1"`      // of other work's p99, at most, over that without the flood
	FloodShare     float64 `yaml:"floodShare" validate:"gte=0,lte=1"`    // of its guaranteed share that the flood gets, at least
	MostAtWork     int     `yaml:"mostAtWork" validate:"gt=0"`           // on one upstream, at most
	BytesPerEntry  float64 `yaml:"controlBytesPerEntry" validate:"gt=0"` // a second, at most
}
