package jobs

import "persimmonbay/internal/placement"

// Fleet is the workers and teams that jobs are placed by.
type Fleet struct {
	Workers []placement.Worker // ordered by ID
	Teams   map[string]placement.Team
}
