package placement

import "persimmonbay/internal/fleet"

// Team limits what a team may use for its jobs.
type Team struct {
	Quota    fleet.Resources // total of the jobs that run at a time
	TopClass fleet.Class     // the most urgent class that its jobs may have
}
