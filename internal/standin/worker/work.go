package worker

import (
	"encoding/json"

	"persimmonbay/internal/fleet"
)

// Work is what a stand-in worker is told to run. Text that is none runs for no
// time and uses what was declared.
type Work struct {
	RunMillis int64           `json:"runMillis"`     // at full speed
	Uses      fleet.Resources `json:"uses,omitzero"` // really; zero: as declared
	Fails     bool            `json:"fails,omitempty"`
}

func parseWork(text string, declared fleet.Resources) Work {
	var w Work
	_ = json.Unmarshal([]byte(text), &w) // anything else is work of no time
	if w.Uses == (fleet.Resources{}) {
		w.Uses = declared
	}
	return w
}
