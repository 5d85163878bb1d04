package entry

import (
	"time"

	"persimmonbay/internal/fleet"
	"persimmonbay/internal/telemetry"
)

// recorder records the dispatcher's measurements in the histograms of the metrics.
type recorder struct{ metrics *telemetry.Metrics }

// RecordWait implements dispatch.Recorder.
func (r recorder) RecordWait(team string, class fleet.Class, started bool, d time.Duration) {
	outcome := fleet.Completed
	if !started {
		outcome = fleet.NotRun
	}
	r.metrics.Record(team, class, outcome, telemetry.MeasureWaiting, d)
}

// RecordServed implements dispatch.Recorder.
func (r recorder) RecordServed(team string, class fleet.Class, answered bool, d time.Duration) {
	outcome := fleet.Completed
	if !answered {
		outcome = fleet.Unknown
	}
	r.metrics.Record(team, class, outcome, telemetry.MeasureService, d)
}
