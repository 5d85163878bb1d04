package upstream

import (
	"time"

	"persimmonbay/internal/fleet"
)

// noRecorder is a dispatch.Recorder that records nothing.
type noRecorder struct{}

// Waited implements dispatch.Recorder.
func (noRecorder) Waited(string, fleet.Class, bool, time.Duration) {}

// Served implements dispatch.Recorder.
func (noRecorder) Served(string, fleet.Class, bool, time.Duration) {}
