package worker

import (
	"encoding/json"

	"persimmonbay/internal/fleet"
)

// Work describes a task to a stand-in worker. Text that is not valid JSON of it
// runs for no time and uses the declared resources.
type Work struct {
	RunMillis int64           `json:"runMillis"`     // at full speed
	Uses      fleet.Resources `json:"uses,omitzero"` // actual usage; zero: as declared
	Fails     bool            `json:"fails,omitempty"`
}

// parseWork parses the work of a task with these declared resources.
func parseWork(text string, declared fleet.Resources) Work {
	var w Work
	_ = json.Unmarshal([]byte(text), &w) // other text is work of no duration
	if w.Uses == (fleet.Resources{}) {
		w.Uses = declared
	}
	return w
}
