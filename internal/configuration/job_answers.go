package configuration

// JobAnswers is what a team says of the long work that it runs on workers.
type JobAnswers struct {
	Team         string `yaml:"team" validate:"required"`
	LateMeans    string `yaml:"lateMeans" validate:"required,oneof=harm annoyance nothing"` // what it does to its people when the work is late
	Processors   int    `yaml:"processors" validate:"gt=0"`                                 // that it needs on its busiest night
	MemoryGB     int    `yaml:"memoryGB" validate:"gt=0"`
	Accelerators int    `yaml:"accelerators" validate:"gte=0"`
}
