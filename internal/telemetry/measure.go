package telemetry

// Measure names the duration that a histogram measures.
type Measure string

// The measures.
const (
	MeasureWaiting Measure = "waiting" // from acceptance to the grant of a slot
	MeasureService Measure = "service" // from sending to the end of the answer
	MeasureTotal   Measure = "total"   // from acceptance to the result
)
