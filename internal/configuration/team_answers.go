package configuration

// TeamAnswers holds the answers about one team.
type TeamAnswers struct {
	Name      string `yaml:"name" validate:"required,label"`
	LateMeans string `yaml:"lateMeans" validate:"required,oneof=harm annoyance nothing"` // effect of a late answer on the team's people
	People    int    `yaml:"people" validate:"gt=0"`                                     // that use its services on a busy day
}
