package configuration

import "persimmonbay/internal/fleet"

// TeamJobs is what a team may use for its jobs.
type TeamJobs struct {
	Team     string          `yaml:"team" validate:"required"`
	TopClass fleet.Class     `yaml:"topClass"` // the most urgent class of its jobs
	Quota    fleet.Resources `yaml:"quota"`    // at most, at a time
}
