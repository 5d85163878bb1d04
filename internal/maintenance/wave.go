package maintenance

import (
	"slices"
	"time"
)

// Wave drains, reboots and returns every instance of some pools once.
type Wave struct {
	ID       string    `json:"id"` // empty: there has been none
	State    WaveState `json:"state"`
	Pools    []string  `json:"pools,omitempty"` // empty: all
	Strategy Strategy  `json:"strategy"`
	AtOnce   int       `json:"atOnce"` // most instances away for the wave at a time
	By       string    `json:"by"`     // the operator who started it
	Started  time.Time `json:"started"`
	Finished time.Time `json:"finished,omitzero"`
	Version  uint64    `json:"-"` // of the record in the store; 0: not stored yet
}

// Open reports whether the wave has not come to its end.
func (w Wave) Open() bool { return w.State == WaveRunning || w.State == WavePaused }

// Covers reports whether the wave is to reboot the instance of r.
func (w Wave) Covers(r Record) bool {
	if r.Joined.After(w.Started) {
		return false
	}
	return len(w.Pools) == 0 || slices.Contains(w.Pools, r.Home)
}
