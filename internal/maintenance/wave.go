package maintenance

import (
	"slices"
	"time"
)

// Wave reboots every instance of some or all pools once: it drains the
// instance, reboots it and returns it to its pool.
type Wave struct {
	ID       string    `json:"id"` // empty: there has been no wave
	State    WaveState `json:"state"`
	Pools    []string  `json:"pools,omitempty"` // empty: all
	Strategy Strategy  `json:"strategy"`
	MaxDown  int       `json:"atOnce"` // most instances out of service for the wave at a time
	By       string    `json:"by"`     // the operator who started it
	Started  time.Time `json:"started"`
	Finished time.Time `json:"finished,omitzero"`
	Version  uint64    `json:"-"` // of the record in the store; 0: not stored yet
}

// Open reports whether the wave has not ended.
func (w Wave) Open() bool { return w.State == WaveRunning || w.State == WavePaused }

// Covers reports whether the wave includes the instance of r: its pool is one
// of the wave's, and it was assigned before the wave started.
func (w Wave) Covers(r Record) bool {
	if r.Joined.After(w.Started) {
		return false
	}
	return len(w.Pools) == 0 || slices.Contains(w.Pools, r.Home)
}
