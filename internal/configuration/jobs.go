package configuration

// Jobs holds the teams that may run jobs on the workers.
type Jobs struct {
	WorkersMayBeAway float64    `yaml:"workersMayBeAway" validate:"gt=0,lte=1"` // share of the workers that may be away for maintenance at once
	Teams            []TeamJobs `yaml:"teams" validate:"required,dive"`
}
