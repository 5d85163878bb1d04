package jobs

import "persimmonbay/internal/placement"

// Fleet holds the workers and teams among which jobs are placed.
type Fleet struct {
	Workers []placement.Worker // ordered by ID
	Teams   map[string]placement.Team
}
