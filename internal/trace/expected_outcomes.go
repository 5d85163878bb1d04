package trace

// ExpectedOutcomes are the bounds that the results of a replay must meet. Some of
// them are relative to a second replay of the same trace that leaves the floods out.
type ExpectedOutcomes struct {
	OtherGoodput   float64 `yaml:"otherGoodput" validate:"gt=0,lte=1"`   // least goodput of a stream without flood, as a share of that without the floods
	OtherP99Factor float64 `yaml:"otherP99Factor" validate:"gte=1"`      // greatest p99 of a stream without flood, over that without the floods
	FloodShare     float64 `yaml:"floodShare" validate:"gte=0,lte=1"`    // least part of its guaranteed share that a flood is served
	MaxInFlight    int     `yaml:"mostAtWork" validate:"gt=0"`           // most requests in progress on one upstream
	BytesPerEntry  float64 `yaml:"controlBytesPerEntry" validate:"gt=0"` // most bytes of control messages a second on one entry
}
