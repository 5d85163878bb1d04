package telemetry

// Measure names what a histogram measures.
type Measure string

// The measures.
const (
	MeasureWaiting Measure = "waiting" // from acceptance to a slot
	MeasureService Measure = "service" // from sending to the whole answer
	MeasureTotal   Measure = "total"   // from acceptance to the result
)
