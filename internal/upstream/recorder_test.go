package upstream

import (
	"time"

	"persimmonbay/internal/fleet"
)

// noRecorder is a dispatch.Recorder that records nothing.
type noRecorder struct{}

// RecordWait implements dispatch.Recorder.
func (noRecorder) RecordWait(string, fleet.Class, bool, time.Duration) {}

// RecordServed implements dispatch.Recorder.
func (noRecorder) RecordServed(string, fleet.Class, bool, time.Duration) {}
