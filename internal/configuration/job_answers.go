package configuration

// JobAnswers holds a team's answers about the jobs that it runs on workers.
type JobAnswers struct {
	Team         string `yaml:"team" validate:"required"`
	LateMeans    string `yaml:"lateMeans" validate:"required,oneof=harm annoyance nothing"` // effect on the team's people when the work is late
	Processors   int    `yaml:"processors" validate:"gt=0"`                                 // needed on the busiest night; likewise memory and accelerators
	MemoryGB     int    `yaml:"memoryGB" validate:"gt=0"`
	Accelerators int    `yaml:"accelerators" validate:"gte=0"`
}
