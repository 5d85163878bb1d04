package configuration

import "persimmonbay/internal/fleet"

// TeamJobs bounds the class and the resources of a team's jobs.
type TeamJobs struct {
	Team     string          `yaml:"team" validate:"required"`
	TopClass fleet.Class     `yaml:"topClass"` // most urgent class of its jobs
	Quota    fleet.Resources `yaml:"quota"`    // most resources that its running jobs use together
}
