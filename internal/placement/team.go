package placement

import "persimmonbay/internal/fleet"

// Team is what a team may use for its jobs.
type Team struct {
	Quota    fleet.Resources // at most, at a time
	TopClass fleet.Class     // the most urgent class
}
