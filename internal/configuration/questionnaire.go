package configuration

// Questionnaire holds the answers from which a configuration is generated.
type Questionnaire struct {
	Organisation string           `yaml:"organisation" validate:"required"`
	Teams        []TeamAnswers    `yaml:"teams" validate:"required,dive"`
	Services     []ServiceAnswers `yaml:"services" validate:"required,dive"`
	Jobs         []JobAnswers     `yaml:"jobs" validate:"dive"` // one element for each team that runs jobs on workers
}
