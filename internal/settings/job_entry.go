package settings

import (
	"os"

	"persimmonbay/internal/problem"
	"persimmonbay/internal/yamlfile"
)

// JobEntry holds the settings of an entry that runs jobs on the users'
// platform.
type JobEntry struct {
	ID               string       `yaml:"id" validate:"required"`
	AvailabilityZone string       `yaml:"availabilityZone" validate:"required"`
	Listen           JobListen    `yaml:"listen"`
	Platform         JobPlatform  `yaml:"platform"`
	Machine          Machine      `yaml:"machine"`
	Identity         JobIdentity  `yaml:"identity"`
	Placement        JobPlacement `yaml:"placement"`
	Timing           JobTiming    `yaml:"timing"`
	LogLevel         string       `yaml:"logLevel" validate:"oneof=debug info warn error"`
}

// LoadJobEntry reads and parses file. The error is a problem.NotFound when the
// file cannot be read, and of type problem.Findings when its content is invalid.
func LoadJobEntry(file string) (JobEntry, error) {
	data, err := os.ReadFile(file)
	if err != nil {
		return JobEntry{}, problem.Wrap(problem.NotFound, problem.StepSettings, "", err)
	}
	entry := JobEntry{Timing: DefaultJobTiming(), LogLevel: "info"}
	if _, err := yamlfile.Decode(file, data, &entry); err != nil {
		return JobEntry{}, err
	}
	return entry, nil
}
